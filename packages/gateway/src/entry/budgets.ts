/** Retry budgets of one entry, one for each service. */
import {
  ASSUMED_ENTRIES,
  countRequest,
  countRetry,
  mayRetry,
  type RetryBudget,
} from '@balsamnotch/core';

/**
 * Limits on the retries that all entries together may send to a service within
 * the budget window.
 */
export interface RetryLimits {
  /** Allowed retries as a fraction of the requests for the service. */
  readonly share: number;
  /** Number of retries allowed in addition to the share. */
  readonly slack: number;
}

/**
 * Fraction of the share that an entry uses; below 1 because the entries' windows
 * are not aligned.
 */
const USED_SHARE_FRACTION = 0.85;

/** Fraction of the slack that all entries together use; below 1 because entries start and stop. */
const USED_SLACK_FRACTION = 0.7;

/** Tracks requests and retries of one entry. Times are monotonic, in milliseconds. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly limits: RetryLimits) {}

  /** Records a request for the service. */
  countRequest(service: string, nowMs: number): void {
    this.budgets.set(service, countRequest(this.budgetOf(service), nowMs));
  }

  /** Records a retry sent to the service. */
  countRetry(service: string, nowMs: number): void {
    this.budgets.set(service, countRetry(this.budgetOf(service), nowMs));
  }

  /**
   * Returns whether one more retry to the service is within the budget. `entries`
   * is the number of entries that share the limits, 0 if unknown.
   */
  allowsRetry(service: string, nowMs: number, entries: number): boolean {
    const {share, slack} = this.limits;
    return mayRetry(this.budgetOf(service), nowMs, {
      floor: 0,
      slack: (slack * USED_SLACK_FRACTION) / (entries || ASSUMED_ENTRIES),
      share: share * USED_SHARE_FRACTION,
    });
  }

  private budgetOf(service: string): RetryBudget {
    return this.budgets.get(service) ?? [];
  }
}
