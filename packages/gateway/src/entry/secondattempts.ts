/** Second attempts of one entry against late answers: their share, their use, and whether they serve. */
import {
  NO_SECOND_ATTEMPTS,
  lateAfterMs,
  secondUse,
  secondWithheld,
  withSecondOutcome,
  withSecondRefusal,
  withSecondRequest,
  withSecondStart,
  withSecondTime,
  withoutSecondStart,
  type LateRequest,
  type SecondAttempts,
  type SecondOutcome,
  type SecondWithheld,
} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';

/** Largest number of kinds of requests that are followed; further ones get no second attempts. */
const MAX_KINDS = 1_000;

/** A kind of request: its answer times are compared with each other. */
export interface RequestKind {
  readonly service: string;
  readonly route: string;
}

/** Options of {@link EntrySecondAttempts}. */
export interface EntrySecondAttemptsOptions {
  readonly context: Pick<GatewayContext, 'clock' | 'log' | 'metrics'>;
  /** Second attempts as a fraction of the requests of a kind, 0 to 1; 0 for none. */
  readonly share: number;
}

/** Mutable state of the second attempts of an entry, by kind of request. */
export class EntrySecondAttempts {
  private readonly kinds = new Map<
    string,
    {readonly kind: RequestKind; readonly state: SecondAttempts}
  >();

  constructor(private readonly options: EntrySecondAttemptsOptions) {}

  private get nowMs(): number {
    return this.options.context.clock.monotonicMs();
  }

  /** Whether the operators allow second attempts. */
  get isEnabled(): boolean {
    return this.options.share > 0;
  }

  /** Counts a request. */
  recordRequest(kind: RequestKind): void {
    this.update(kind, state => withSecondRequest(state, this.nowMs));
  }

  /** Records the time of an answer, or the time for which a cancelled attempt had none. */
  recordTime(kind: RequestKind, target: string, ms: number): void {
    this.update(kind, state => withSecondTime(state, target, ms, this.nowMs));
  }

  /** Records that a target of the service refused a request as full. */
  recordRefusal(service: string): void {
    for (const {kind} of [...this.kinds.values()]) {
      if (kind.service !== service) continue;
      this.update(kind, state => withSecondRefusal(state, this.nowMs));
    }
  }

  /** Returns the time after which an answer of the target is late, in milliseconds; see {@link lateAfterMs}. */
  lateAfterMs(kind: RequestKind, target: string): number | undefined {
    return lateAfterMs(this.of(kind), target, this.nowMs);
  }

  /** Returns why a late request gets no second attempt; undefined if it gets one. */
  withheld(
    kind: RequestKind,
    late: Omit<LateRequest, 'share'>,
  ): SecondWithheld | undefined {
    const {share} = this.options;
    return secondWithheld(this.of(kind), {...late, share}, this.nowMs);
  }

  /** Counts a second attempt; returns the time at which it was counted, in milliseconds. */
  recordStart(kind: RequestKind): number {
    const {nowMs} = this;
    this.options.context.metrics.count('second_attempt', 'started');
    this.update(kind, state => withSecondStart(state, nowMs));
    return nowMs;
  }

  /** Takes back a second attempt that has not reached its target. */
  recordNotSent(kind: RequestKind, startedAtMs: number): void {
    this.options.context.metrics.count('second_attempt', 'not_sent');
    this.update(kind, state => withoutSecondStart(state, startedAtMs));
  }

  /** Records how a second attempt ended; logs if that switches them off or on. */
  recordOutcome(kind: RequestKind, outcome: SecondOutcome): void {
    const {metrics, log} = this.options.context;
    metrics.count('second_attempt', outcome);
    const before = this.of(kind);
    this.update(kind, state => withSecondOutcome(state, outcome, this.nowMs));
    const after = this.of(kind);
    if (after.offUntilMs !== before.offUntilMs) {
      metrics.count('second_attempts_switched_off');
      log.warn('second_attempts_switched_off', {
        ...kind,
        off_ms: Math.round(after.offUntilMs - this.nowMs),
      });
    } else if (before.isProbing && !after.isProbing) {
      log.info('second_attempts_serve', {...kind});
    }
  }

  /** Returns the gauges of the second attempts of each kind. */
  status(): Readonly<Record<string, number>> {
    const gauges: Record<string, number> = {};
    for (const {kind, state} of this.kinds.values()) {
      const name = `${kind.service}_${kind.route}`;
      const {used, limit} = secondUse(state, this.options.share, this.nowMs);
      gauges[`second_attempts_used_${name}`] = used;
      gauges[`second_attempts_limit_${name}`] = limit;
      gauges[`second_attempts_off_ms_${name}`] = Math.max(
        0,
        state.offUntilMs - this.nowMs,
      );
    }
    return gauges;
  }

  private of(kind: RequestKind): SecondAttempts {
    return this.kinds.get(keyOf(kind))?.state ?? NO_SECOND_ATTEMPTS;
  }

  private update(
    kind: RequestKind,
    change: (state: SecondAttempts) => SecondAttempts,
  ): void {
    const key = keyOf(kind);
    if (!this.kinds.has(key) && this.kinds.size >= MAX_KINDS) return;
    this.kinds.set(key, {kind, state: change(this.of(kind))});
  }
}

function keyOf({service, route}: RequestKind): string {
  return JSON.stringify([service, route]);
}
