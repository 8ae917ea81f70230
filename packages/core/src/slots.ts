/** Adapter slots of one engine: which load is next and which adapter is evicted. */
import type {AgedFrequency} from './frequency.js';
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

/** Options of {@link planLoad}. */
export interface PlanOptions {
  /** Request frequencies; without them the slot unused for longest is evicted. */
  readonly frequency?: AgedFrequency;
  readonly nowMs?: number;
  /** Slots that adapters with a lower value than every idle resident may use at once. */
  readonly probationSlots?: number;
  /**
   * Time that a load waits for a slot on probation, for each request by which
   * the adapter it would evict instead is more frequent, in milliseconds.
   */
  readonly patienceMs?: number;
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
  options: PlanOptions = {},
): LoadPlan | undefined {
  const wanted = waiting
    .filter(load => !holds(table, load))
    .sort((a, b) => b.requests - a.requests || a.sinceMs - b.sinceMs);
  if (table.slots.length + table.loading.length < table.capacity) {
    return wanted[0] && {load: wanted[0]};
  }
  for (const load of wanted) {
    const plan = planEviction(table, load, options);
    if (plan !== undefined) return plan;
  }
  return undefined;
}

/** Evicts the idle adapter of the lowest value for a load, if the load may have its slot. */
function planEviction(
  table: SlotTable,
  load: WaitingLoad,
  options: PlanOptions,
): LoadPlan | undefined {
  const valued = table.slots
    .filter(slot => slot.pins === 0)
    .map(slot => ({slot, value: value(slot, options)}))
    .sort((a, b) => a.value - b.value || a.slot.lastUsedMs - b.slot.lastUsedMs);
  const victim = valued[0];
  if (victim === undefined) return undefined;
  const isBelow = (held: AdapterVersion) => value(held, options) < victim.value;
  if (!isBelow(load)) return {load, evict: victim.slot};
  const {probationSlots = 2, patienceMs = 1_500, nowMs = 0} = options;
  const used = probationUse(table, isBelow);
  if (used >= probationSlots) return undefined;
  const lossMs = patienceMs * (victim.value - value(load, options));
  if (used > 0 && nowMs - load.sinceMs < lossMs) return undefined;
  return {load, evict: victim.slot};
}

/** Adapters below every idle resident that use a slot now. */
function probationUse(
  {slots, loading}: SlotTable,
  isBelow: (held: AdapterVersion) => boolean,
): number {
  const pinned = slots.filter(slot => slot.pins > 0 && isBelow(slot));
  return pinned.length + loading.filter(isBelow).length;
}

function value(
  adapter: AdapterVersion,
  {frequency, nowMs = 0}: PlanOptions,
): number {
  return frequency?.count(adapterKey(adapter), nowMs) ?? 0;
}

/** Tells whether the adapter version is loaded or being loaded. */
export function holds(table: SlotTable, wanted: AdapterVersion): boolean {
  const isWanted = (held: AdapterVersion) =>
    held.adapter === wanted.adapter && held.version === wanted.version;
  return table.slots.some(isWanted) || table.loading.some(isWanted);
}
