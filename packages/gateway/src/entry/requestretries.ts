/** The repeats of one request, and the retry budget that they use. */
import type {AttemptEnd, RetryUse} from '@balsamnotch/core';
import type {LogFields} from '@balsamnotch/daemon';
import type {ForwardingResources} from './resources.js';

/** The repeats of one request to a service. */
export class RequestRetries {
  /** Whether a repeat is reserved that has not been sent. */
  private isReserved = false;
  /** Monotonic time at which the last repeat was sent, in milliseconds; undefined if none was. */
  private sentAtMs: number | undefined;

  constructor(
    private readonly resources: ForwardingResources,
    private readonly service: string,
  ) {}

  private get nowMs(): number {
    return this.resources.context.clock.monotonicMs();
  }

  /** Counts the request. */
  begin(): void {
    this.resources.budgets.countRequest(this.service, this.nowMs);
  }

  /** Returns whether the budget allows another repeat, or one is reserved already. */
  isAllowed(): boolean {
    const {budgets, targets} = this.resources;
    return (
      this.isReserved ||
      budgets.allowsRetry(this.service, this.nowMs, targets.sharingEntries())
    );
  }

  /** Returns the use of the budget, which is that of all requests to the service. */
  use(): RetryUse {
    const {budgets, targets} = this.resources;
    return budgets.use(this.service, this.nowMs, targets.sharingEntries());
  }

  /** Reserves a repeat. */
  hold(): void {
    if (this.isReserved) return;
    this.isReserved = true;
    this.resources.budgets.reserve(this.service);
  }

  /**
   * Decides on a repeat after an attempt, and returns the fields of its log line. `isRepeat` is
   * false while the request has not been sent.
   */
  reserve(after: AttemptEnd, isRepeat: boolean): LogFields {
    this.resources.context.metrics.count('retried', after);
    if (isRepeat) this.hold();
    return this.logFields(after);
  }

  /** Counts the reserved repeat as sent. */
  recordSend(): void {
    if (!this.isReserved) this.resources.budgets.reserve(this.service);
    this.isReserved = false;
    this.sentAtMs = this.nowMs;
    this.resources.budgets.countRetry(this.service, this.sentAtMs);
  }

  /** Records that the repeat that was counted last has not reached its target. It stays reserved. */
  recordNotSent(): void {
    if (this.sentAtMs === undefined) return;
    this.resources.budgets.uncountRetry(this.service, this.sentAtMs);
    this.sentAtMs = undefined;
    this.isReserved = true;
  }

  /** Gives back a repeat that is not sent. */
  release(): void {
    if (!this.isReserved) return;
    this.isReserved = false;
    this.resources.budgets.giveBack(this.service);
  }

  /** Counts that the budget did not allow a repeat, and returns the fields of its log line. */
  countRefusal(after: AttemptEnd): LogFields {
    this.resources.context.metrics.count('retry_without_budget', after);
    return this.logFields(after);
  }

  private logFields(reason: AttemptEnd): LogFields {
    const entries = this.resources.targets.sharingEntries();
    const {used, limit} = this.use();
    return {
      service: this.service,
      reason,
      used,
      limit: Number(limit.toFixed(2)),
      entries,
    };
  }
}
