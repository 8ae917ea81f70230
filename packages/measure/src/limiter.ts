/** Who may start a load: one ideal bucket for baselines, or the shares of core's permits. */
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
  type Share,
  type Tick,
} from '@balsamnotch/core';
import type {Events} from './events.js';

/** Limit of the weight store in both deployments. */
export const STORE_LIMIT = {loadsPerSecond: 3, burst: 2} as const;

/** Time of one message between two processes, in milliseconds. */
export const MESSAGE_MS = 5;

const RENEWAL_MS = 500;

/** Interval at which the coordinator looks for permits while loads are wanted. */
const GRANT_MS = 20;

/** What a limiter asks of a target. */
export interface Loader {
  readonly index: number;
  /** Loads that could start now, up to `most`, the requests that wait for them and the earliest arrival. */
  demand(most?: number): LoadDemand & {readonly sinceMs: number};
  /** Looks for loads that may start. */
  step(): void;
}

/** Limits the starts of loads. */
export interface Limiter {
  /** Tells that the demand of a target has changed. */
  changed(target: Loader): void;
  /** Takes a permit for a load that starts now. */
  take(target: Loader): boolean;
  restart(target: Loader): void;
}

/** One token bucket without messages, first come first served. */
export class BucketLimiter implements Limiter {
  private readonly since = new Map<Loader, number>();
  private tokens = 0;
  private atMs = 0;
  private isScheduled = false;

  constructor(private readonly events: Events) {}

  changed(target: Loader): void {
    const {loadsWanted, sinceMs} = target.demand(1);
    if (loadsWanted > 0) this.since.set(target, sinceMs);
    else this.since.delete(target);
    if (this.since.size > 0) this.schedule();
  }

  take(target: Loader): boolean {
    this.refill();
    if (this.tokens < 1 || this.first() !== target) return false;
    this.tokens -= 1;
    return true;
  }

  restart(target: Loader): void {
    this.since.delete(target);
  }

  private first(): Loader | undefined {
    return [...this.since].sort((a, b) => a[1] - b[1])[0]?.[0];
  }

  private refill(): void {
    const {loadsPerSecond, burst} = STORE_LIMIT;
    const elapsedMs = this.events.nowMs - this.atMs;
    this.atMs = this.events.nowMs;
    const refilled = this.tokens + (elapsedMs * loadsPerSecond) / 1_000;
    this.tokens = Math.min(burst, refilled);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.refill();
    const missing = Math.max(0, 1 - this.tokens);
    const delayMs = (missing * 1_000) / STORE_LIMIT.loadsPerSecond;
    this.events.after(delayMs + 1e-6, () => {
      this.isScheduled = false;
      this.first()?.step();
      if (this.since.size > 0) this.schedule();
    });
  }
}

/** Shares lent to a coordinator at the first target, with message delays. */
export class ShareLimiter implements Limiter {
  private readonly rules;
  private readonly shares: Share[];
  private readonly held: HeldPermits[];
  private readonly demands = new Map<number, LoadDemand>();
  private coordinator: Coordinator;
  private restarts = 0;
  private isScheduled = false;

  constructor(
    private readonly events: Events,
    private readonly targets: readonly Loader[],
  ) {
    const count = targets.length;
    this.rules = permitRules({...STORE_LIMIT, targets: count});
    this.shares = targets.map((_, i) => startShare(i, 0, this.rules));
    this.held = targets.map((_, i) => ({incarnation: `${i}`, grants: []}));
    this.coordinator = startCoordinator(0);
    this.renew();
  }

  changed({index}: Loader): void {
    const demand = this.targets[index]?.demand();
    if (demand === undefined) return;
    this.events.after(MESSAGE_MS, () => {
      this.demands.set(index, demand);
      this.grant();
    });
  }

  take({index}: Loader): boolean {
    const held = this.held[index];
    const left = held && takePermit(held, this.now());
    if (left !== undefined) this.held[index] = left;
    return left !== undefined;
  }

  restart({index}: Loader): void {
    const nowMs = this.events.nowMs;
    this.shares[index] = startShare(index, nowMs, this.rules);
    this.held[index] = {incarnation: `r${this.restarts++}`, grants: []};
    this.demands.delete(index);
    if (index === 0) this.coordinator = startCoordinator(nowMs, 1e6 + nowMs);
  }

  private now(): Tick {
    return {monotonicMs: this.events.nowMs, wallMs: this.events.nowMs};
  }

  private renew(): void {
    const askedAt = this.now();
    this.events.after(MESSAGE_MS, () => {
      this.shares.forEach((share, index) => {
        const lent = lendShare(share, 't0', this.events.nowMs, this.rules);
        if (lent === undefined) return;
        this.shares[index] = lent;
        this.coordinator = recordLease(
          this.coordinator,
          index,
          askedAt,
          this.rules,
        );
      });
      this.grant();
    });
    this.events.after(RENEWAL_MS, () => this.renew());
  }

  private grant(): void {
    const now = this.now();
    const {coordinator, granted} = grantPermits(
      this.coordinator,
      [...this.demands.values()],
      now,
      this.rules,
    );
    this.coordinator = coordinator;
    for (const grant of granted) this.deliver(grant, now);
    const isWanted = [...this.demands.values()].some(
      demand => demand.loadsWanted > 0,
    );
    if (!isWanted || this.isScheduled) return;
    this.isScheduled = true;
    this.events.after(GRANT_MS, () => {
      this.isScheduled = false;
      this.grant();
    });
  }

  private deliver(
    {index, permits, grant}: {index: number; permits: number; grant: number},
    now: Tick,
  ): void {
    const {permitMs} = this.rules.timing;
    const demand = this.demands.get(index);
    const held = this.held[index];
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
    this.events.after(MESSAGE_MS, () => {
      const current = this.held[index];
      if (current === undefined) return;
      this.held[index] = receiveGrant(current, message, this.now());
      this.targets[index]?.step();
    });
  }
}
