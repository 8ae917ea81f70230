/**
 * A target node's copy of the state of its engine: loaded adapters, loads in
 * progress and their retries. Copies are immutable; each transition returns a new
 * one.
 */
import {findForeignOrders, type ForeignOrders} from './fencing.js';
import {adapterKey, type AdapterVersion} from './report.js';
import {
  emptySlots,
  isLoadedOrLoading,
  planLoad,
  type LoadPlan,
  type PlanOptions,
  type Slot,
  type SlotTable,
  type WaitingLoad,
} from './slots.js';

/** Requests for one adapter version at this node. */
export interface AdapterDemand extends AdapterVersion {
  /** Requests that have not been started in the engine. */
  readonly queued: number;
  /** Requests that are running in the engine, or may still be. */
  readonly active: number;
  /** Monotonic time at which the earliest queued request arrived, in milliseconds. */
  readonly sinceMs: number;
}

/** Failed or abandoned loads of one adapter version. */
export interface LoadFailures {
  /** Failed attempts; 0 after a load order was abandoned without an answer. */
  readonly count: number;
  /** Monotonic time before which no load order is sent, in milliseconds. */
  readonly notBeforeMs: number;
}

/** State of the engine as the target node knows it. */
export interface EngineCopy {
  readonly table: SlotTable;
  readonly failures: ReadonlyMap<string, LoadFailures>;
  /**
   * Keys of adapters that generations of an earlier node process may be using. The
   * engine reports only how many generations it runs, so each adapter that was
   * loaded when this process started counts as in use.
   */
  readonly inherited: ReadonlySet<string>;
  /** Monotonic time at which the pins of inherited adapters end, in milliseconds. */
  readonly inheritedUntilMs: number;
}

/** Limits for load orders. */
export interface LoadLimits {
  /**
   * Number of failed loads in a row of one adapter version after which the requests that wait
   * for it are refused.
   */
  readonly attempts: number;
  /** Mean delay before the second order, in milliseconds; it doubles for each further order. */
  readonly backoffMs: number;
  /** Time after which a load order without an answer is abandoned, in milliseconds. */
  readonly timeoutMs: number;
  /** Time after abandoning an order during which the adapter gets no other, in milliseconds. */
  readonly abandonMs: number;
  /** Maximum duration of inherited pins, in milliseconds. */
  readonly inheritedMs: number;
}

/** Default limits. */
export const LOAD_LIMITS: LoadLimits = {
  attempts: 3,
  backoffMs: 200,
  timeoutMs: 10_000,
  abandonMs: 30_000,
  inheritedMs: 300_000,
};

/** The fields of an engine's reported state that the copy uses. */
export interface ReportedEngine {
  readonly incarnation: string;
  readonly slots: number;
  readonly loaded: readonly AdapterVersion[];
}

function unpinnedSlot(loaded: AdapterVersion, nowMs: number): Slot {
  return {
    adapter: loaded.adapter,
    version: loaded.version,
    pins: 0,
    lastUsedMs: nowMs,
  };
}

/** Returns the copy of an engine incarnation that is seen for the first time. */
export function initialCopy(engine: ReportedEngine, nowMs: number): EngineCopy {
  const table = emptySlots(engine.incarnation, engine.slots);
  return {
    table: {
      ...table,
      slots: engine.loaded.map(loaded => unpinnedSlot(loaded, nowMs)),
    },
    failures: new Map(),
    inherited: new Set(),
    inheritedUntilMs: 0,
  };
}

/**
 * Marks all loaded adapters as inherited, because generations of an earlier process may be
 * using them. {@link withPins} then pins them for at most `limits.inheritedMs`.
 */
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

/**
 * Marks no adapter as inherited any more. Must be called only when the engine runs no
 * generation of an earlier process. The pins end with the next {@link withPins}.
 */
export function withoutInheritedPins(copy: EngineCopy): EngineCopy {
  return copy.inherited.size === 0 ? copy : {...copy, inherited: new Set()};
}

/** Recomputes the pins of all slots from the demand and the inherited generations. */
export function withPins(
  copy: EngineCopy,
  demands: readonly AdapterDemand[],
  nowMs: number,
): EngineCopy {
  const requests = new Map(
    demands.map(demand => [adapterKey(demand), demand.queued + demand.active]),
  );
  const hasInheritedPins = nowMs < copy.inheritedUntilMs;
  const slots = copy.table.slots.map(slot => {
    const requestPins = requests.get(adapterKey(slot)) ?? 0;
    const inheritedPins =
      hasInheritedPins && copy.inherited.has(adapterKey(slot)) ? 1 : 0;
    return {
      ...slot,
      pins: requestPins + inheritedPins,
      lastUsedMs: requestPins > 0 ? nowMs : slot.lastUsedMs,
    };
  });
  return {...copy, table: {...copy.table, slots}};
}

/** Returns the loads that queued requests wait for and that may be ordered now. */
export function waitingLoads(
  copy: EngineCopy,
  demands: readonly AdapterDemand[],
  nowMs: number,
): readonly WaitingLoad[] {
  return demands
    .filter(
      demand => demand.queued > 0 && !isLoadedOrLoading(copy.table, demand),
    )
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

/**
 * Returns the number of slots that abandoned load orders may still occupy: those orders
 * got no answer, and the engine may carry them out until `abandonMs` has passed.
 */
function slotsOfAbandonedLoads(
  {table, failures}: EngineCopy,
  nowMs: number,
): number {
  const loaded = new Set(table.slots.map(adapterKey));
  return [...failures].filter(
    ([key, {count, notBeforeMs}]) =>
      count === 0 && nowMs < notBeforeMs && !loaded.has(key),
  ).length;
}

/**
 * Plans the next load and the eviction that it requires. The pins of `copy` must be
 * up to date.
 */
export function nextLoad(
  copy: EngineCopy,
  demands: readonly AdapterDemand[],
  nowMs: number,
  options: PlanOptions = {},
): LoadPlan | undefined {
  const capacity = copy.table.capacity - slotsOfAbandonedLoads(copy, nowMs);
  const waiting = waitingLoads(copy, demands, nowMs);
  return planLoad({...copy.table, capacity}, waiting, {...options, nowMs});
}

/** Removes the adapter to be evicted from the copy and reserves a slot for the planned load. */
export function withReservation(
  copy: EngineCopy,
  {load, evict}: LoadPlan,
): EngineCopy {
  const evictedKey = evict && adapterKey(evict);
  const {adapter, version} = load;
  return {
    ...copy,
    table: {
      ...copy.table,
      slots: copy.table.slots.filter(slot => adapterKey(slot) !== evictedKey),
      loading: [...copy.table.loading, {adapter, version}],
    },
  };
}

/** Releases the slot reserved for a load that was not ordered or has ended. */
export function withoutReservation(
  copy: EngineCopy,
  load: AdapterVersion,
): EngineCopy {
  const key = adapterKey(load);
  const loading = copy.table.loading.filter(other => adapterKey(other) !== key);
  return {...copy, table: {...copy.table, loading}};
}

/** Removes an adapter that is no longer loaded in the engine. */
export function withoutSlot(
  copy: EngineCopy,
  removed: AdapterVersion,
): EngineCopy {
  const key = adapterKey(removed);
  const slots = copy.table.slots.filter(slot => adapterKey(slot) !== key);
  return {...copy, table: {...copy.table, slots}};
}

/** Records that an adapter is loaded, even if its load order was abandoned before. */
export function withLoaded(
  copy: EngineCopy,
  load: AdapterVersion,
  nowMs: number,
): EngineCopy {
  const key = adapterKey(load);
  const rest = withoutReservation(copy, load);
  const failures = new Map(rest.failures);
  failures.delete(key);
  if (isLoadedOrLoading(rest.table, load)) return {...rest, failures};
  const slots = [...rest.table.slots, unpinnedSlot(load, nowMs)];
  return {...rest, failures, table: {...rest.table, slots}};
}

/** Result of {@link withFailedLoad}. */
export interface FailedLoad {
  readonly copy: EngineCopy;
  /**
   * Whether no further attempt follows. The requests that wait for the adapter must then be
   * refused.
   */
  readonly givenUp: boolean;
}

/**
 * Records a failed load. Another attempt follows after a backoff, up to `limits.attempts`.
 * `random` returns numbers in [0, 1) that spread the backoff.
 */
export function withFailedLoad(
  copy: EngineCopy,
  load: AdapterVersion,
  nowMs: number,
  limits: LoadLimits,
  random: () => number,
): FailedLoad {
  const key = adapterKey(load);
  const rest = withoutReservation(copy, load);
  const failures = new Map(rest.failures);
  const count = (failures.get(key)?.count ?? 0) + 1;
  const givenUp = count >= limits.attempts;
  const backoffMs = limits.backoffMs * 2 ** (count - 1) * (0.5 + random());
  // Requests that arrive after the refusal start a new series of attempts.
  if (givenUp) failures.delete(key);
  else failures.set(key, {count, notBeforeMs: nowMs + backoffMs});
  return {copy: {...rest, failures}, givenUp};
}

/**
 * Abandons a load order that got no answer. The order may still take effect, so for
 * `limits.abandonMs` its slot stays reserved and no other order for the adapter is
 * sent.
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
  return {...withoutReservation(copy, load), failures};
}

/**
 * Ends the blocking of an adapter and its slot when its abandoned order has been
 * answered after all.
 */
export function withoutAbandoned(
  copy: EngineCopy,
  answered: AdapterVersion,
): EngineCopy {
  const key = adapterKey(answered);
  if (copy.failures.get(key)?.count !== 0) return copy;
  const failures = new Map(copy.failures);
  failures.delete(key);
  return {...copy, failures};
}

/** Returns whether a load order for the adapter was abandoned less than `abandonMs` ago. */
export function isAbandoned(
  copy: EngineCopy,
  load: AdapterVersion,
  nowMs: number,
): boolean {
  const failures = copy.failures.get(adapterKey(load));
  return failures?.count === 0 && nowMs < failures.notBeforeMs;
}

/** Result of {@link reconcileCopy}. */
export interface ReconciledCopy {
  readonly copy: EngineCopy;
  /** Changes in the engine that this process did not order. */
  readonly foreign: ForeignOrders;
}

/**
 * Updates the copy from a report of the same engine incarnation. `inProgress` holds the
 * keys of adapters with an order in progress during the read; the report may be
 * outdated for them. `unanswered` holds the keys of adapters whose order ended without an
 * answer.
 */
export function reconcileCopy(
  copy: EngineCopy,
  engine: ReportedEngine,
  inProgress: ReadonlySet<string>,
  unanswered: ReadonlySet<string>,
  nowMs: number,
): ReconciledCopy {
  const ownOrders = new Set([...inProgress, ...unanswered]);
  const foreign = findForeignOrders(copy.table.slots, engine.loaded, ownOrders);
  const reported = new Set(engine.loaded.map(adapterKey));
  const kept = copy.table.slots.filter(
    slot => inProgress.has(adapterKey(slot)) || reported.has(adapterKey(slot)),
  );
  const table = {...copy.table, slots: kept, capacity: engine.slots};
  const added = engine.loaded
    .filter(
      loaded =>
        !inProgress.has(adapterKey(loaded)) &&
        !isLoadedOrLoading(table, loaded),
    )
    .map(loaded => unpinnedSlot(loaded, nowMs));
  return {
    copy: {...copy, table: {...table, slots: [...kept, ...added]}},
    foreign,
  };
}
