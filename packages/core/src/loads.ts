/**
 * A target node's copy of its engine: loaded adapters, loads in progress and
 * their retries. Every transition is a function from one copy to the next.
 */
import {foreignOrders, type ForeignOrders} from './fencing.js';
import {adapterKey, type AdapterVersion} from './report.js';
import {
  emptySlots,
  holds,
  planLoad,
  type LoadPlan,
  type PlanOptions,
  type Slot,
  type SlotTable,
  type WaitingLoad,
} from './slots.js';

/** Requests of one adapter version at this node. */
export interface AdapterDemand extends AdapterVersion {
  /** Requests that have not started in the engine. */
  readonly queued: number;
  /** Requests that run in the engine, or may still run there. */
  readonly active: number;
  /** Arrival of the earliest queued request, monotonic milliseconds. */
  readonly sinceMs: number;
}

/** Failed loads of one adapter version. */
export interface LoadFailures {
  readonly count: number;
  /** Monotonic time before which no load order is given, in milliseconds. */
  readonly notBeforeMs: number;
}

/** What the node knows of its engine. */
export interface EngineCopy {
  readonly table: SlotTable;
  readonly failures: ReadonlyMap<string, LoadFailures>;
  /**
   * Adapters that generations of an earlier node process may use. The engine
   * reports only the number of its generations, so each adapter that was
   * loaded when this process started counts as used.
   */
  readonly inherited: ReadonlySet<string>;
  /** Monotonic time at which inherited pins end, in milliseconds. */
  readonly inheritedUntilMs: number;
}

/** Limits of loading. */
export interface LoadLimits {
  /** Load orders for one adapter version before its waiters are refused. */
  readonly attempts: number;
  /** Wait before the second order, in milliseconds; it doubles with each. */
  readonly backoffMs: number;
  /** Time after which a load order is given up, in milliseconds. */
  readonly timeoutMs: number;
  /** Time for which an adapter with a given up order gets no other, in milliseconds. */
  readonly abandonMs: number;
  /** Longest time that inherited pins last, in milliseconds. */
  readonly inheritedMs: number;
}

/** Limits that hold unless the caller gives others. */
export const LOAD_LIMITS: LoadLimits = {
  attempts: 3,
  backoffMs: 200,
  timeoutMs: 10_000,
  abandonMs: 30_000,
  inheritedMs: 300_000,
};

/** The part of an engine's reported state that the copy holds. */
export interface ReportedEngine {
  readonly incarnation: string;
  readonly slots: number;
  readonly loaded: readonly AdapterVersion[];
}

function slotOf(held: AdapterVersion, nowMs: number): Slot {
  return {
    adapter: held.adapter,
    version: held.version,
    pins: 0,
    lastUsedMs: nowMs,
  };
}

/** Copy of an engine incarnation that is seen for the first time. */
export function firstCopy(engine: ReportedEngine, nowMs: number): EngineCopy {
  const table = emptySlots(engine.incarnation, engine.slots);
  return {
    table: {...table, slots: engine.loaded.map(held => slotOf(held, nowMs))},
    failures: new Map(),
    inherited: new Set(),
    inheritedUntilMs: 0,
  };
}

/** Pins all loaded adapters for generations of an earlier process. */
export function withInheritedPins(
  copy: EngineCopy,
  nowMs: number,
  limits: LoadLimits,
): EngineCopy {
  return {
    ...copy,
    inherited: new Set(copy.table.slots.map(adapterKey)),
    inheritedUntilMs: nowMs + limits.inheritedMs,
  };
}

/** Ends inherited pins: the engine runs no generation of an earlier process. */
export function withoutInheritedPins(copy: EngineCopy): EngineCopy {
  return copy.inherited.size === 0 ? copy : {...copy, inherited: new Set()};
}

/** The copy with pins as the demand and the inherited generations give them. */
export function withPins(
  copy: EngineCopy,
  demands: readonly AdapterDemand[],
  nowMs: number,
): EngineCopy {
  const pins = new Map(
    demands.map(demand => [adapterKey(demand), demand.queued + demand.active]),
  );
  const inherits = nowMs < copy.inheritedUntilMs;
  const slots = copy.table.slots.map(slot => {
    const used = pins.get(adapterKey(slot)) ?? 0;
    const inherited = inherits && copy.inherited.has(adapterKey(slot)) ? 1 : 0;
    return {
      ...slot,
      pins: used + inherited,
      lastUsedMs: used > 0 ? nowMs : slot.lastUsedMs,
    };
  });
  return {...copy, table: {...copy.table, slots}};
}

/** Loads that queued requests wait for and that may be ordered now. */
export function waitingLoads(
  copy: EngineCopy,
  demands: readonly AdapterDemand[],
  nowMs: number,
): readonly WaitingLoad[] {
  return demands
    .filter(demand => demand.queued > 0 && !holds(copy.table, demand))
    .filter(demand => {
      const failures = copy.failures.get(adapterKey(demand));
      return failures === undefined || failures.notBeforeMs <= nowMs;
    })
    .map(demand => ({
      adapter: demand.adapter,
      version: demand.version,
      requests: demand.queued,
      sinceMs: demand.sinceMs,
    }));
}

/** Slots that orders without an answer may still use, until their time is over. */
function abandonedSlots({table, failures}: EngineCopy, nowMs: number): number {
  const known = new Set(table.slots.map(adapterKey));
  return [...failures].filter(
    ([key, {count, notBeforeMs}]) =>
      count === 0 && nowMs < notBeforeMs && !known.has(key),
  ).length;
}

/** The next load with its eviction. `copy` has the pins of this moment. */
export function nextLoad(
  copy: EngineCopy,
  demands: readonly AdapterDemand[],
  nowMs: number,
  options: PlanOptions = {},
): LoadPlan | undefined {
  const capacity = copy.table.capacity - abandonedSlots(copy, nowMs);
  const waiting = waitingLoads(copy, demands, nowMs);
  return planLoad({...copy.table, capacity}, waiting, {...options, nowMs});
}

/** Reserves the slot of a planned load; the evicted adapter leaves the copy first. */
export function withPlan(
  copy: EngineCopy,
  {load, evict}: LoadPlan,
): EngineCopy {
  const victim = evict && adapterKey(evict);
  const {adapter, version} = load;
  return {
    ...copy,
    table: {
      ...copy.table,
      slots: copy.table.slots.filter(slot => adapterKey(slot) !== victim),
      loading: [...copy.table.loading, {adapter, version}],
    },
  };
}

/** Releases the reservation of a planned load that was not ordered or has ended. */
export function withoutPlan(
  copy: EngineCopy,
  load: AdapterVersion,
): EngineCopy {
  const key = adapterKey(load);
  const loading = copy.table.loading.filter(held => adapterKey(held) !== key);
  return {...copy, table: {...copy.table, loading}};
}

/** The adapter has left the engine. */
export function withoutSlot(
  copy: EngineCopy,
  gone: AdapterVersion,
): EngineCopy {
  const key = adapterKey(gone);
  const slots = copy.table.slots.filter(slot => adapterKey(slot) !== key);
  return {...copy, table: {...copy.table, slots}};
}

/** The adapter is loaded, also when its load had been given up before. */
export function withLoaded(
  copy: EngineCopy,
  load: AdapterVersion,
  nowMs: number,
): EngineCopy {
  const key = adapterKey(load);
  const rest = withoutPlan(copy, load);
  const failures = new Map(rest.failures);
  failures.delete(key);
  if (holds(rest.table, load)) return {...rest, failures};
  const slots = [...rest.table.slots, slotOf(load, nowMs)];
  return {...rest, failures, table: {...rest.table, slots}};
}

/** A copy after a failed load. */
export interface FailedLoad {
  readonly copy: EngineCopy;
  /** True when no further order follows and the waiters are to be refused. */
  readonly givenUp: boolean;
}

/** A load order failed: another follows after a backoff, up to the limit. */
export function withFailedLoad(
  copy: EngineCopy,
  load: AdapterVersion,
  nowMs: number,
  limits: LoadLimits,
  random: () => number,
): FailedLoad {
  const key = adapterKey(load);
  const rest = withoutPlan(copy, load);
  const failures = new Map(rest.failures);
  const count = (failures.get(key)?.count ?? 0) + 1;
  const givenUp = count >= limits.attempts;
  const backoffMs = limits.backoffMs * 2 ** (count - 1) * (0.5 + random());
  // Requests that come after the refusal start a new series of attempts.
  if (givenUp) failures.delete(key);
  else failures.set(key, {count, notBeforeMs: nowMs + backoffMs});
  return {copy: {...rest, failures}, givenUp};
}

/**
 * Gives up an order without an answer. No other order for the adapter follows
 * for a while, and its slot is not given away: the order may still take effect.
 */
export function withAbandonedLoad(
  copy: EngineCopy,
  load: AdapterVersion,
  nowMs: number,
  limits: LoadLimits,
): EngineCopy {
  const key = adapterKey(load);
  const failures = new Map(copy.failures);
  failures.set(key, {count: 0, notBeforeMs: nowMs + limits.abandonMs});
  return {...withoutPlan(copy, load), failures};
}

/** A given up order was answered after all, so its adapter and slot are free again. */
export function withoutAbandoned(
  copy: EngineCopy,
  held: AdapterVersion,
): EngineCopy {
  const key = adapterKey(held);
  if (copy.failures.get(key)?.count !== 0) return copy;
  const failures = new Map(copy.failures);
  failures.delete(key);
  return {...copy, failures};
}

/** Tells whether the adapter has an order that was given up a short time ago. */
export function isAbandoned(
  copy: EngineCopy,
  wanted: AdapterVersion,
  nowMs: number,
): boolean {
  const failures = copy.failures.get(adapterKey(wanted));
  return failures?.count === 0 && nowMs < failures.notBeforeMs;
}

/** A copy after a comparison with the engine. */
export interface CorrectedCopy {
  readonly copy: EngineCopy;
  readonly foreign: ForeignOrders;
}

/**
 * Takes over what the engine of the same incarnation reports. `busy` holds the
 * keys of orders that ran during the read, whose report may be outdated; `open`
 * holds the keys of orders that ended without an answer.
 */
export function correctedCopy(
  copy: EngineCopy,
  engine: ReportedEngine,
  busy: ReadonlySet<string>,
  open: ReadonlySet<string>,
  nowMs: number,
): CorrectedCopy {
  const own = new Set([...busy, ...open]);
  const foreign = foreignOrders(copy.table.slots, engine.loaded, own);
  const reported = new Set(engine.loaded.map(adapterKey));
  const kept = copy.table.slots.filter(
    slot => busy.has(adapterKey(slot)) || reported.has(adapterKey(slot)),
  );
  const known = {...copy.table, slots: kept, capacity: engine.slots};
  const added = engine.loaded
    .filter(held => !busy.has(adapterKey(held)) && !holds(known, held))
    .map(held => slotOf(held, nowMs));
  return {
    copy: {...copy, table: {...known, slots: [...kept, ...added]}},
    foreign,
  };
}
