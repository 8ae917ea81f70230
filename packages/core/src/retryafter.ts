/** When a refused caller may come back. */

/** Time without a better estimate, in milliseconds: an adapter's load and the stream before it. */
const UNKNOWN_MS = 300;

/** Least time, in milliseconds; a caller that comes back sooner meets the same load. */
const LEAST_MS = 300;

/** Longest time, in milliseconds; beyond it the estimate tells little. */
const MOST_MS = 10_000;

/** Least spread, in milliseconds, so that callers that were refused together do not return together. */
const SPREAD_MS = 700;

/**
 * Retry-After of a refusal, in milliseconds: not before room is expected, and
 * spread over as long again. `roomMs` is 0 when nobody knows.
 */
export function spreadRetryAfter(roomMs: number, random: number): number {
  const expectedMs = roomMs > 0 ? roomMs : UNKNOWN_MS;
  const startMs = Math.min(MOST_MS, Math.max(LEAST_MS, expectedMs));
  const spreadMs = roomMs > 0 ? startMs : SPREAD_MS;
  return startMs + random * spreadMs;
}
