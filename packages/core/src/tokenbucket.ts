/** Token buckets: rates of requests with short bursts. */

/** A token bucket: it held `tokens` at the monotonic time `atMs`, in milliseconds. */
export interface TokenBucket {
  readonly tokens: number;
  readonly atMs: number;
}

/** Result of {@link takeToken}. */
export interface TokenResult {
  readonly bucket: TokenBucket;
  /** Whether a token was available. */
  readonly granted: boolean;
  /** Time until the next token is available, in milliseconds; 0 if one was granted. */
  readonly retryAfterMs: number;
}

/** Returns the most tokens that a bucket holds: those of one second, and at least one. */
export function bucketCapacity(ratePerSecond: number): number {
  return Math.max(1, ratePerSecond);
}

/** Returns a full bucket. */
export function fullBucket(ratePerSecond: number, nowMs: number): TokenBucket {
  return {tokens: bucketCapacity(ratePerSecond), atMs: nowMs};
}

/** Returns the bucket at a later time. */
export function refilled(
  {tokens, atMs}: TokenBucket,
  ratePerSecond: number,
  nowMs: number,
): TokenBucket {
  const refill = (Math.max(0, nowMs - atMs) / 1_000) * ratePerSecond;
  const capacity = bucketCapacity(ratePerSecond);
  return {tokens: Math.min(capacity, tokens + refill), atMs: nowMs};
}

/** Returns the bucket without one token; below 0 if there was none. */
export function withoutToken(
  bucket: TokenBucket,
  ratePerSecond: number,
  nowMs: number,
): TokenBucket {
  const {tokens} = refilled(bucket, ratePerSecond, nowMs);
  return {tokens: tokens - 1, atMs: nowMs};
}

/**
 * Returns the time until there is a token behind `ahead` others, in milliseconds; 0 if there is
 * one now.
 */
export function tokenWaitMs(
  bucket: TokenBucket,
  ratePerSecond: number,
  ahead: number,
  nowMs: number,
): number {
  const {tokens} = refilled(bucket, ratePerSecond, nowMs);
  const missing = 1 + ahead - tokens;
  return Math.max(0, Math.ceil((missing / ratePerSecond) * 1_000));
}

/** Takes one token if available. */
export function takeToken(
  bucket: TokenBucket,
  ratePerSecond: number,
  nowMs: number,
): TokenResult {
  const retryAfterMs = tokenWaitMs(bucket, ratePerSecond, 0, nowMs);
  const granted = retryAfterMs === 0;
  return {
    bucket: granted
      ? withoutToken(bucket, ratePerSecond, nowMs)
      : refilled(bucket, ratePerSecond, nowMs),
    granted,
    retryAfterMs,
  };
}
