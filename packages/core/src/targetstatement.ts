/** What a target states of itself in its answers. */

/** Statements of one incarnation of a target. */
export interface TargetStatement {
  /** Start time of the target in Unix milliseconds; 0 if the target does not state it. */
  readonly incarnationMs: number;
  /** Whether the target has stated that it is leaving. */
  readonly isLeaving: boolean;
  /** Monotonic time until which the target wants no requests, in milliseconds; 0 if it has not said so. */
  readonly pausedUntilMs: number;
}

/** Longest pause that is kept, in milliseconds. A longer one is more likely an error than a wish. */
export const MAX_PAUSE_MS = 60 * 60_000;

/** Reasons for which a target gets no new requests because of its own statements. */
export const UNAVAILABILITY = {
  /** The target is leaving. */
  leaving: 'target_leaving',
  /** The target has asked for no requests for a time that has not passed. */
  paused: 'target_paused',
} as const;

/** One of the values of {@link UNAVAILABILITY}. */
export type Unavailability =
  (typeof UNAVAILABILITY)[keyof typeof UNAVAILABILITY];

/** Returns the statements of an incarnation that has made none yet. */
export function noStatement(incarnationMs: number): TargetStatement {
  return {incarnationMs, isLeaving: false, pausedUntilMs: 0};
}

/** Returns the statements after the target was listed with this incarnation; a new one begins anew. */
export function withIncarnation(
  statement: TargetStatement,
  incarnationMs: number,
): TargetStatement {
  return statement.incarnationMs === incarnationMs
    ? statement
    : noStatement(incarnationMs);
}

/**
 * Returns the statements after an answer to a request that was sent to the incarnation
 * `incarnationMs` said that the target is leaving. This stays true until the incarnation ends,
 * whatever later answers say; answers of another incarnation change nothing.
 */
export function withLeaving(
  statement: TargetStatement,
  incarnationMs: number,
): TargetStatement {
  if (statement.incarnationMs !== incarnationMs) return statement;
  return {...statement, isLeaving: true};
}

/** A pause as it is kept. */
export interface KeptPause {
  /** Duration in milliseconds. */
  readonly pauseMs: number;
  /** Whether the stated value is no duration, or too long. */
  readonly isOdd: boolean;
}

/**
 * Returns the pause that is kept for a stated one in milliseconds: none for a value that is no
 * duration, such as NaN, and at most {@link MAX_PAUSE_MS}.
 */
export function keptPause(statedMs: number): KeptPause {
  if (!(statedMs >= 0)) return {pauseMs: 0, isOdd: true};
  return {
    pauseMs: Math.min(MAX_PAUSE_MS, statedMs),
    isOdd: statedMs > MAX_PAUSE_MS,
  };
}

/**
 * Returns the statements after an answer to a request that was sent to the incarnation
 * `incarnationMs` asked for no requests for `pauseMs` from `nowMs` on. A pause that lasts longer
 * already is not shortened, since the target asked for each of them.
 */
export function withPause(
  statement: TargetStatement,
  incarnationMs: number,
  pauseMs: number,
  nowMs: number,
): TargetStatement {
  if (statement.incarnationMs !== incarnationMs) return statement;
  const pausedUntilMs = Math.max(statement.pausedUntilMs, nowMs + pauseMs);
  return {...statement, pausedUntilMs};
}

/** Returns the time left of the pause, in milliseconds; 0 if there is none. */
export function remainingPauseMs(
  {pausedUntilMs}: TargetStatement,
  nowMs: number,
): number {
  return Math.max(0, pausedUntilMs - nowMs);
}

/** Returns the reason for which the target gets no new requests; undefined if it may get some. */
export function unavailabilityOf(
  statement: TargetStatement,
  nowMs: number,
): Unavailability | undefined {
  if (statement.isLeaving) return UNAVAILABILITY.leaving;
  return remainingPauseMs(statement, nowMs) > 0
    ? UNAVAILABILITY.paused
    : undefined;
}
