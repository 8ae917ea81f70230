/**
 * Rank of a request among those that compete for capacity. Requests that can still meet
 * their latency objective go first.
 */

/** Typical deadline that callers of one route state. */
export interface DeadlineProfile {
  /** Estimated 80th percentile of the deadlines, in milliseconds; 0 before the first request. */
  readonly p80Ms: number;
}

/** Quantile that the profile estimates. */
const QUANTILE = 0.8;

/** Step size of the estimate, relative to its value. */
const RELATIVE_STEP = 0.01;

/**
 * Fraction of the typical deadline below which a request is considered a later attempt:
 * the caller has spent the rest of its time on an earlier one. The deadlines of first
 * attempts differ by up to 15%.
 */
const MIN_FIRST_ATTEMPT_SHARE = 0.84;

/** Profile of a route without requests. */
export const EMPTY_PROFILE: DeadlineProfile = {p80Ms: 0};

/** Returns the profile after a request. A request without a deadline (0) does not change it. */
export function withDeadline(
  {p80Ms}: DeadlineProfile,
  deadlineMs: number,
): DeadlineProfile {
  if (deadlineMs <= 0) return {p80Ms};
  if (p80Ms === 0) return {p80Ms: deadlineMs};
  const direction = deadlineMs > p80Ms ? QUANTILE : QUANTILE - 1;
  return {p80Ms: p80Ms * (1 + RELATIVE_STEP * direction)};
}

/**
 * Returns whether the caller has probably spent time on an earlier attempt. `deadlineMs` is
 * the stated deadline in milliseconds; 0 without a deadline.
 */
export function isLaterAttempt(
  {p80Ms}: DeadlineProfile,
  deadlineMs: number,
): boolean {
  return deadlineMs > 0 && deadlineMs < p80Ms * MIN_FIRST_ATTEMPT_SHARE;
}

/**
 * Returns the rank of a request; lower ranks go first. A request that is repeated after
 * a refusal has usually missed its latency objective, so it ranks below first attempts
 * on the same route.
 */
export function admissionRank(
  priority: number,
  profile: DeadlineProfile,
  deadlineMs: number,
): number {
  return priority + (isLaterAttempt(profile, deadlineMs) ? 1 : 0);
}
