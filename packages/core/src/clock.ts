/** Time: clock source, detection of pauses, and deadlines in a receiver's clock. */

/** Time source of a process, passed to decisions instead of a global clock. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes backwards. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump either way. */
  wallMs(): number;
}

/** Readings of both clocks at one instant. */
export interface Tick {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Interval of the timer that records ticks. */
export const TICK_INTERVAL_MS = 100;

/** A gap between ticks, or a wall clock step, above this is a pause. */
export const PAUSE_LIMIT_MS = 1_000;

/** Reads both clocks. */
export function readTick(clock: Clock): Tick {
  return {monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs()};
}

/**
 * Length in milliseconds of the pause between two ticks, or 0 when there was
 * none. The wall clock counts as well, because the monotonic clock stands
 * still while a VM is suspended.
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

/** A target node's clock as an entry last heard it. */
export interface RemoteClock {
  /** The node's monotonic clock when it sent the report, in milliseconds. */
  readonly nodeClockMs: number;
  /** This process's monotonic clock when the report arrived. */
  readonly receivedAtMs: number;
}

/**
 * Deadline in the receiver's clock, in milliseconds. The receiver's clock is
 * at or ahead of the estimate, so a message that is delayed, duplicated or
 * left in a buffer expires without synchronised clocks.
 */
export function remoteDeadlineMs(
  remote: RemoteClock,
  nowMs: number,
  budgetMs: number,
): number {
  return remote.nodeClockMs + (nowMs - remote.receivedAtMs) + budgetMs;
}
