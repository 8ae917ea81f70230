/** When an idle engine starts: a short wait lets more requests run in one batch. */

/** Requests that could start now. */
export interface ReadyWork {
  readonly requests: number;
  /** Requests in the engine. */
  readonly active: number;
  /** Arrival of the earliest ready request, monotonic milliseconds. */
  readonly sinceMs: number;
}

/**
 * Milliseconds until ready requests start, 0 for now. Requests join a running
 * batch at once; an idle engine waits until the batch is full or the earliest
 * request has waited for `batchWaitMs`.
 */
export function batchDelayMs(
  ready: ReadyWork,
  nowMs: number,
  {batchSize, batchWaitMs}: {batchSize: number; batchWaitMs: number},
): number {
  if (ready.active > 0 || ready.requests >= batchSize) return 0;
  return Math.max(0, ready.sinceMs + batchWaitMs - nowMs);
}
