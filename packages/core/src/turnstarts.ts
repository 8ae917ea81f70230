/**
 * How many requests an entry starts in one turn of its event loop. Each turn also reads what targets
 * and callers have sent, so a turn that starts whatever has arrived delays the requests in
 * progress, until all of them are too late.
 */

/** Length of a turn that is aimed at, in milliseconds. A request takes about five turns. */
const TURN_TARGET_MS = 25;

/** Largest number of starts in one turn. */
const MAX_STARTS = 256;

/**
 * A turn starts at least one request for each such time that the turn before took, in
 * milliseconds: other work may be what makes turns long, and fewer starts would not shorten them.
 */
const MS_PER_LEAST_START = 16;

/** Least factor by which one long turn reduces the number of starts. */
const MIN_FACTOR = 0.5;

/** Number of starts in the first turn. */
export const INITIAL_STARTS = 8;

/**
 * Longest time for which a request that has been read waits for its start, in milliseconds. An
 * entry that starts the newest first would answer those that wait longer too late.
 */
export const MAX_START_WAIT_MS = 150;

/** A turn of the event loop. */
export interface Turn {
  /** Its length, in milliseconds. */
  readonly turnMs: number;
  /** Number of requests that it left waiting. */
  readonly left: number;
}

/**
 * Returns how many requests the next turn may start, after a turn that could start `limit`. A turn that
 * has deferred its starts says nothing of how long they take, and must not be passed.
 */
export function nextStarts(limit: number, {turnMs, left}: Turn): number {
  if (turnMs > TURN_TARGET_MS) {
    const factor = Math.max(MIN_FACTOR, TURN_TARGET_MS / turnMs);
    const least = Math.ceil(turnMs / MS_PER_LEAST_START);
    return Math.min(MAX_STARTS, Math.max(least, Math.floor(limit * factor)));
  }
  return left > 0 ? Math.min(MAX_STARTS, limit + 1) : limit;
}

/**
 * Returns whether a turn was so long that the callers of the requests that it has read may have
 * left meanwhile. Such requests wait for the next turn, which reads the ends of their connections.
 */
export function isLateTurn(turnMs: number): boolean {
  return turnMs > TURN_TARGET_MS;
}

/** Longest time for which starts are deferred after a short turn, in milliseconds. */
const MAX_DEFERRED_MS = 25;

/**
 * Longest time for which starts are deferred, by the length of the last turn that started requests. A
 * late process would otherwise accept one connection for each turn full of starts, and every
 * request would have waited in the system's queue for longer than its caller does.
 */
const DEFERRED_BY_TURN = 2;

/** Starts of requests before a turn. */
export interface LastStarts {
  /** Time since the end of the last turn that started requests, in milliseconds. */
  readonly sinceMs: number;
  /** Length of that turn, in milliseconds. */
  readonly turnMs: number;
}

/**
 * Returns whether a turn defers its starts because it has accepted a connection. Node.js accepts one
 * in each turn, oldest first, so more may wait in the system's queue, and the newest of them should
 * start first.
 */
export function mayDeferStarts(
  hasAccepted: boolean,
  {sinceMs, turnMs}: LastStarts,
): boolean {
  const longestMs = Math.max(MAX_DEFERRED_MS, DEFERRED_BY_TURN * turnMs);
  return hasAccepted && sinceMs < longestMs;
}

/** A request that has been read and not been started. */
export interface WaitingStart {
  /** Monotonic time at which it was read, in milliseconds. */
  readonly readAtMs: number;
  /** Whether its caller has ended its half of the connection: it may have left. */
  readonly hasEnded: boolean;
}

/** What one turn does with the requests that wait. */
export interface StartPlan<T> {
  /**
   * To start, in this order: the newest first, since the others are nearer to being too late, and
   * those whose callers have ended their half last.
   */
  readonly started: readonly T[];
  /** To refuse. */
  readonly refused: readonly T[];
  /** To leave for later turns. */
  readonly waiting: readonly T[];
}

/** Plans the starts of one turn; `requests` are in the order in which they were read. */
export function planStarts<T extends WaitingStart>(
  requests: readonly T[],
  limit: number,
  nowMs: number,
): StartPlan<T> {
  const ranked = [
    ...requests.filter(({hasEnded}) => hasEnded),
    ...requests.filter(({hasEnded}) => !hasEnded),
  ].reverse();
  const isOverdue = ({readAtMs}: T) => nowMs - readAtMs > MAX_START_WAIT_MS;
  const started = ranked.slice(0, limit);
  const left = ranked.slice(limit).reverse();
  return {
    started,
    refused: left.filter(isOverdue),
    waiting: left.filter(request => !isOverdue(request)),
  };
}
