/** Decides which order a target node sends to its engine next. */
import {
  planLoad,
  type AgedFrequency,
  type EngineShape,
  type HeldModel,
  type Slot,
} from '@balsamnotch/core';
import type {EngineState} from './engine.js';

/** Requests that hold or wait for a lease on one adapter. */
export interface AdapterDemand {
  readonly model: string;
  readonly adapter: string;
  /** Lowest version that satisfies all of them. */
  readonly version: number;
  /** Number of leases, granted and waiting. An adapter with leases is not evicted. */
  readonly leases: number;
  /** Number of requests that wait for a lease. */
  readonly waiting: number;
  /** Monotonic time of the earliest waiting request, in milliseconds; Infinity without one. */
  readonly waitingSinceMs: number;
}

/** Order to send next. */
export interface PlannedOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Absent for the base model. */
  readonly adapter?: string;
  readonly version: number;
}

/** Input of {@link planOrder}. */
export interface PlanInput {
  readonly state: EngineState;
  readonly shape: EngineShape;
  readonly demands: readonly AdapterDemand[];
  /** Returns the newest declared version of an adapter; 0 when none is declared. */
  readonly newestVersion: (model: string, adapter: string) => number;
  readonly frequency: AgedFrequency;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Maximum number of adapter loads in progress at one engine. */
export const MAX_PARALLEL_LOADS = 4;

/** Memory used by the weights of the held models, in MB. */
function heldModelsMb(
  models: EngineShape['models'],
  held: readonly HeldModel[],
): number {
  return models
    .filter(({name}) => held.some(({model}) => model === name))
    .reduce((sum, model) => sum + model.weightsMb, 0);
}

/**
 * Number of adapters that fit into the memory left by the held models, limited
 * by the adapter slots.
 */
export function adapterCapacity(
  {models, weightsMb, adapterSlots}: EngineShape,
  held: readonly HeldModel[],
): number {
  const usedMb = heldModelsMb(models, held);
  const adapterMb = Math.max(0, ...models.map(model => model.adapterMb));
  const roomMb = Math.max(0, weightsMb - usedMb);
  const byMemory = adapterMb > 0 ? Math.floor(roomMb / adapterMb) : Infinity;
  return Math.min(adapterSlots, byMemory);
}

/**
 * Converts held adapters to the slots of the core's slot decision. The model is
 * passed as the version, because adapter versions are not part of the key here.
 */
function toSlots(
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

/**
 * Plans the load of a base model that fits into memory next to the held ones.
 * Chooses the model for which most requests wait. When no requests wait for any,
 * plans a load only for an empty engine.
 */
function planModelLoad({
  state,
  shape,
  demands,
}: PlanInput): PlannedOrder | undefined {
  if (state.isBusy) return undefined;
  const isHeld = (name: string) =>
    state.models.some(({model}) => model === name);
  const usedMb = heldModelsMb(shape.models, state.models);
  const candidate = shape.models
    .filter(({name}) => !isHeld(name))
    .filter(model => usedMb + model.weightsMb <= shape.weightsMb)
    .map(model => ({
      model,
      waiting: demands
        .filter(demand => demand.model === model.name)
        .reduce((sum, demand) => sum + demand.waiting, 0),
    }))
    .sort((a, b) => b.waiting - a.waiting)[0];
  if (candidate === undefined) return undefined;
  const isEmpty = state.models.length === 0;
  if (!isEmpty && candidate.waiting === 0) return undefined;
  return {kind: 'load', model: candidate.model.name, version: 0};
}

/** Plans the reload of the first held adapter that is older than its newest declared version. */
function planReplacement(input: PlanInput): PlannedOrder | undefined {
  const {state, newestVersion} = input;
  if (state.loading.length >= MAX_PARALLEL_LOADS) return undefined;
  for (const {model, adapters} of state.models) {
    for (const {adapter, version} of adapters) {
      const newestDeclared = newestVersion(model, adapter);
      const isLoading = state.loading.some(
        load => load.model === model && load.adapter === adapter,
      );
      if (version >= newestDeclared || isLoading) continue;
      return {kind: 'load', model, adapter, version: newestDeclared};
    }
  }
  return undefined;
}

/**
 * Returns the next order, or undefined when none is needed or possible now. Base
 * models have precedence, then newly declared versions, then the adapter for
 * which most requests wait.
 */
export function planOrder(input: PlanInput): PlannedOrder | undefined {
  const {state, shape, demands, newestVersion, frequency, nowMs} = input;
  const model = planModelLoad(input);
  if (model !== undefined) return model;
  const replacement = planReplacement(input);
  if (replacement !== undefined) return replacement;
  if (state.loading.length >= MAX_PARALLEL_LOADS) return undefined;
  const capacity = adapterCapacity(shape, state.models);
  const plan = planLoad(
    {
      engineIncarnation: String(state.incarnationMs),
      capacity,
      slots: toSlots(state.models, demands),
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
        sinceMs: demand.waitingSinceMs,
      })),
    // Requests wait for a few seconds at most, so a load never waits for a probation slot.
    {frequency, nowMs, probationSlots: capacity, probationDelayMs: 0},
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
