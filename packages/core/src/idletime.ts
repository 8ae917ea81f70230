/** How long an idle connection to a target may be used again. */

/** Idle time after which a connection is closed when the target states none, in milliseconds. */
const IDLE_MS = 4_000;

/** Part of the stated idle time for which a connection is used, so that no request crosses the close. */
const IDLE_SHARE = 0.6;

/** Part of the idle time of a connection that was reset, below which others are used. */
const RESET_SHARE = 0.5;

/** Least idle time that a reset leads to, in milliseconds; a new connection takes about a millisecond. */
const LEAST_IDLE_MS = 50;

/** Time for which a reset is remembered, in milliseconds: far above the pauses between requests to one service. */
const MEMORY_MS = 30_000;

/** What resets have shown about the targets of a service. */
export interface IdleTime {
  /** Idle time that connections survive as far as is known, in milliseconds. */
  readonly survivedMs: number;
  /** Monotonic time until which that counts. */
  readonly untilMs: number;
}

/** Knowledge before the first reset. */
export const NO_RESET: IdleTime = {survivedMs: Infinity, untilMs: 0};

/** Idle time for which a connection is used again, in milliseconds. `statedMs` is 0 when the target states none. */
export function usableIdleMs(
  {survivedMs, untilMs}: IdleTime,
  statedMs: number,
  nowMs: number,
): number {
  const usualMs = (statedMs > 0 ? statedMs : IDLE_MS) * IDLE_SHARE;
  return nowMs < untilMs ? Math.min(usualMs, survivedMs) : usualMs;
}

/** A connection that had been idle for `idleMs` was reset when it was used again. */
export function afterIdleReset(
  known: IdleTime,
  idleMs: number,
  nowMs: number,
): IdleTime {
  const before = nowMs < known.untilMs ? known.survivedMs : Infinity;
  const survivedMs = Math.min(before, idleMs * RESET_SHARE);
  return {
    survivedMs: Math.max(LEAST_IDLE_MS, survivedMs),
    untilMs: nowMs + MEMORY_MS,
  };
}
