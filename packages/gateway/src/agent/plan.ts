/** Which order a target node gives its engine next. */
import {
  planLoad,
  type AgedFrequency,
  type EngineShape,
  type HeldModel,
  type Slot,
} from '@balsamnotch/core';
import type {EngineState} from './engine.js';

/** Requests that hold or want one adapter. */
export interface AdapterDemand {
  readonly model: string;
  readonly adapter: string;
  /** Least version that serves all of them. */
  readonly version: number;
  /** Leases; above 0 the adapter is not evicted. */
  readonly leases: number;
  /** Requests that wait for it. */
  readonly waiting: number;
  /** Monotonic time of the earliest waiting request. */
  readonly sinceMs: number;
}

/** Next order. */
export interface PlannedOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Absent for the base model. */
  readonly adapter?: string;
  readonly version: number;
}

/** Options of {@link planOrder}. */
export interface PlanInput {
  readonly state: EngineState;
  readonly shape: EngineShape;
  readonly demands: readonly AdapterDemand[];
  /** Newest declared version by adapter; 0 when none is declared. */
  readonly newestVersion: (model: string, adapter: string) => number;
  readonly frequency: AgedFrequency;
  readonly nowMs: number;
}

/** Loads that an engine carries out at the same time. */
export const MAX_PARALLEL_LOADS = 4;

/** Memory that the held models use, in MB. */
function modelsMb(
  models: EngineShape['models'],
  held: readonly HeldModel[],
): number {
  return models
    .filter(({name}) => held.some(({model}) => model === name))
    .reduce((sum, model) => sum + model.weightsMb, 0);
}

/** Adapters for which the engine has room beside its models. */
export function adapterCapacity(
  {models, weightsMb, adapterSlots}: EngineShape,
  held: readonly HeldModel[],
): number {
  const usedMb = modelsMb(models, held);
  const adapterMb = Math.max(0, ...models.map(model => model.adapterMb));
  const roomMb = Math.max(0, weightsMb - usedMb);
  const byMemory = adapterMb > 0 ? Math.floor(roomMb / adapterMb) : Infinity;
  return Math.min(adapterSlots, byMemory);
}

/** Slots as the shared slot decision sees them; the version is part of the adapter's state, not of its key. */
function slotsOf(
  held: readonly HeldModel[],
  demands: readonly AdapterDemand[],
): readonly Slot[] {
  const leases = (model: string, adapter: string) =>
    demands.find(demand => demand.model === model && demand.adapter === adapter)
      ?.leases ?? 0;
  return held.flatMap(({model, adapters}) =>
    adapters.map(({adapter}) => ({
      adapter,
      version: model,
      pins: leases(model, adapter),
      lastUsedMs: 0,
    })),
  );
}

/** Base model to load: a wanted one that fits beside those held. */
function plannedModel({
  state,
  shape,
  demands,
}: PlanInput): PlannedOrder | undefined {
  if (state.isBusy) return undefined;
  const isHeld = (name: string) =>
    state.models.some(({model}) => model === name);
  const usedMb = modelsMb(shape.models, state.models);
  const wanted = shape.models
    .filter(({name}) => !isHeld(name))
    .filter(model => usedMb + model.weightsMb <= shape.weightsMb)
    .map(model => ({
      model,
      waiting: demands
        .filter(demand => demand.model === model.name)
        .reduce((sum, demand) => sum + demand.waiting, 0),
    }))
    .sort((a, b) => b.waiting - a.waiting)[0];
  if (wanted === undefined) return undefined;
  const isEmpty = state.models.length === 0;
  if (!isEmpty && wanted.waiting === 0) return undefined;
  return {kind: 'load', model: wanted.model.name, version: 0};
}

/** A held adapter that is older than the newest declared version, the most used first. */
function plannedReplacement(input: PlanInput): PlannedOrder | undefined {
  const {state, newestVersion} = input;
  if (state.loading.length >= MAX_PARALLEL_LOADS) return undefined;
  for (const {model, adapters} of state.models) {
    for (const {adapter, version} of adapters) {
      const newest = newestVersion(model, adapter);
      const isComing = state.loading.some(
        load => load.model === model && load.adapter === adapter,
      );
      if (version >= newest || isComing) continue;
      return {kind: 'load', model, adapter, version: newest};
    }
  }
  return undefined;
}

/**
 * The next order, or undefined when none is needed or possible now. Base models
 * go first, then declared versions, then the adapter for which most requests wait.
 */
export function planOrder(input: PlanInput): PlannedOrder | undefined {
  const {state, shape, demands, newestVersion, frequency, nowMs} = input;
  const model = plannedModel(input);
  if (model !== undefined) return model;
  const replacement = plannedReplacement(input);
  if (replacement !== undefined) return replacement;
  if (state.loading.length >= MAX_PARALLEL_LOADS) return undefined;
  const capacity = adapterCapacity(shape, state.models);
  const plan = planLoad(
    {
      engineIncarnation: String(state.incarnationMs),
      capacity,
      slots: slotsOf(state.models, demands),
      loading: state.loading.map(load => ({
        adapter: load.adapter,
        version: load.model,
      })),
    },
    demands
      .filter(
        demand =>
          demand.waiting > 0 &&
          demand.adapter !== '' &&
          state.models.some(held => held.model === demand.model),
      )
      .map(demand => ({
        adapter: demand.adapter,
        version: demand.model,
        requests: demand.waiting,
        sinceMs: demand.sinceMs,
      })),
    // Requests wait for seconds at most, so no load waits for a slot on probation.
    {frequency, nowMs, probationSlots: capacity, patienceMs: 0},
  );
  if (plan === undefined) return undefined;
  if (plan.evict !== undefined) {
    const {adapter, version} = plan.evict;
    return {kind: 'unload', model: version, adapter, version: 0};
  }
  const {adapter, version} = plan.load;
  return {
    kind: 'load',
    model: version,
    adapter,
    version: newestVersion(version, adapter),
  };
}
