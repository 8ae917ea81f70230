/** Retry budget of one entry: its part of a limit that all entries of a deployment share. */
import {
  RETRY_COUNTED_MS,
  RETRY_HALF_COUNTED_MS,
  countRequest,
  countRetry,
  uncountRetry,
  retriesInWindow,
  requestsInWindow,
  type RetryBudget,
} from './limits.js';

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

/**
 * Fraction of the share that an entry uses within half of the window. A process that is killed
 * after a burst of retries leaves the rest to the next one.
 */
const HALF_SHARE_FRACTION = 0.75;

/**
 * Fraction of the share that an entry uses in its first window, in which retries of the process
 * before may still count. That process may have used `HALF_SHARE_FRACTION` at any time in the
 * window, or `USED_SHARE_FRACTION` if half of the window has passed.
 */
const STARTING_SHARE_FRACTION = 0.2;

/** Fraction of the slack that entries use together after their first window. */
const USED_SLACK_FRACTION = 0.6;

/**
 * Fraction of the slack that entries use together in their first window, while repeats of the
 * processes before may still count. All entries may restart twice in a window, with a count
 * of entries that is a fifth too low.
 */
const STARTING_SLACK_FRACTION = 0.1;

/**
 * Number of entries up to which the limits hold while it is unknown. Each may then send one
 * retry in addition to its share, so that a deployment of few requests can repeat one.
 */
const MOST_ENTRIES = 64;

/** Requests and retries of one entry at one service. */
export interface ServiceRetries {
  readonly counts: RetryBudget;
  /** Retries that are decided and not sent yet. */
  readonly reserved: number;
}

/** Retries of an entry that has sent nothing. */
export const NO_RETRIES: ServiceRetries = {counts: [], reserved: 0};

/** Counts a request for the service. */
export function withServiceRequest(
  retries: ServiceRetries,
  nowMs: number,
): ServiceRetries {
  return {...retries, counts: countRequest(retries.counts, nowMs)};
}

/** Reserves a retry, which counts from now on. */
export function withReservedRetry(retries: ServiceRetries): ServiceRetries {
  return {...retries, reserved: retries.reserved + 1};
}

/** Gives back a reservation that is not used. */
export function withoutReservedRetry(retries: ServiceRetries): ServiceRetries {
  return {...retries, reserved: Math.max(0, retries.reserved - 1)};
}

/** Counts a reserved retry as sent. */
export function withSentRetry(
  retries: ServiceRetries,
  nowMs: number,
): ServiceRetries {
  const {counts, reserved} = withoutReservedRetry(retries);
  return {counts: countRetry(counts, nowMs), reserved};
}

/** Returns a retry that was counted at `sentAtMs` to the reserved ones. */
export function withUnsentRetry(
  {counts, reserved}: ServiceRetries,
  sentAtMs: number,
): ServiceRetries {
  return {counts: uncountRetry(counts, sentAtMs), reserved: reserved + 1};
}

/** Use of a retry budget. */
export interface RetryUse {
  /** Retries in the window, and those reserved. */
  readonly used: number;
  /** Retries that the entry may send in the window. */
  readonly limit: number;
}

/** State of an entry that determines its part of the limits. */
export interface EntryPart {
  /** Number of entries that share the limits; 0 if unknown. */
  readonly entries: number;
  /** Time since the start of the process, in milliseconds. */
  readonly ageMs: number;
}

/** Returns whether retries of the process before may still count. */
function isStarting({ageMs}: EntryPart): boolean {
  return ageMs < RETRY_COUNTED_MS;
}

/** Returns the number of retries that an entry may send in addition to a share of its requests. */
function slackPart(slack: number, part: EntryPart): number {
  const starting = slack * STARTING_SLACK_FRACTION;
  if (part.entries === 0) return Math.max(1, starting / MOST_ENTRIES);
  return (
    (isStarting(part) ? starting : slack * USED_SLACK_FRACTION) / part.entries
  );
}

/** Returns the use of an entry's budget. */
export function retryUse(
  {counts, reserved}: ServiceRetries,
  nowMs: number,
  {share, slack}: RetryLimits,
  part: EntryPart,
): RetryUse {
  const shared = requestsInWindow(counts, nowMs) * share;
  const ownSlack = slackPart(slack, part);
  const sent = retriesInWindow(counts, nowMs, RETRY_COUNTED_MS);
  const used = sent + reserved;
  if (isStarting(part)) {
    return {used, limit: shared * STARTING_SHARE_FRACTION + ownSlack};
  }
  const sentBeforeHalf =
    sent - retriesInWindow(counts, nowMs, RETRY_HALF_COUNTED_MS);
  const limit = Math.min(
    shared * USED_SHARE_FRACTION,
    sentBeforeHalf + shared * HALF_SHARE_FRACTION,
  );
  return {used, limit: limit + ownSlack};
}

/**
 * Returns whether one more retry is within the budget. Limits are not rounded up: the parts of
 * many entries are small, so that the excess would add up.
 */
export function allowsRetry({used, limit}: RetryUse): boolean {
  return used + 1 <= limit;
}
