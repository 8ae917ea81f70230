/** Retry budgets of one entry, by service. */
import {
  countRequest,
  countRetry,
  mayRetry,
  type RetryBudget,
} from '@balsamnotch/core';

/** Retries in a window that all entries together may make beyond the share; below the stated slack, as entries come and go. */
const SHARED_SLACK = 80;

/** Entries that are assumed while their number is not known. */
const UNKNOWN_ENTRIES = 20;

/** Retries of one entry as a share of its requests; below the stated 0.2, as windows of entries differ. */
const RETRY_SHARE = 0.17;

/** Budgets of an entry. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  countRequest(service: string, nowMs: number): void {
    this.budgets.set(service, countRequest(this.of(service), nowMs));
  }

  countRetry(service: string, nowMs: number): void {
    this.budgets.set(service, countRetry(this.of(service), nowMs));
  }

  /** Tells whether one more send to the service is within the budget. `entries` is 0 when not known. */
  allows(service: string, nowMs: number, entries: number): boolean {
    return mayRetry(this.of(service), nowMs, {
      floor: 0,
      slack: SHARED_SLACK / (entries || UNKNOWN_ENTRIES),
      share: RETRY_SHARE,
    });
  }

  private of(service: string): RetryBudget {
    return this.budgets.get(service) ?? [];
  }
}
