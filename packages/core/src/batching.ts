/** Start delay of an idle engine: a short wait lets more requests run in one batch. */

/** Requests that are ready to start, and the load of their engine. */
export interface ReadyWork {
  /** Requests that are ready to start. */
  readonly requests: number;
  /** Requests that the engine is running. */
  readonly active: number;
  /** Monotonic time at which the earliest ready request arrived, in milliseconds. */
  readonly sinceMs: number;
}

/**
 * Returns the delay in milliseconds before ready requests start; 0 means at once.
 * Requests join a running batch immediately. An idle engine waits until the batch is
 * full or the earliest request has waited for `batchWaitMs`.
 */
export function batchDelayMs(
  ready: ReadyWork,
  nowMs: number,
  {batchSize, batchWaitMs}: {batchSize: number; batchWaitMs: number},
): number {
  if (ready.active > 0 || ready.requests >= batchSize) return 0;
  return Math.max(0, ready.sinceMs + batchWaitMs - nowMs);
}
