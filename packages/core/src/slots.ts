/** Adapter slots of one engine: selection of the next load and of the adapter to evict. */
import type {AgedFrequency} from './frequency.js';
import {adapterKey, type AdapterVersion} from './report.js';

/** A slot that holds a loaded adapter. */
export interface Slot extends AdapterVersion {
  /**
   * Open streams and queued requests, plus 1 while generations of an earlier node process may
   * use the adapter. A slot with pins is not evicted.
   */
  readonly pins: number;
  /** Monotonic time of the last use, in milliseconds. */
  readonly lastUsedMs: number;
}

/** The target node's copy of the slots of one engine incarnation. */
export interface SlotTable {
  readonly engineIncarnation: string;
  /** Number of adapters that the engine can hold. */
  readonly capacity: number;
  readonly slots: readonly Slot[];
  /** Adapter versions with a load order in progress. */
  readonly loading: readonly AdapterVersion[];
}

/** An adapter version that is not loaded and has waiting requests. */
export interface WaitingLoad extends AdapterVersion {
  readonly requests: number;
  /** Monotonic time at which the earliest request arrived, in milliseconds. */
  readonly sinceMs: number;
}

/** The next load, with the eviction that frees a slot for it if one is needed. */
export interface LoadPlan {
  readonly load: AdapterVersion;
  readonly evict?: AdapterVersion;
}

/** Options of {@link planLoad}. */
export interface PlanOptions {
  /** Request frequencies; without them the least recently used slot is evicted. */
  readonly frequency?: AgedFrequency;
  /** Current monotonic time, in milliseconds. */
  readonly nowMs?: number;
  /**
   * Maximum number of slots on probation. These are slots used by adapters that are
   * requested less frequently than every idle loaded adapter.
   */
  readonly probationSlots?: number;
  /**
   * Time that a load must wait before it may use a further slot on probation, in
   * milliseconds. It is multiplied by how much the request frequency of the adapter
   * to be evicted exceeds that of the load.
   */
  readonly probationDelayMs?: number;
}

/** Returns an empty table for a new engine incarnation. */
export function emptySlots(
  engineIncarnation: string,
  capacity: number,
): SlotTable {
  return {engineIncarnation, capacity, slots: [], loading: []};
}

/**
 * Plans the next load; the adapter with the most waiting requests goes first. Returns
 * undefined if no load is pending or no slot may be freed now.
 */
export function planLoad(
  table: SlotTable,
  waiting: readonly WaitingLoad[],
  options: PlanOptions = {},
): LoadPlan | undefined {
  const pending = waiting
    .filter(load => !isLoadedOrLoading(table, load))
    .sort((a, b) => b.requests - a.requests || a.sinceMs - b.sinceMs);
  if (table.slots.length + table.loading.length < table.capacity) {
    return pending[0] && {load: pending[0]};
  }
  for (const load of pending) {
    const plan = planEviction(table, load, options);
    if (plan !== undefined) return plan;
  }
  return undefined;
}

/** Plans the eviction of the least frequently requested idle adapter, if the load may use its slot. */
function planEviction(
  table: SlotTable,
  load: WaitingLoad,
  options: PlanOptions,
): LoadPlan | undefined {
  const idle = table.slots
    .filter(slot => slot.pins === 0)
    .map(slot => ({slot, frequency: requestFrequency(slot, options)}))
    .sort(
      (a, b) =>
        a.frequency - b.frequency || a.slot.lastUsedMs - b.slot.lastUsedMs,
    );
  const victim = idle[0];
  if (victim === undefined) return undefined;
  const isOnProbation = (adapter: AdapterVersion) =>
    requestFrequency(adapter, options) < victim.frequency;
  if (!isOnProbation(load)) return {load, evict: victim.slot};
  const {probationSlots = 2, probationDelayMs = 1_500, nowMs = 0} = options;
  const usedSlots = usedProbationSlots(table, isOnProbation);
  if (usedSlots >= probationSlots) return undefined;
  const requiredWaitMs =
    probationDelayMs * (victim.frequency - requestFrequency(load, options));
  if (usedSlots > 0 && nowMs - load.sinceMs < requiredWaitMs) return undefined;
  return {load, evict: victim.slot};
}

/** Returns the number of slots that pinned or loading adapters on probation use. */
function usedProbationSlots(
  {slots, loading}: SlotTable,
  isOnProbation: (adapter: AdapterVersion) => boolean,
): number {
  const pinned = slots.filter(slot => slot.pins > 0 && isOnProbation(slot));
  return pinned.length + loading.filter(isOnProbation).length;
}

/** Returns the aged number of requests for an adapter; 0 without request frequencies. */
function requestFrequency(
  adapter: AdapterVersion,
  {frequency, nowMs = 0}: PlanOptions,
): number {
  return frequency?.count(adapterKey(adapter), nowMs) ?? 0;
}

/** Returns whether an adapter version is loaded or being loaded. */
export function isLoadedOrLoading(
  table: SlotTable,
  version: AdapterVersion,
): boolean {
  const isSame = (other: AdapterVersion) =>
    other.adapter === version.adapter && other.version === version.version;
  return table.slots.some(isSame) || table.loading.some(isSame);
}
