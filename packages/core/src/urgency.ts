/** Rank of a request among those that compete for room: those that can still meet their objective go first. */

/** What callers of one route usually state as their deadline, in milliseconds. */
export interface DeadlineProfile {
  /** About the 80th percentile; 0 before the first request. */
  readonly usualMs: number;
}

/** Part of the distribution below the estimate. */
const QUANTILE = 0.8;

/** Step of the estimate, as a part of it. */
const STEP = 0.01;

/**
 * Part of the usual deadline below which a caller has spent time on an earlier
 * attempt. Callers differ in patience by 15 in 100.
 */
const FIRST_ATTEMPT_SHARE = 0.84;

/** Profile of a route without requests. */
export const NO_PROFILE: DeadlineProfile = {usualMs: 0};

/** Profile after a request; a request without a deadline changes nothing. */
export function withDeadline(
  {usualMs}: DeadlineProfile,
  deadlineMs: number,
): DeadlineProfile {
  if (deadlineMs <= 0) return {usualMs};
  if (usualMs === 0) return {usualMs: deadlineMs};
  const direction = deadlineMs > usualMs ? QUANTILE : QUANTILE - 1;
  return {usualMs: usualMs * (1 + STEP * direction)};
}

/** Tells whether the caller has spent time on an earlier attempt. */
export function hasWaitedBefore(
  {usualMs}: DeadlineProfile,
  deadlineMs: number,
): boolean {
  return deadlineMs > 0 && deadlineMs < usualMs * FIRST_ATTEMPT_SHARE;
}

/**
 * Rank of a request; 0 goes first. A request that comes back after a refusal
 * has mostly missed its objective, so it yields to those of its route that have
 * not.
 */
export function admissionRank(
  priority: number,
  profile: DeadlineProfile,
  deadlineMs: number,
): number {
  return priority + (hasWaitedBefore(profile, deadlineMs) ? 1 : 0);
}
