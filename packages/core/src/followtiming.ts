/**
 * Timing of the calls by which a node follows published changes. A single lost answer must not
 * delay a change beyond its bound.
 */

/** Times of the calls, in milliseconds. */
export interface FollowTiming {
  /** Minimum time between the starts of two calls. Changes accumulate in the meantime. */
  readonly minCallIntervalMs: number;
  /** Time for which the source holds a call open until a change; 0 for polling. */
  readonly waitMs: number;
  /** Timeout for the answer, on top of `waitMs`, if the previous call was answered. */
  readonly answerTimeoutMs: number;
  /** Pause after the first failed call in a row, without jitter. */
  readonly initialRetryMs: number;
  /**
   * Maximum pause after failed calls, without jitter. It limits how late the end of an outage
   * is detected.
   */
  readonly maxRetryMs: number;
  /**
   * Minimum time between the starts of two calls when another node is known to have a later
   * change.
   */
  readonly minHintedCallIntervalMs: number;
}

/**
 * Shares of the bound. With polling and one lost answer, the maximum delay of a
 * change is the sum of the call interval, the timeout of the lost answer, the
 * retry pause with maximum jitter and the timeout of the next answer: 0.912 of the
 * bound. The rest allows for a process that lags behind.
 */
const POLL_GATHER_SHARE = 0.5;
const ANSWER_SHARE = 0.18;
const RETRY_SHARE = 0.04;
const MAX_RETRY_SHARE = 0.3;
const HINTED_SHARE = 0.1;

/**
 * A watch reports most changes immediately, but reveals a silent connection only after its
 * wait.
 */
const WATCH_GATHER_SHARE = 0.3;
const WATCH_WAIT_SHARE = 0.6;

/** Minimum and maximum factor by which jitter changes a pause. */
const MIN_JITTER_FACTOR = 0.7;
const MAX_JITTER_FACTOR = 1.3;

/**
 * Maximum factor by which the answer timeout grows after failed calls, for a source that is
 * slow but not silent.
 */
const MAX_ANSWER_TIMEOUT_FACTOR = 2;

function timingOf(
  boundMs: number,
  gatherShare: number,
  waitShare: number,
): FollowTiming {
  return {
    minCallIntervalMs: boundMs * gatherShare,
    waitMs: boundMs * waitShare,
    answerTimeoutMs: boundMs * ANSWER_SHARE,
    initialRetryMs: boundMs * RETRY_SHARE,
    maxRetryMs: boundMs * MAX_RETRY_SHARE,
    minHintedCallIntervalMs: boundMs * HINTED_SHARE,
  };
}

/**
 * Returns the timing for a node that must apply each change within `boundMs`, even if one
 * answer is lost.
 */
export function pollTiming(boundMs: number): FollowTiming {
  return timingOf(boundMs, POLL_GATHER_SHARE, 0);
}

/**
 * Returns the timing for a node that watches for changes and passes them on to other nodes.
 * `boundMs` is the maximum delay of a change, in milliseconds.
 */
export function watchTiming(boundMs: number): FollowTiming {
  return timingOf(boundMs, WATCH_GATHER_SHARE, WATCH_WAIT_SHARE);
}

/**
 * Returns the answer timeout after `failures` failed calls in a row, in milliseconds. It
 * applies on top of `waitMs`.
 */
export function answerLimitMs(
  {answerTimeoutMs}: FollowTiming,
  failures: number,
): number {
  return answerTimeoutMs * Math.min(MAX_ANSWER_TIMEOUT_FACTOR, 1 + failures);
}

/**
 * Returns the pause after `failures` failed calls in a row, in milliseconds. `failures` must be at
 * least 1; `draw` is uniform in [0, 1).
 */
export function retryPauseMs(
  {initialRetryMs, maxRetryMs}: FollowTiming,
  failures: number,
  draw: number,
): number {
  const jitter =
    MIN_JITTER_FACTOR + draw * (MAX_JITTER_FACTOR - MIN_JITTER_FACTOR);
  const pauseMs = initialRetryMs * 2 ** Math.min(failures - 1, 10);
  return Math.min(maxRetryMs, pauseMs) * jitter;
}
