/**
 * Rate limits on the start of loads: one ideal token bucket for the baselines,
 * and the permit shares of core for balsamnotch.
 */
import {
  grantPermits,
  lendShare,
  permitRules,
  receiveGrant,
  recordLease,
  startCoordinator,
  startShare,
  takePermit,
  type Coordinator,
  type HeldPermits,
  type LoadDemand,
  type RateShare,
  type Tick,
} from '@balsamnotch/core';
import type {EventQueue} from './events.js';

/** Rate limit of the weight store, the same in both deployments. */
export const STORE_LIMIT = {loadsPerSecond: 3, burst: 2} as const;

/** One-way delay of a message between two processes, in milliseconds. */
export const MESSAGE_DELAY_MS = 5;

/** Interval at which the coordinator renews the leases of all shares, in milliseconds. */
const LEASE_RENEWAL_INTERVAL_MS = 500;

/** Interval at which the coordinator tries to grant permits while targets want loads. */
const GRANT_INTERVAL_MS = 20;

/** A target whose loads are limited. */
export interface LoadingTarget {
  readonly index: number;
  /**
   * Returns the number of loads that could start now, at most `maxLoads`, the number
   * of requests that wait for them and the arrival time of the earliest of those.
   */
  demand(maxLoads?: number): LoadDemand & {readonly sinceMs: number};
  /** Starts the loads that have become possible. */
  step(): void;
}

/** Limits the rate at which loads start. */
export interface Limiter {
  /** Reads the demand of a target, which may have changed. */
  updateDemand(target: LoadingTarget): void;
  /** Takes a permit for a load that starts now; returns false when there is none. */
  tryAcquire(target: LoadingTarget): boolean;
  /** Discards the state of a target that has restarted. */
  reset(target: LoadingTarget): void;
}

/** One token bucket without message delays; the target that has waited longest comes first. */
export class BucketLimiter implements Limiter {
  /** Earliest arrival at each target that wants a load, in milliseconds. */
  private readonly waitingSinceMs = new Map<LoadingTarget, number>();
  private tokens = 0;
  private refilledAtMs = 0;
  private isScheduled = false;

  constructor(private readonly events: EventQueue) {}

  updateDemand(target: LoadingTarget): void {
    const {loadsWanted, sinceMs} = target.demand(1);
    if (loadsWanted > 0) this.waitingSinceMs.set(target, sinceMs);
    else this.waitingSinceMs.delete(target);
    if (this.waitingSinceMs.size > 0) this.schedule();
  }

  tryAcquire(target: LoadingTarget): boolean {
    this.refill();
    if (this.tokens < 1 || this.longestWaiting() !== target) return false;
    this.tokens -= 1;
    return true;
  }

  reset(target: LoadingTarget): void {
    this.waitingSinceMs.delete(target);
  }

  private longestWaiting(): LoadingTarget | undefined {
    return [...this.waitingSinceMs].sort((a, b) => a[1] - b[1])[0]?.[0];
  }

  private refill(): void {
    const {loadsPerSecond, burst} = STORE_LIMIT;
    const elapsedMs = this.events.nowMs - this.refilledAtMs;
    this.refilledAtMs = this.events.nowMs;
    const refilled = this.tokens + (elapsedMs * loadsPerSecond) / 1_000;
    this.tokens = Math.min(burst, refilled);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.refill();
    const missingTokens = Math.max(0, 1 - this.tokens);
    const delayMs = (missingTokens * 1_000) / STORE_LIMIT.loadsPerSecond;
    this.events.after(delayMs + 1e-6, () => {
      this.isScheduled = false;
      this.longestWaiting()?.step();
      if (this.waitingSinceMs.size > 0) this.schedule();
    });
  }
}

/** Permit shares that the targets lend to a coordinator at the first target, with message delays. */
export class ShareLimiter implements Limiter {
  private readonly rules;
  private readonly shares: RateShare[];
  private readonly heldPermits: HeldPermits[];
  private readonly demands = new Map<number, LoadDemand>();
  private coordinator: Coordinator;
  private restartCount = 0;
  private isScheduled = false;

  constructor(
    private readonly events: EventQueue,
    private readonly targets: readonly LoadingTarget[],
  ) {
    const count = targets.length;
    this.rules = permitRules({...STORE_LIMIT, targets: count});
    this.shares = targets.map((_, i) => startShare(i, 0, this.rules));
    this.heldPermits = targets.map((_, i) => ({
      incarnation: `${i}`,
      grants: [],
    }));
    this.coordinator = startCoordinator(0);
    this.renew();
  }

  updateDemand({index}: LoadingTarget): void {
    const demand = this.targets[index]?.demand();
    if (demand === undefined) return;
    this.events.after(MESSAGE_DELAY_MS, () => {
      this.demands.set(index, demand);
      this.grantPending();
    });
  }

  tryAcquire({index}: LoadingTarget): boolean {
    const held = this.heldPermits[index];
    const remaining = held && takePermit(held, this.now());
    if (remaining !== undefined) this.heldPermits[index] = remaining;
    return remaining !== undefined;
  }

  reset({index}: LoadingTarget): void {
    const nowMs = this.events.nowMs;
    this.shares[index] = startShare(index, nowMs, this.rules);
    this.heldPermits[index] = {
      incarnation: `r${this.restartCount++}`,
      grants: [],
    };
    this.demands.delete(index);
    if (index === 0) this.coordinator = startCoordinator(nowMs, 1e6 + nowMs);
  }

  private now(): Tick {
    return {monotonicMs: this.events.nowMs, wallMs: this.events.nowMs};
  }

  private renew(): void {
    const requestedAt = this.now();
    this.events.after(MESSAGE_DELAY_MS, () => {
      this.shares.forEach((share, index) => {
        const lentShare = lendShare(share, 't0', this.events.nowMs, this.rules);
        if (lentShare === undefined) return;
        this.shares[index] = lentShare;
        this.coordinator = recordLease(
          this.coordinator,
          index,
          requestedAt,
          this.rules,
        );
      });
      this.grantPending();
    });
    this.events.after(LEASE_RENEWAL_INTERVAL_MS, () => this.renew());
  }

  private grantPending(): void {
    const now = this.now();
    const {coordinator, granted} = grantPermits(
      this.coordinator,
      [...this.demands.values()],
      now,
      this.rules,
    );
    this.coordinator = coordinator;
    for (const grant of granted) this.deliver(grant, now);
    const hasDemand = [...this.demands.values()].some(
      demand => demand.loadsWanted > 0,
    );
    if (!hasDemand || this.isScheduled) return;
    this.isScheduled = true;
    this.events.after(GRANT_INTERVAL_MS, () => {
      this.isScheduled = false;
      this.grantPending();
    });
  }

  private deliver(
    {index, permits, grant}: {index: number; permits: number; grant: number},
    now: Tick,
  ): void {
    const {permitMs} = this.rules.timing;
    const demand = this.demands.get(index);
    const held = this.heldPermits[index];
    if (demand === undefined || held === undefined) return;
    const loadsWanted = demand.loadsWanted - permits;
    this.demands.set(index, {...demand, loadsWanted});
    const message = {
      coordinator: 't0',
      grant,
      permits,
      permitMs,
      incarnation: held.incarnation,
      deadlineNodeClockMs: now.monotonicMs + permitMs,
    };
    this.events.after(MESSAGE_DELAY_MS, () => {
      const current = this.heldPermits[index];
      if (current === undefined) return;
      this.heldPermits[index] = receiveGrant(current, message, this.now());
      this.targets[index]?.step();
    });
  }
}
