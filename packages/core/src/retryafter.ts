/** When a refused caller may come back. */

/** Least time, in milliseconds: an adapter's load and the stream before it; a caller that comes back sooner meets the same load. */
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
  const startMs = Math.min(MOST_MS, Math.max(LEAST_MS, roomMs));
  const spreadMs = roomMs > 0 ? startMs : SPREAD_MS;
  return startMs + random * spreadMs;
}
