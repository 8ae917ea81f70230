/**
 * How long input can have waited in its socket before a process reads it. An event loop reads each
 * socket once in a turn, so input has arrived after the turn before had read its sockets, or while
 * the process waited for input since.
 */

/** State of an event loop at some moment of a turn after its sockets have been read. */
export interface LoopSample {
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
  /** Time for which the process has waited for input since its start, in milliseconds. */
  readonly idleMs: number;
}

/** Samples of the last two turns that were sampled, the earlier one first. */
export type LoopSamples = readonly LoopSample[];

/** Adds the sample of another turn. */
export function withSample(
  samples: LoopSamples,
  sample: LoopSample,
): LoopSamples {
  return [...samples.slice(-1), sample];
}

/**
 * Returns the longest time for which input that is read now can have waited, in milliseconds: the time
 * that the process has spent on other things than waiting since the last turn but one. The
 * sockets of the last turn may have been read at any time after that sample.
 */
export function longestWaitMs(samples: LoopSamples, now: LoopSample): number {
  const [from = now] = samples;
  const elapsedMs = now.atMs - from.atMs;
  const idleMs = now.idleMs - from.idleMs;
  return Math.max(0, elapsedMs - idleMs);
}
