/** Bounds the time for which input has waited before this process reads it. */
import {
  longestWaitMs,
  withSample,
  type Clock,
  type LoopSamples,
} from '@balsamnotch/core';

/** Longest time between two samples of the event loop, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250;

/** Follows the turns of the event loop. */
export interface InputAge {
  /** Returns the longest time for which input that is read now can have waited, in milliseconds. */
  readonly longestWaitMs: () => number;
  readonly close: () => void;
}

/**
 * Starts to follow the event loop. `idleMs` returns the time for which the process has waited for
 * input since its start, in milliseconds.
 */
export function createInputAge(
  clock: Clock,
  idleMs: () => number = () => performance.nodeTiming.idleTime,
): InputAge {
  let samples: LoopSamples = [];
  let isScheduled = false;
  const sampleNow = () => ({atMs: clock.monotonicMs(), idleMs: idleMs()});
  // Immediates run after the sockets of a turn have been read.
  const scheduleSample = (turns: number) => {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      samples = withSample(samples, sampleNow());
      if (turns > 1) scheduleSample(turns - 1);
    });
  };
  scheduleSample(2);
  const timer = setInterval(() => scheduleSample(2), SAMPLE_INTERVAL_MS);
  timer.unref();
  return {
    longestWaitMs: () => {
      scheduleSample(2);
      return longestWaitMs(samples, sampleNow());
    },
    close: () => clearInterval(timer),
  };
}
