/** Retry budgets of one entry, one for each service. */
import {
  NO_RETRIES,
  allowsRetry,
  retryUse,
  withReservedRetry,
  withSentRetry,
  withServiceRequest,
  withUnsentRetry,
  withoutReservedRetry,
  type RetryLimits,
  type RetryUse,
  type ServiceRetries,
} from '@balsamnotch/core';

/** Tracks requests and retries of one entry. Times are monotonic, in milliseconds. */
export class RetryBudgets {
  /** By service. */
  private readonly retries = new Map<string, ServiceRetries>();

  /** `startedAtMs` is the start of the process. */
  constructor(
    private readonly limits: RetryLimits,
    private readonly startedAtMs: number,
  ) {}

  /** Records a request for the service. */
  countRequest(service: string, nowMs: number): void {
    this.retries.set(service, withServiceRequest(this.of(service), nowMs));
  }

  /**
   * Returns whether one more retry to the service is within the budget. `entries`
   * is the number of entries that share the limits, 0 if unknown.
   */
  allowsRetry(service: string, nowMs: number, entries: number): boolean {
    return allowsRetry(this.use(service, nowMs, entries));
  }

  /** Reserves a retry that is sent or given back later. */
  reserve(service: string): void {
    this.retries.set(service, withReservedRetry(this.of(service)));
  }

  /** Records that a reserved retry is sent to the service. */
  countRetry(service: string, nowMs: number): void {
    this.retries.set(service, withSentRetry(this.of(service), nowMs));
  }

  /** Returns a retry that was counted at `sentAtMs`, and did not reach a target, to the reserved ones. */
  uncountRetry(service: string, sentAtMs: number): void {
    this.retries.set(service, withUnsentRetry(this.of(service), sentAtMs));
  }

  /** Gives back a reserved retry that is not sent. */
  giveBack(service: string): void {
    this.retries.set(service, withoutReservedRetry(this.of(service)));
  }

  /** Returns the use of the budget of the service. */
  use(service: string, nowMs: number, entries: number): RetryUse {
    return retryUse(this.of(service), nowMs, this.limits, {
      entries,
      ageMs: nowMs - this.startedAtMs,
    });
  }

  /** Returns the use and the limit of each service's budget, by the name of a gauge. */
  status(nowMs: number, entries: number): Readonly<Record<string, number>> {
    const gauges: Record<string, number> = {};
    for (const service of this.retries.keys()) {
      const {used, limit} = this.use(service, nowMs, entries);
      gauges[`retries_used_${service}`] = used;
      gauges[`retries_limit_${service}`] = limit;
    }
    return gauges;
  }

  private of(service: string): ServiceRetries {
    return this.retries.get(service) ?? NO_RETRIES;
  }
}
