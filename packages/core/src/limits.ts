/** Limits of callers and of retries at one entry. */

/** Attempts after the first are at most this share of the requests of the window. */
export const RETRY_SHARE = 0.2;

/** Window of the retry budget, in milliseconds. */
export const RETRY_WINDOW_MS = 10_000;

/**
 * Retries that a window always allows. Without it an entry with little traffic
 * could not move a single request away from a leaving target.
 */
export const RETRY_FLOOR = 10;

/** A token bucket; `tokens` counts at `atMs` of the monotonic clock. */
export interface TokenBucket {
  readonly tokens: number;
  readonly atMs: number;
}

/** A bucket after a request, and whether the request may pass. */
export interface Taken {
  readonly bucket: TokenBucket;
  readonly granted: boolean;
  /** Time until the next token, in milliseconds; 0 when granted. */
  readonly retryAfterMs: number;
}

/** Requests a second that one entry gives a caller: its part of the limit, at least one. */
export function callerShare(
  requestsPerSecond: number,
  entries: number,
): number {
  return Math.max(1, requestsPerSecond / Math.max(1, entries));
}

/** A full bucket that holds one second of the rate. */
export function fullBucket(ratePerSecond: number, nowMs: number): TokenBucket {
  return {tokens: ratePerSecond, atMs: nowMs};
}

/** Takes one token; a bucket holds at most one second of the rate. */
export function takeToken(
  bucket: TokenBucket,
  ratePerSecond: number,
  nowMs: number,
): Taken {
  const refill = ((nowMs - bucket.atMs) / 1_000) * ratePerSecond;
  const tokens = Math.min(ratePerSecond, bucket.tokens + Math.max(0, refill));
  if (tokens >= 1) {
    return {
      bucket: {tokens: tokens - 1, atMs: nowMs},
      granted: true,
      retryAfterMs: 0,
    };
  }
  return {
    bucket: {tokens, atMs: nowMs},
    granted: false,
    retryAfterMs: Math.ceil(((1 - tokens) / ratePerSecond) * 1_000),
  };
}

/** Requests and retries in one second of the window. */
interface BudgetSecond {
  readonly second: number;
  readonly requests: number;
  readonly retries: number;
}

/** Retry budget of an entry over the last {@link RETRY_WINDOW_MS}. */
export type RetryBudget = readonly BudgetSecond[];

function counted(
  budget: RetryBudget,
  nowMs: number,
  add: {readonly requests: number; readonly retries: number},
): RetryBudget {
  const second = Math.floor(nowMs / 1_000);
  const oldest = second - RETRY_WINDOW_MS / 1_000;
  const kept = budget.filter(part => part.second > oldest);
  const last = kept.at(-1);
  if (last?.second !== second) return [...kept, {second, ...add}];
  const sum = {
    second,
    requests: last.requests + add.requests,
    retries: last.retries + add.retries,
  };
  return [...kept.slice(0, -1), sum];
}

/** Counts a request. */
export function countRequest(budget: RetryBudget, nowMs: number): RetryBudget {
  return counted(budget, nowMs, {requests: 1, retries: 0});
}

/** Counts a retry. */
export function countRetry(budget: RetryBudget, nowMs: number): RetryBudget {
  return counted(budget, nowMs, {requests: 0, retries: 1});
}

/** Options of {@link mayRetry}. */
export interface RetryLimit {
  /** Retries that a window always allows. */
  readonly floor?: number;
  /** Retries that a window allows beyond the share of its requests. */
  readonly slack?: number;
  /** Retries as a share of the requests of the window. */
  readonly share?: number;
}

/** Tells whether another retry stays within the budget. */
export function mayRetry(
  budget: RetryBudget,
  nowMs: number,
  {floor = RETRY_FLOOR, slack = 0, share = RETRY_SHARE}: RetryLimit = {},
): boolean {
  const window = counted(budget, nowMs, {requests: 0, retries: 0});
  const requests = window.reduce((sum, part) => sum + part.requests, 0);
  const retries = window.reduce((sum, part) => sum + part.retries, 0);
  return retries < Math.max(floor, requests * share + slack);
}
