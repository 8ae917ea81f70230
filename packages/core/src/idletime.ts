/** Decides how long an idle connection to a target may be reused. */

/** Assumed idle timeout of a target that states none, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

/**
 * Share of the idle timeout for which a connection is reused. The margin avoids sending
 * a request while the target is closing the connection.
 */
const USABLE_IDLE_SHARE = 0.6;

/** Share of the idle time of a reset connection up to which other connections are reused. */
const RESET_IDLE_SHARE = 0.5;

/**
 * Minimum idle limit after a reset, in milliseconds. Opening a connection takes about a
 * millisecond.
 */
const MIN_IDLE_MS = 50;

/**
 * Time for which a reset is remembered, in milliseconds. Pauses between requests to a service
 * are far shorter.
 */
const RESET_MEMORY_MS = 30_000;

/** Idle limit for connections to the targets of a service, learned from resets. */
export interface IdleTime {
  /** Idle time up to which connections may be reused, in milliseconds. */
  readonly maxIdleMs: number;
  /** Monotonic time until which `maxIdleMs` applies, in milliseconds. */
  readonly validUntilMs: number;
}

/** Value before the first reset: no limit. */
export const NO_IDLE_RESET: IdleTime = {maxIdleMs: Infinity, validUntilMs: 0};

/**
 * Returns the idle time up to which a connection may be reused, in milliseconds. `statedMs` is the
 * idle timeout that the target states, or 0.
 */
export function usableIdleMs(
  {maxIdleMs, validUntilMs}: IdleTime,
  statedMs: number,
  nowMs: number,
): number {
  const limitMs =
    (statedMs > 0 ? statedMs : DEFAULT_IDLE_TIMEOUT_MS) * USABLE_IDLE_SHARE;
  return nowMs < validUntilMs ? Math.min(limitMs, maxIdleMs) : limitMs;
}

/** Returns the limit after a connection was reset on reuse, having been idle for `idleMs`. */
export function afterIdleReset(
  observed: IdleTime,
  idleMs: number,
  nowMs: number,
): IdleTime {
  const previousMaxIdleMs =
    nowMs < observed.validUntilMs ? observed.maxIdleMs : Infinity;
  const reducedIdleMs = Math.min(previousMaxIdleMs, idleMs * RESET_IDLE_SHARE);
  return {
    maxIdleMs: Math.max(MIN_IDLE_MS, reducedIdleMs),
    validUntilMs: nowMs + RESET_MEMORY_MS,
  };
}
