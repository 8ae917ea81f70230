/** Detects pauses of the process, for example by SIGSTOP, a blocked event loop or a suspended VM. */
import {Subject, type Observable} from 'rxjs';
import {
  PAUSE_LIMIT_MS,
  TICK_INTERVAL_MS,
  pauseBetween,
  readTick,
  type Clock,
} from '@balsamnotch/core';

/**
 * Time after a pause during which `pauseMs` still reports it. Input that was
 * waiting in socket buffers during the pause is read within this time.
 */
const RESUME_WINDOW_MS = 500;

/** Detects pauses until it is closed. */
export interface PauseMonitor {
  /** Length in milliseconds of the pause from which the process has just resumed, or 0. */
  readonly pauseMs: () => number;
  /** Emits the length of each pause in milliseconds once it has ended. */
  readonly pauses$: Observable<number>;
  /** Returns the longest delay of the event loop since the call before, in milliseconds. */
  readonly takeMaxDelayMs: () => number;
  readonly close: () => void;
}

/**
 * Starts a monitor that compares clock readings each {@link TICK_INTERVAL_MS}.
 * A pause is a gap of more than `limitMs` on the monotonic clock, or a difference of
 * more than `limitMs` between the advances of the monotonic and the wall clock.
 */
export function createPauseMonitor(
  clock: Clock,
  {limitMs = PAUSE_LIMIT_MS}: {readonly limitMs?: number} = {},
): PauseMonitor {
  const pauses = new Subject<number>();
  let lastTick = readTick(clock);
  let lastPause = {ms: 0, endMs: Number.NEGATIVE_INFINITY};
  let maxDelayMs = 0;
  const check = () => {
    const now = readTick(clock);
    const gapMs = now.monotonicMs - lastTick.monotonicMs;
    maxDelayMs = Math.max(maxDelayMs, gapMs - TICK_INTERVAL_MS);
    const ms = pauseBetween(lastTick, now, limitMs);
    lastTick = now;
    if (ms === 0) return;
    lastPause = {ms, endMs: now.monotonicMs};
    pauses.next(ms);
  };
  const timer = setInterval(check, TICK_INTERVAL_MS);
  return {
    pauseMs: () => {
      check();
      const sinceMs = clock.monotonicMs() - lastPause.endMs;
      return sinceMs < RESUME_WINDOW_MS ? lastPause.ms : 0;
    },
    pauses$: pauses,
    takeMaxDelayMs: () => {
      check();
      const takenMs = maxDelayMs;
      maxDelayMs = 0;
      return takenMs;
    },
    close: () => clearInterval(timer),
  };
}
