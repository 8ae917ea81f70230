/** Retry budgets of one entry, by service. */
import {
  countRequest,
  countRetry,
  mayRetry,
  type RetryBudget,
} from '@balsamnotch/core';

/** Retries of one entry that a window always allows: the stated total divided among about 20 entries. */
const RETRY_FLOOR = 5;

/** Retries of one entry as a share of its requests; below the stated 0.2, as windows of entries differ. */
const RETRY_SHARE = 0.15;

/** Budgets of an entry. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  countRequest(service: string, nowMs: number): void {
    this.budgets.set(service, countRequest(this.of(service), nowMs));
  }

  countRetry(service: string, nowMs: number): void {
    this.budgets.set(service, countRetry(this.of(service), nowMs));
  }

  /** Tells whether one more send to the service is within the budget. */
  allows(service: string, nowMs: number): boolean {
    return mayRetry(this.of(service), nowMs, {
      floor: RETRY_FLOOR,
      share: RETRY_SHARE,
    });
  }

  private of(service: string): RetryBudget {
    return this.budgets.get(service) ?? [];
  }
}
