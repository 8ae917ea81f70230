/**
 * Shares of the weight store's rate limit. In every window of W seconds at most
 * `loadsPerSecond * W + burst` loads start, under these assumptions: wall clocks
 * are within `clockErrorMs` of true time, monotonic clocks drift by less than
 * `driftMs` in one lease, an order reaches the store within `orderMs` of its
 * permit check, and one process at a time runs with a given share index.
 */
import type {Tick} from './clock.js';

/** Rate limit of one pool of targets. */
export interface PermitLimit {
  readonly loadsPerSecond: number;
  readonly burst: number;
  /** Targets that the configuration declares for the pool. */
  readonly targets: number;
}

/** Times that the mechanism is built on, in milliseconds. */
export interface PermitTiming {
  readonly leaseMs: number;
  /** Validity of a permit from the sending of its grant. */
  readonly permitMs: number;
  /** Longest time from the permit check to the start of the load. */
  readonly orderMs: number;
  /** Largest difference of a wall clock from true time. */
  readonly clockErrorMs: number;
  /** Drift of two monotonic clocks against each other within one lease. */
  readonly driftMs: number;
}

/** Times of a pool in which processes answer within tens of milliseconds. */
export const PERMIT_TIMING: PermitTiming = {
  leaseMs: 3_000,
  permitMs: 130,
  orderMs: 30,
  clockErrorMs: 25,
  driftMs: 20,
};

/** Shortest part of a slot in which a grant may be sent, in milliseconds. */
const GRANT_WINDOW_MS = 60;

/** Limit and times, with what follows from them. */
export interface PermitRules {
  readonly limit: PermitLimit;
  readonly timing: PermitTiming;
  /** Distance of the starts of two slots, in milliseconds of wall time. */
  readonly slotMs: number;
  /** Part of a slot in which its load may start. */
  readonly openMs: number;
  /** Time without loads after which a change of use cannot exceed the limit. */
  readonly quietMs: number;
  /** Capacity of the coordinator's bucket; below 1 the pool uses slots only. */
  readonly capacity: number;
}

/** Derives the rules of a pool. */
export function permitRules(
  limit: PermitLimit,
  timing: PermitTiming = PERMIT_TIMING,
): PermitRules {
  const {loadsPerSecond, burst} = limit;
  const intervalMs = 1_000 / loadsPerSecond;
  const slackMs = (burst - 1) * intervalMs;
  const useMs = timing.permitMs + timing.orderMs;
  // Loads of two slots may be closer than the slots by openMs and both clock
  // errors. The burst covers that much; beyond it the slots move apart.
  const openMs = Math.max(
    Math.min(slackMs, intervalMs) - 2 * timing.clockErrorMs,
    useMs + GRANT_WINDOW_MS,
  );
  const jitterMs = openMs + 2 * timing.clockErrorMs;
  return {
    limit,
    timing,
    slotMs: intervalMs + Math.max(0, jitterMs - slackMs),
    openMs,
    quietMs: Math.max(burst * intervalMs, jitterMs),
    // Permits are used up to useMs late, so as many may bunch up as the bucket
    // refills within that time.
    capacity: burst - (useMs * loadsPerSecond) / 1_000,
  };
}

/** Owner's state of its share. Times are the owner's monotonic milliseconds. */
export interface Share {
  readonly index: number;
  /** Coordinator that the share is lent to; empty for none. */
  readonly lentTo: string;
  /** End of the lease, or of the wait after a start or a lone use. */
  readonly busyUntilMs: number;
}

/**
 * Share of a process that has just started. It waits for the end of a lease
 * that the previous process may have given.
 */
export function startShare(
  index: number,
  nowMs: number,
  {timing, quietMs}: PermitRules,
): Share {
  const busyUntilMs = nowMs + timing.leaseMs + quietMs;
  return {index, lentTo: '', busyUntilMs};
}

/**
 * Lends the share, or renews it for the same coordinator; undefined when it is
 * in use or the coordinator has no name.
 */
export function lendShare(
  share: Share,
  coordinator: string,
  nowMs: number,
  {timing, quietMs}: PermitRules,
): Share | undefined {
  if (coordinator === '') return undefined;
  const renewal = share.lentTo === coordinator;
  if (!renewal && nowMs < share.busyUntilMs) return undefined;
  const busyUntilMs = nowMs + timing.leaseMs + quietMs;
  return {...share, lentTo: coordinator, busyUntilMs};
}

/** Rate and burst of one share, as a lend response states them. */
export function shareOf({limit}: PermitRules): {
  loadsPerSecond: number;
  burst: number;
} {
  return {
    loadsPerSecond: limit.loadsPerSecond / limit.targets,
    burst: limit.burst / limit.targets,
  };
}

/** Number of the slot that is open at a wall clock reading, or -1. */
function openSlot(wallMs: number, leadMs: number, rules: PermitRules): number {
  const slot = Math.floor(wallMs / rules.slotMs);
  const openFor = rules.openMs - (wallMs - slot * rules.slotMs);
  return openFor >= leadMs ? slot : -1;
}

/**
 * Takes the permit of the share's own slot; undefined when there is none now.
 * The wait after it is longer than the slot stays open, so a wall clock that is
 * set back does not repeat the slot.
 */
export function takeSlot(
  share: Share,
  now: Tick,
  rules: PermitRules,
): Share | undefined {
  if (now.monotonicMs < share.busyUntilMs) return undefined;
  const slot = openSlot(now.wallMs, rules.timing.orderMs, rules);
  if (slot < 0) return undefined;
  if (slot % rules.limit.targets !== share.index) return undefined;
  return {
    ...share,
    lentTo: '',
    busyUntilMs: now.monotonicMs + rules.quietMs,
  };
}

/** Grant as a lend request carries it. */
export interface Grant {
  readonly coordinator: string;
  readonly grant: number;
  readonly permits: number;
  readonly permitMs: number;
  /** Incarnation of the receiver that the deadline refers to. */
  readonly incarnation: string;
  /** End of validity in the receiver's monotonic clock, estimated by the sender. */
  readonly deadlineNodeClockMs: number;
}

/** Grant at its receiver. */
interface HeldGrant {
  readonly id: string;
  readonly left: number;
  readonly until: Tick;
  /** Monotonic clock from which a duplicate is late, so that the id is not needed. */
  readonly lateFromMs: number;
}

/** Permits that a target node holds. */
export interface HeldPermits {
  readonly incarnation: string;
  readonly grants: readonly HeldGrant[];
}

/** Tells whether either clock has reached the end; a suspended VM's monotonic clock stands still. */
function isPast(until: Tick, now: Tick): boolean {
  return now.monotonicMs > until.monotonicMs || now.wallMs > until.wallMs;
}

/** Adds a grant. A duplicate, a late one and one for another incarnation change nothing. */
export function receiveGrant(
  held: HeldPermits,
  grant: Grant,
  now: Tick,
): HeldPermits {
  const id = `${grant.coordinator}/${grant.grant}`;
  const live = held.grants.filter(known => now.monotonicMs < known.lateFromMs);
  const validMs = Math.min(
    grant.permitMs,
    grant.deadlineNodeClockMs - now.monotonicMs,
  );
  const isUseless =
    grant.permits <= 0 ||
    validMs <= 0 ||
    grant.incarnation !== held.incarnation ||
    live.some(known => known.id === id);
  if (isUseless) return {...held, grants: live};
  const until = {
    monotonicMs: now.monotonicMs + validMs,
    wallMs: now.wallMs + validMs,
  };
  const lateFromMs = grant.deadlineNodeClockMs;
  const received = {id, left: grant.permits, until, lateFromMs};
  return {...held, grants: [...live, received]};
}

/** Uses one permit; undefined when none is valid. Used grants stay as known ids. */
export function takePermit(
  held: HeldPermits,
  now: Tick,
): HeldPermits | undefined {
  const usable = held.grants.find(
    grant => grant.left > 0 && !isPast(grant.until, now),
  );
  if (usable === undefined) return undefined;
  const grants = held.grants.map(grant =>
    grant === usable ? {...grant, left: grant.left - 1} : grant,
  );
  return {...held, grants};
}

/** Coordinator's state. */
export interface Coordinator {
  /** End of each lease by the coordinator's clocks, by share index. */
  readonly leases: ReadonlyMap<number, Tick>;
  /** Bucket of the whole limit; undefined while a share is missing. */
  readonly bucket?: {readonly tokens: number; readonly atMs: number};
  /** Monotonic clock of the last grant from the bucket, or of the start. */
  readonly quietSinceMs: number;
  readonly lastSlot: number;
  readonly nextGrant: number;
}

/** What a target wants, from its last lend response. */
export interface LoadDemand {
  readonly index: number;
  readonly waitingRequests: number;
  readonly loadsWanted: number;
}

/** Permits for one target. */
export interface GrantedPermits {
  readonly index: number;
  readonly permits: number;
  readonly grant: number;
}

/** Coordinator of a process that has just started; the previous one may have granted until now. */
export function startCoordinator(
  nowMs: number,
  firstGrant: number = 1,
): Coordinator {
  return {
    leases: new Map(),
    quietSinceMs: nowMs,
    lastSlot: -1,
    nextGrant: firstGrant,
  };
}

/** Records a share lent in answer to a request; the lease counts from before the request was sent. */
export function recordLease(
  coordinator: Coordinator,
  index: number,
  askedAt: Tick,
  {timing}: PermitRules,
): Coordinator {
  const leaseMs = timing.leaseMs - timing.driftMs;
  const until = {
    monotonicMs: askedAt.monotonicMs + leaseMs,
    wallMs: askedAt.wallMs + leaseMs - 2 * timing.clockErrorMs,
  };
  const known = coordinator.leases.get(index);
  if (known !== undefined && known.monotonicMs > until.monotonicMs) {
    return coordinator;
  }
  return {
    ...coordinator,
    leases: new Map(coordinator.leases).set(index, until),
  };
}

/**
 * Permits for the targets with the most waiting work, as far as the lent shares
 * allow now. The deadlines of the grants count from the same reading `now`.
 */
export function grantPermits(
  coordinator: Coordinator,
  demands: readonly LoadDemand[],
  now: Tick,
  rules: PermitRules,
): {coordinator: Coordinator; granted: readonly GrantedPermits[]} {
  const ready = withBucket(coordinator, now, rules);
  const order = permitOrder(demands, available(ready, now, rules));
  const counts = new Map<number, number>();
  for (const index of order) counts.set(index, (counts.get(index) ?? 0) + 1);
  let nextGrant = ready.nextGrant;
  const granted = [...counts].map(([index, permits]) => ({
    index,
    permits,
    grant: nextGrant++,
  }));
  const spent = spend(ready, order.length, now, rules);
  return {coordinator: {...spent, nextGrant}, granted};
}

/** Leases that outlast the use of a permit granted now. */
function usableLeases(
  {leases}: Coordinator,
  now: Tick,
  {timing}: PermitRules,
): ReadonlyMap<number, Tick> {
  const useMs = timing.permitMs + timing.orderMs;
  const useEnd = {
    monotonicMs: now.monotonicMs + useMs,
    wallMs: now.wallMs + useMs,
  };
  return new Map([...leases].filter(([, until]) => !isPast(until, useEnd)));
}

/**
 * Refills the bucket while all shares are lent. It starts empty, because its
 * owners may have used their slots just before.
 */
function withBucket(
  coordinator: Coordinator,
  now: Tick,
  rules: PermitRules,
): Coordinator {
  const {limit, capacity} = rules;
  const leases = usableLeases(coordinator, now, rules);
  const kept = {...coordinator, leases};
  if (leases.size < limit.targets || capacity < 1) {
    return {...kept, bucket: undefined};
  }
  const last = coordinator.bucket ?? {tokens: 0, atMs: now.monotonicMs};
  const refill = ((now.monotonicMs - last.atMs) * limit.loadsPerSecond) / 1_000;
  const tokens = Math.min(capacity, last.tokens + refill);
  return {...kept, bucket: {tokens, atMs: now.monotonicMs}};
}

/** Number of permits that may be granted now. */
function available(
  coordinator: Coordinator,
  now: Tick,
  rules: PermitRules,
): number {
  // A sum of refills may miss a whole token by a rounding error.
  if (coordinator.bucket !== undefined) {
    return Math.floor(coordinator.bucket.tokens + 1e-9);
  }
  if (now.monotonicMs < coordinator.quietSinceMs + rules.quietMs) return 0;
  const useMs = rules.timing.permitMs + rules.timing.orderMs;
  const slot = openSlot(now.wallMs, useMs, rules);
  if (slot <= coordinator.lastSlot) return 0;
  return coordinator.leases.has(slot % rules.limit.targets) ? 1 : 0;
}

/** Targets of up to `permits` permits, one entry for each permit. */
function permitOrder(
  demands: readonly LoadDemand[],
  permits: number,
): readonly number[] {
  const open = demands.map(demand => ({...demand}));
  const order: number[] = [];
  while (order.length < permits) {
    const best = open
      .filter(demand => demand.loadsWanted > 0)
      .sort((a, b) => b.waitingRequests - a.waitingRequests)[0];
    if (best === undefined) break;
    order.push(best.index);
    best.waitingRequests *= 1 - 1 / best.loadsWanted;
    best.loadsWanted -= 1;
  }
  return order;
}

function spend(
  coordinator: Coordinator,
  permits: number,
  now: Tick,
  {slotMs, timing}: PermitRules,
): Coordinator {
  if (permits === 0) return coordinator;
  const {bucket} = coordinator;
  if (bucket === undefined) {
    return {...coordinator, lastSlot: Math.floor(now.wallMs / slotMs)};
  }
  const useMs = timing.permitMs + timing.orderMs;
  return {
    ...coordinator,
    bucket: {...bucket, tokens: bucket.tokens - permits},
    quietSinceMs: now.monotonicMs + useMs,
  };
}
