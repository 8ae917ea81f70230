/**
 * Distributed enforcement of the weight store's rate limit. Every target owns a
 * share of the limit. It either uses the share itself, for one load in each of
 * its own time slots, or leases it to a coordinator. A coordinator that leases
 * all shares grants permits from one token bucket; otherwise it grants them in
 * the time slots of the shares that it leases.
 *
 * In every window of W seconds at most `loadsPerSecond * W + burst` loads start.
 * This holds if wall clocks are within `clockErrorMs` of true time, monotonic
 * clocks drift by less than `driftMs` during one lease, a load order reaches the
 * store within `orderMs` of its permit check, and at most one process runs with
 * a given share index at any time.
 */
import type {Tick} from './clock.js';

/** Rate limit of one pool of targets. */
export interface PermitLimit {
  readonly loadsPerSecond: number;
  /** Number of loads that may start in any window in addition to the rate. */
  readonly burst: number;
  /** Number of targets that the configuration declares for the pool. */
  readonly targets: number;
}

/** Timing assumptions and durations of the protocol, in milliseconds. */
export interface PermitTiming {
  /** Duration of a lease, measured by the owner of the share. */
  readonly leaseMs: number;
  /** Validity of a permit, measured from the time at which its grant is sent. */
  readonly permitMs: number;
  /** Maximum time from the permit check to the start of the load. */
  readonly orderMs: number;
  /** Maximum deviation of a wall clock from true time. */
  readonly clockErrorMs: number;
  /** Maximum drift between two monotonic clocks during one lease. */
  readonly driftMs: number;
}

/** Timing for a pool whose processes answer within tens of milliseconds. */
export const PERMIT_TIMING: PermitTiming = {
  leaseMs: 3_000,
  permitMs: 130,
  orderMs: 30,
  clockErrorMs: 25,
  driftMs: 20,
};

/** Minimum time within each time slot during which a grant can be sent, in milliseconds. */
const MIN_GRANT_WINDOW_MS = 60;

/** Limit and timing of a pool, with the values derived from them. */
export interface PermitRules {
  readonly limit: PermitLimit;
  readonly timing: PermitTiming;
  /** Interval between the starts of two consecutive time slots, in milliseconds of wall time. */
  readonly slotIntervalMs: number;
  /** Time from the start of a time slot within which its load may start, in milliseconds. */
  readonly slotOpenMs: number;
  /**
   * Time without loads that must pass before a share, or the whole limit, is used
   * in another way, so that the loads before and after the change together stay
   * within the limit; in milliseconds.
   */
  readonly switchDelayMs: number;
  /** Capacity of the coordinator's bucket, in permits; below 1 the pool uses time slots only. */
  readonly capacity: number;
}

/** Derives the rules of a pool from its limit and timing. */
export function permitRules(
  limit: PermitLimit,
  timing: PermitTiming = PERMIT_TIMING,
): PermitRules {
  const {loadsPerSecond, burst} = limit;
  const intervalMs = 1_000 / loadsPerSecond;
  const slackMs = (burst - 1) * intervalMs;
  const permitUseMs = timing.permitMs + timing.orderMs;
  // The loads of two consecutive time slots can be closer together than the slots
  // by slotOpenMs plus both clock errors. The burst absorbs that difference as far as
  // it reaches; the interval between slots grows by the rest.
  const slotOpenMs = Math.max(
    Math.min(slackMs, intervalMs) - 2 * timing.clockErrorMs,
    permitUseMs + MIN_GRANT_WINDOW_MS,
  );
  const jitterMs = slotOpenMs + 2 * timing.clockErrorMs;
  return {
    limit,
    timing,
    slotIntervalMs: intervalMs + Math.max(0, jitterMs - slackMs),
    slotOpenMs,
    switchDelayMs: Math.max(burst * intervalMs, jitterMs),
    // A permit may be used up to permitUseMs after its grant. Permits granted over that
    // time may be used together, so the capacity leaves out the refill within it.
    capacity: burst - (permitUseMs * loadsPerSecond) / 1_000,
  };
}

/** State of a share at its owner. Times are milliseconds of the owner's monotonic clock. */
export interface RateShare {
  readonly index: number;
  /** Coordinator that leases the share; empty if there is none. */
  readonly coordinator: string;
  /**
   * Earliest time at which the owner may use the share or lease it to another
   * coordinator: a waiting period after the lease, the start of the process or
   * the last load in the owner's time slot.
   */
  readonly availableFromMs: number;
}

/**
 * Returns the share of a process that has just started. It is unavailable until
 * a lease that the previous process may have granted has ended.
 */
export function startShare(
  index: number,
  nowMs: number,
  {timing, switchDelayMs}: PermitRules,
): RateShare {
  const availableFromMs = nowMs + timing.leaseMs + switchDelayMs;
  return {index, coordinator: '', availableFromMs};
}

/**
 * Leases the share to a coordinator, or renews the lease of the same coordinator.
 * Returns undefined if the share is not available or the coordinator has no name.
 */
export function lendShare(
  share: RateShare,
  coordinator: string,
  nowMs: number,
  {timing, switchDelayMs}: PermitRules,
): RateShare | undefined {
  if (coordinator === '') return undefined;
  const isRenewal = share.coordinator === coordinator;
  if (!isRenewal && nowMs < share.availableFromMs) return undefined;
  const availableFromMs = nowMs + timing.leaseMs + switchDelayMs;
  return {...share, coordinator, availableFromMs};
}

/** Returns the rate and the burst of one share, as sent in a lend response. */
export function shareLimit({limit}: PermitRules): {
  loadsPerSecond: number;
  burst: number;
} {
  return {
    loadsPerSecond: limit.loadsPerSecond / limit.targets,
    burst: limit.burst / limit.targets,
  };
}

/**
 * Returns the number of the time slot that stays open for at least `leadMs` after
 * a wall clock reading, or -1 if no time slot does.
 */
function openTimeSlot(
  wallMs: number,
  leadMs: number,
  rules: PermitRules,
): number {
  const slot = Math.floor(wallMs / rules.slotIntervalMs);
  const remainingOpenMs =
    rules.slotOpenMs - (wallMs - slot * rules.slotIntervalMs);
  return remainingOpenMs >= leadMs ? slot : -1;
}

/**
 * Uses the share's own time slot for one load. Returns undefined if the slot is
 * not open or the share is not available. The waiting period that follows is
 * longer than a slot stays open, so a wall clock that is set back cannot open
 * the same slot twice.
 */
export function takeTimeSlot(
  share: RateShare,
  now: Tick,
  rules: PermitRules,
): RateShare | undefined {
  if (now.monotonicMs < share.availableFromMs) return undefined;
  const slot = openTimeSlot(now.wallMs, rules.timing.orderMs, rules);
  if (slot < 0) return undefined;
  if (slot % rules.limit.targets !== share.index) return undefined;
  return {
    ...share,
    coordinator: '',
    availableFromMs: now.monotonicMs + rules.switchDelayMs,
  };
}

/** Permits granted to one target, as a lend request carries them. */
export interface Grant {
  readonly coordinator: string;
  /** Sequence number at the coordinator; it identifies duplicates. */
  readonly grant: number;
  readonly permits: number;
  /** Validity from the sending of the grant, in milliseconds. */
  readonly permitMs: number;
  /** Incarnation of the receiver that the grant is meant for. */
  readonly incarnation: string;
  /** End of validity on the receiver's monotonic clock, as estimated by the sender, in milliseconds. */
  readonly deadlineNodeClockMs: number;
}

/** A grant at the target node that received it. */
interface HeldGrant {
  readonly id: string;
  readonly remainingPermits: number;
  readonly expiresAt: Tick;
  /**
   * Monotonic time from which a duplicate is rejected as expired, so the id can be forgotten;
   * in milliseconds.
   */
  readonly forgetAtMs: number;
}

/** Grants that a target node has received. */
export interface HeldPermits {
  readonly incarnation: string;
  readonly grants: readonly HeldGrant[];
}

/**
 * Returns whether either clock has passed a time. The wall clock is needed because
 * the monotonic clock stops while a VM is suspended.
 */
function isPast(end: Tick, now: Tick): boolean {
  return now.monotonicMs > end.monotonicMs || now.wallMs > end.wallMs;
}

/** Adds a grant. Duplicates, expired grants and grants for another incarnation are ignored. */
export function receiveGrant(
  held: HeldPermits,
  grant: Grant,
  now: Tick,
): HeldPermits {
  const id = `${grant.coordinator}/${grant.grant}`;
  const remembered = held.grants.filter(
    earlier => now.monotonicMs < earlier.forgetAtMs,
  );
  const validMs = Math.min(
    grant.permitMs,
    grant.deadlineNodeClockMs - now.monotonicMs,
  );
  const isIgnored =
    grant.permits <= 0 ||
    validMs <= 0 ||
    grant.incarnation !== held.incarnation ||
    remembered.some(earlier => earlier.id === id);
  if (isIgnored) return {...held, grants: remembered};
  const expiresAt = {
    monotonicMs: now.monotonicMs + validMs,
    wallMs: now.wallMs + validMs,
  };
  const forgetAtMs = grant.deadlineNodeClockMs;
  const added = {id, remainingPermits: grant.permits, expiresAt, forgetAtMs};
  return {...held, grants: [...remembered, added]};
}

/**
 * Uses one permit. Returns undefined if none is valid. Grants without permits left
 * are kept, because their ids identify duplicates.
 */
export function takePermit(
  held: HeldPermits,
  now: Tick,
): HeldPermits | undefined {
  const usable = held.grants.find(
    grant => grant.remainingPermits > 0 && !isPast(grant.expiresAt, now),
  );
  if (usable === undefined) return undefined;
  const grants = held.grants.map(grant =>
    grant === usable
      ? {...grant, remainingPermits: grant.remainingPermits - 1}
      : grant,
  );
  return {...held, grants};
}

/** State of a coordinator. */
export interface Coordinator {
  /** End of each lease on the coordinator's clocks, by share index. */
  readonly leases: ReadonlyMap<number, Tick>;
  /** Token bucket for the whole limit; undefined unless all shares are leased and it can hold a permit. */
  readonly bucket?: {readonly tokens: number; readonly atMs: number};
  /**
   * Monotonic time of the last possible use of a permit from the bucket, or of the
   * start of the process, in milliseconds.
   */
  readonly idleSinceMs: number;
  /** Last time slot in which a permit was granted; -1 before the first. */
  readonly lastSlot: number;
  /** Sequence number of the next grant. */
  readonly nextGrant: number;
}

/** Loads that a target requires, according to its last lend response. */
export interface LoadDemand {
  readonly index: number;
  readonly waitingRequests: number;
  readonly loadsWanted: number;
}

/** Permits granted to one target. */
export interface GrantedPermits {
  readonly index: number;
  readonly permits: number;
  readonly grant: number;
}

/**
 * Returns the coordinator state of a process that has just started. The previous
 * process is assumed to have granted permits until `nowMs`. `firstGrant` is the sequence
 * number of the first grant.
 */
export function startCoordinator(
  nowMs: number,
  firstGrant: number = 1,
): Coordinator {
  return {
    leases: new Map(),
    idleSinceMs: nowMs,
    lastSlot: -1,
    nextGrant: firstGrant,
  };
}

/**
 * Records the lease of a share. It is counted from before the lend request was sent
 * and shortened by the clock drift and clock errors, so it ends here before it ends at
 * the owner.
 */
export function recordLease(
  coordinator: Coordinator,
  index: number,
  requestedAt: Tick,
  {timing}: PermitRules,
): Coordinator {
  const leaseMs = timing.leaseMs - timing.driftMs;
  const end = {
    monotonicMs: requestedAt.monotonicMs + leaseMs,
    wallMs: requestedAt.wallMs + leaseMs - 2 * timing.clockErrorMs,
  };
  const recorded = coordinator.leases.get(index);
  if (recorded !== undefined && recorded.monotonicMs > end.monotonicMs) {
    return coordinator;
  }
  return {
    ...coordinator,
    leases: new Map(coordinator.leases).set(index, end),
  };
}

/**
 * Grants the permits that the leased shares allow now, to the targets with the most
 * waiting requests first. The deadlines of the grants must be counted from the same
 * clock reading `now`.
 */
export function grantPermits(
  coordinator: Coordinator,
  demands: readonly LoadDemand[],
  now: Tick,
  rules: PermitRules,
): {coordinator: Coordinator; granted: readonly GrantedPermits[]} {
  const current = refillBucket(coordinator, now, rules);
  const assigned = assignPermits(
    demands,
    availablePermits(current, now, rules),
  );
  const counts = new Map<number, number>();
  for (const index of assigned) counts.set(index, (counts.get(index) ?? 0) + 1);
  let nextGrant = current.nextGrant;
  const granted = [...counts].map(([index, permits]) => ({
    index,
    permits,
    grant: nextGrant++,
  }));
  const spent = spendPermits(current, assigned.length, now, rules);
  return {coordinator: {...spent, nextGrant}, granted};
}

/** Returns the leases that outlast the use of a permit granted now. */
function usableLeases(
  {leases}: Coordinator,
  now: Tick,
  {timing}: PermitRules,
): ReadonlyMap<number, Tick> {
  const permitUseMs = timing.permitMs + timing.orderMs;
  const useEnd = {
    monotonicMs: now.monotonicMs + permitUseMs,
    wallMs: now.wallMs + permitUseMs,
  };
  return new Map([...leases].filter(([, end]) => !isPast(end, useEnd)));
}

/**
 * Drops leases that are about to end, and refills the bucket while all shares are
 * leased. A new bucket is empty, because the owners of the shares may have used
 * their time slots just before.
 */
function refillBucket(
  coordinator: Coordinator,
  now: Tick,
  rules: PermitRules,
): Coordinator {
  const {limit, capacity} = rules;
  const leases = usableLeases(coordinator, now, rules);
  const current = {...coordinator, leases};
  if (leases.size < limit.targets || capacity < 1) {
    return {...current, bucket: undefined};
  }
  const previous = coordinator.bucket ?? {tokens: 0, atMs: now.monotonicMs};
  const refill =
    ((now.monotonicMs - previous.atMs) * limit.loadsPerSecond) / 1_000;
  const tokens = Math.min(capacity, previous.tokens + refill);
  return {...current, bucket: {tokens, atMs: now.monotonicMs}};
}

/** Returns the number of permits that may be granted now. */
function availablePermits(
  coordinator: Coordinator,
  now: Tick,
  rules: PermitRules,
): number {
  // The sum of refills may fall short of a whole token by a rounding error.
  if (coordinator.bucket !== undefined) {
    return Math.floor(coordinator.bucket.tokens + 1e-9);
  }
  if (now.monotonicMs < coordinator.idleSinceMs + rules.switchDelayMs) return 0;
  const permitUseMs = rules.timing.permitMs + rules.timing.orderMs;
  const slot = openTimeSlot(now.wallMs, permitUseMs, rules);
  if (slot <= coordinator.lastSlot) return 0;
  return coordinator.leases.has(slot % rules.limit.targets) ? 1 : 0;
}

/** Assigns up to `permits` permits; returns one target index for each permit. */
function assignPermits(
  demands: readonly LoadDemand[],
  permits: number,
): readonly number[] {
  const unmet = demands.map(demand => ({...demand}));
  const assigned: number[] = [];
  while (assigned.length < permits) {
    const best = unmet
      .filter(demand => demand.loadsWanted > 0)
      .sort((a, b) => b.waitingRequests - a.waitingRequests)[0];
    if (best === undefined) break;
    assigned.push(best.index);
    best.waitingRequests *= 1 - 1 / best.loadsWanted;
    best.loadsWanted -= 1;
  }
  return assigned;
}

/** Deducts granted permits from the bucket, or marks the current time slot as used. */
function spendPermits(
  coordinator: Coordinator,
  permits: number,
  now: Tick,
  {slotIntervalMs, timing}: PermitRules,
): Coordinator {
  if (permits === 0) return coordinator;
  const {bucket} = coordinator;
  if (bucket === undefined) {
    return {...coordinator, lastSlot: Math.floor(now.wallMs / slotIntervalMs)};
  }
  const permitUseMs = timing.permitMs + timing.orderMs;
  return {
    ...coordinator,
    bucket: {...bucket, tokens: bucket.tokens - permits},
    idleSinceMs: now.monotonicMs + permitUseMs,
  };
}
