/** Retry budgets of one entry, by service. */
import {
  countRequest,
  countRetry,
  mayRetry,
  type RetryBudget,
} from '@balsamnotch/core';

/** Retries that all entries together may make to a service in the window of the budget. */
export interface RetryLimits {
  /** As a share of the requests for the service. */
  readonly share: number;
  /** Beyond the share. */
  readonly slack: number;
}

/** Part of the share that an entry uses, as the windows of entries differ. */
const SHARE_USED = 0.85;

/** Part of the slack that all entries use, as entries come and go. */
const SLACK_USED = 0.7;

/** Entries that are assumed while their number is not known. */
const UNKNOWN_ENTRIES = 20;

/** Budgets of an entry. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly limits: RetryLimits) {}

  countRequest(service: string, nowMs: number): void {
    this.budgets.set(service, countRequest(this.of(service), nowMs));
  }

  countRetry(service: string, nowMs: number): void {
    this.budgets.set(service, countRetry(this.of(service), nowMs));
  }

  /** Tells whether one more send to the service is within the budget. `entries` is 0 when not known. */
  allows(service: string, nowMs: number, entries: number): boolean {
    const {share, slack} = this.limits;
    return mayRetry(this.of(service), nowMs, {
      floor: 0,
      slack: (slack * SLACK_USED) / (entries || UNKNOWN_ENTRIES),
      share: share * SHARE_USED,
    });
  }

  private of(service: string): RetryBudget {
    return this.budgets.get(service) ?? [];
  }
}
