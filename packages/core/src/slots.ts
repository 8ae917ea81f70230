/** Adapter slots of one engine: which load is next and which adapter is evicted. */
import {adapterKey, type AdapterVersion} from './report.js';

/** One adapter that the engine holds. */
export interface Slot extends AdapterVersion {
  /** Open streams and queued requests; above 0 the slot is pinned. */
  readonly pins: number;
  readonly lastUsedMs: number;
}

/** Slots of one engine incarnation, as the target node knows them. */
export interface SlotTable {
  readonly engineIncarnation: string;
  readonly capacity: number;
  readonly slots: readonly Slot[];
  /** Adapter versions with a load order in progress. */
  readonly loading: readonly AdapterVersion[];
}

/** Requests that wait for an adapter that is not loaded. */
export interface WaitingLoad extends AdapterVersion {
  readonly requests: number;
  /** Arrival of the earliest request, monotonic milliseconds. */
  readonly sinceMs: number;
}

/** Next load, with the eviction that makes room for it, if one is needed. */
export interface LoadPlan {
  readonly load: AdapterVersion;
  readonly evict?: AdapterVersion;
}

/** An empty table for a new engine incarnation. */
export function emptySlots(
  engineIncarnation: string,
  capacity: number,
): SlotTable {
  return {engineIncarnation, capacity, slots: [], loading: []};
}

/** The next load, or undefined when none is wanted or no slot can be freed. */
export function planLoad(
  table: SlotTable,
  waiting: readonly WaitingLoad[],
): LoadPlan | undefined {
  const wanted = waiting
    .filter(load => !holds(table, load))
    .sort((a, b) => b.requests - a.requests || a.sinceMs - b.sinceMs)[0];
  if (wanted === undefined) return undefined;
  if (table.slots.length + table.loading.length < table.capacity) {
    return {load: wanted};
  }
  const victim = table.slots
    .filter(slot => slot.pins === 0)
    .sort((a, b) => a.lastUsedMs - b.lastUsedMs)[0];
  return victim && {load: wanted, evict: victim};
}

/** Tells whether the adapter version is loaded or being loaded. */
export function holds(table: SlotTable, wanted: AdapterVersion): boolean {
  const key = adapterKey(wanted);
  return [...table.slots, ...table.loading].some(
    held => adapterKey(held) === key,
  );
}
