/** Rate limits of callers and the retry budget at one entry. */

/** Maximum number of retries in a window, as a share of its requests. */
export const RETRY_SHARE = 0.2;

/** Window of the retry budget, in milliseconds. */
export const RETRY_WINDOW_MS = 10_000;

/**
 * Retries that are always allowed in a window. Without them an entry with little traffic
 * could not move a single request away from a leaving target.
 */
export const RETRY_FLOOR = 10;

/**
 * Returns the rate limit of a caller at one of `entries` entries, in requests per second:
 * an equal part of the caller's limit, but at least 1.
 */
export function callerShare(
  requestsPerSecond: number,
  entries: number,
): number {
  return Math.max(1, requestsPerSecond / Math.max(1, entries));
}

/** Number of requests and retries in one second of the window. */
interface BudgetSecond {
  /** Monotonic time in whole seconds. */
  readonly second: number;
  readonly requests: number;
  readonly retries: number;
}

/** Requests and retries of an entry in the last {@link RETRY_WINDOW_MS} and the second before. */
export type RetryBudget = readonly BudgetSecond[];

/**
 * Time for which retries count, in milliseconds. Counts are kept by whole seconds, of which the
 * oldest must be kept until all of it has left the window.
 */
export const RETRY_COUNTED_MS = RETRY_WINDOW_MS + 1_000;

/** As {@link RETRY_COUNTED_MS}, for half of the window. */
export const RETRY_HALF_COUNTED_MS = RETRY_WINDOW_MS / 2 + 1_000;

/** Returns the counts of the current second and of those before it, `windowMs` in total. */
function secondsIn(
  budget: RetryBudget,
  nowMs: number,
  windowMs: number,
): RetryBudget {
  const oldest = Math.floor(nowMs / 1_000) - windowMs / 1_000;
  return budget.filter(({second}) => second > oldest);
}

/** Adds to the counts of the current second and drops seconds that no longer count. */
function addCounts(
  budget: RetryBudget,
  nowMs: number,
  added: {readonly requests: number; readonly retries: number},
): RetryBudget {
  const second = Math.floor(nowMs / 1_000);
  const kept = secondsIn(budget, nowMs, RETRY_COUNTED_MS);
  const last = kept.at(-1);
  if (last?.second !== second) return [...kept, {second, ...added}];
  const sum = {
    second,
    requests: last.requests + added.requests,
    retries: last.retries + added.retries,
  };
  return [...kept.slice(0, -1), sum];
}

/** Counts a request. */
export function countRequest(budget: RetryBudget, nowMs: number): RetryBudget {
  return addCounts(budget, nowMs, {requests: 1, retries: 0});
}

/** Counts a retry. */
export function countRetry(budget: RetryBudget, nowMs: number): RetryBudget {
  return addCounts(budget, nowMs, {requests: 0, retries: 1});
}

/** Takes back a retry that was counted at the monotonic time `atMs`, in milliseconds. */
export function uncountRetry(budget: RetryBudget, atMs: number): RetryBudget {
  const second = Math.floor(atMs / 1_000);
  return budget.map(counts =>
    counts.second === second
      ? {...counts, retries: Math.max(0, counts.retries - 1)}
      : counts,
  );
}

/** Returns the number of requests in the window. */
export function requestsInWindow(budget: RetryBudget, nowMs: number): number {
  const window = secondsIn(budget, nowMs, RETRY_WINDOW_MS);
  return window.reduce((sum, counts) => sum + counts.requests, 0);
}

/** Returns the number of retries in the window, or in the last `windowMs` milliseconds. */
export function retriesInWindow(
  budget: RetryBudget,
  nowMs: number,
  windowMs: number = RETRY_WINDOW_MS,
): number {
  const window = secondsIn(budget, nowMs, windowMs);
  return window.reduce((sum, counts) => sum + counts.retries, 0);
}

/** Options of {@link mayRetry}. */
export interface RetryLimit {
  /** Retries that are always allowed in a window. */
  readonly floor?: number;
  /** Allowed retries as a share of the requests in the window. */
  readonly share?: number;
}

/** Returns whether another retry stays within the budget. */
export function mayRetry(
  budget: RetryBudget,
  nowMs: number,
  {floor = RETRY_FLOOR, share = RETRY_SHARE}: RetryLimit = {},
): boolean {
  const limit = Math.max(floor, requestsInWindow(budget, nowMs) * share);
  return retriesInWindow(budget, nowMs) < limit;
}
