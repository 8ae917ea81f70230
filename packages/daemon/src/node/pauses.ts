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

/** Number of delays of the event loop that {@link PauseMonitor.latenessMs} considers. */
const RECENT_DELAYS = 10;

/** Detects pauses until it is closed. */
export interface PauseMonitor {
  /** Length in milliseconds of the pause from which the process has just resumed, or 0. */
  readonly pauseMs: () => number;
  /** Emits the length of each pause in milliseconds once it has ended. */
  readonly pauses$: Observable<number>;
  /** Returns how late the event loop is, in milliseconds: the longest delay of its last ten ticks. */
  readonly latenessMs: () => number;
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
  let recentDelaysMs: readonly number[] = [];
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
  let timerRanAtMs = clock.monotonicMs();
  const timer = setInterval(() => {
    const nowMs = clock.monotonicMs();
    const delayMs = Math.max(0, nowMs - timerRanAtMs - TICK_INTERVAL_MS);
    timerRanAtMs = nowMs;
    recentDelaysMs = [...recentDelaysMs.slice(1 - RECENT_DELAYS), delayMs];
    check();
  }, TICK_INTERVAL_MS);
  return {
    pauseMs: () => {
      check();
      const sinceMs = clock.monotonicMs() - lastPause.endMs;
      return sinceMs < RESUME_WINDOW_MS ? lastPause.ms : 0;
    },
    pauses$: pauses,
    latenessMs: () => Math.round(Math.max(0, ...recentDelaysMs)),
    takeMaxDelayMs: () => {
      check();
      const takenMs = maxDelayMs;
      maxDelayMs = 0;
      return takenMs;
    },
    close: () => clearInterval(timer),
  };
}
