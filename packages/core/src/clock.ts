/** Clock source, detection of process pauses, and deadlines on a receiver's clock. */

/** Time source of a process. Functions that need the time receive it instead of a global clock. */
export interface Clock {
  /** Milliseconds since an arbitrary start. Never goes backwards. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch. May jump forwards or backwards. */
  wallMs(): number;
}

/** Readings of both clocks at the same instant. */
export interface Tick {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Interval of the timer that records ticks, in milliseconds. */
export const TICK_INTERVAL_MS = 100;

/** A gap between ticks or a wall clock step above this limit counts as a pause, in milliseconds. */
export const PAUSE_LIMIT_MS = 1_000;

/** Reads both clocks. */
export function readTick(clock: Clock): Tick {
  return {monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs()};
}

/**
 * Returns the length of the pause between two ticks in milliseconds, or 0 without a
 * pause. The wall clock is checked too, because the monotonic clock stops while a
 * VM is suspended.
 */
export function pauseBetween(
  last: Tick,
  now: Tick,
  limitMs: number = PAUSE_LIMIT_MS,
): number {
  const gapMs = now.monotonicMs - last.monotonicMs;
  const wallStepMs = Math.abs(now.wallMs - last.wallMs - gapMs);
  const pauseMs = Math.max(gapMs, wallStepMs);
  return pauseMs > limitMs ? pauseMs : 0;
}

/** Clock of a target node as last reported to an entry. */
export interface RemoteClock {
  /** The node's monotonic clock at the time it sent the report, in milliseconds. */
  readonly nodeClockMs: number;
  /** This process's monotonic clock when the report arrived, in milliseconds. */
  readonly receivedAtMs: number;
}

/**
 * Returns a deadline on the receiver's clock, in milliseconds. The receiver's clock
 * is never behind the estimate, so a message that is delayed, duplicated or left in
 * a buffer expires without synchronised clocks.
 */
export function remoteDeadlineMs(
  remote: RemoteClock,
  nowMs: number,
  budgetMs: number,
): number {
  return remote.nodeClockMs + (nowMs - remote.receivedAtMs) + budgetMs;
}
