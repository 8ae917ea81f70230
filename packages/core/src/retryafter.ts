/** Retry-After of refused requests. */

/**
 * Minimum delay before spreading, in milliseconds. It covers an adapter load and the
 * stream before it; a caller that retries sooner finds the same load still in progress.
 */
const MIN_DELAY_MS = 300;

/** Maximum delay before spreading, in milliseconds; longer estimates are unreliable. */
const MAX_DELAY_MS = 10_000;

/**
 * Spread of the delays if the wait is unknown, in milliseconds. It keeps callers that
 * were refused together from retrying together.
 */
const DEFAULT_SPREAD_MS = 700;

/**
 * Returns the Retry-After of a refusal, in milliseconds. It is the expected wait for
 * capacity, within the limits above, plus a random part of up to the same length, or of
 * up to `DEFAULT_SPREAD_MS` if the wait is unknown.
 * `expectedWaitMs` is 0 if the wait is unknown; `random` is from 0 up to but not
 * including 1. `leastMs` is a time before which every target is known to refuse; it is not an
 * estimate, so the limits do not apply to it.
 */
export function spreadRetryAfter(
  expectedWaitMs: number,
  random: number,
  leastMs = 0,
): number {
  const delayMs = Math.min(
    MAX_DELAY_MS,
    Math.max(MIN_DELAY_MS, expectedWaitMs),
  );
  const spreadMs = expectedWaitMs > 0 ? delayMs : DEFAULT_SPREAD_MS;
  return Math.max(leastMs, delayMs) + random * spreadMs;
}
