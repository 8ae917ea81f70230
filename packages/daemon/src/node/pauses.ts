/** Detects that the process was stopped or its VM suspended. */
import {Subject, type Observable} from 'rxjs';
import {
  PAUSE_LIMIT_MS,
  TICK_INTERVAL_MS,
  pauseBetween,
  readTick,
  type Clock,
} from '@balsamnotch/core';

/**
 * Time after a pause for which the process still counts as waking. Input that
 * waited in socket buffers is read within this time.
 */
const WAKING_MS = 500;

/** Detector of pauses. */
export interface PauseMonitor {
  /** Length in milliseconds of the pause that the process wakes from, or 0. */
  readonly pauseMs: () => number;
  readonly pauses$: Observable<number>;
  readonly close: () => void;
}

/** Starts a monitor with a timer of {@link TICK_INTERVAL_MS}. */
export function createPauseMonitor(
  clock: Clock,
  {limitMs = PAUSE_LIMIT_MS}: {readonly limitMs?: number} = {},
): PauseMonitor {
  const pauses = new Subject<number>();
  let last = readTick(clock);
  let lastPause = {ms: 0, endMs: Number.NEGATIVE_INFINITY};
  const check = () => {
    const now = readTick(clock);
    const ms = pauseBetween(last, now, limitMs);
    last = now;
    if (ms === 0) return;
    lastPause = {ms, endMs: now.monotonicMs};
    pauses.next(ms);
  };
  const timer = setInterval(check, TICK_INTERVAL_MS);
  return {
    pauseMs: () => {
      check();
      const sinceMs = clock.monotonicMs() - lastPause.endMs;
      return sinceMs < WAKING_MS ? lastPause.ms : 0;
    },
    pauses$: pauses,
    close: () => clearInterval(timer),
  };
}
