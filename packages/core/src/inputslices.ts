/**
 * How much of the input of callers is parsed at a time. One read of a connection can hold ten thousand
 * pieces of a body or some thousand requests, so a process that parses each read to its end stops for
 * as long as a crowd likes, and holds what it brings, before it can pause or close a connection.
 */

/** Smallest and largest slice, in bytes. An ordinary request is one slice. */
const SLICE_BYTES = {min: 512, max: 16_384} as const;

/** Size of the first slice of a read, in bytes. */
export const FIRST_SLICE_BYTES = 1_024;

/** Requests and pieces of bodies of a slice from which on the next slice is smaller. */
const MANY_PARTS = 32;

/** Size of a slice, and the requests and pieces of bodies that it brought. */
export interface ParsedSlice {
  readonly bytes: number;
  readonly parts: number;
}

/** Returns the size of the slice after one, in bytes. */
export function nextSliceBytes({bytes, parts}: ParsedSlice): number {
  return parts >= MANY_PARTS
    ? SLICE_BYTES.min
    : Math.min(SLICE_BYTES.max, 2 * bytes);
}

/** Unanswered requests of a connection from which on nothing more of it is parsed. */
const MAX_REQUESTS_AHEAD = 16;

/** Unanswered requests of such a connection down to which it waits for its turn to be parsed again. */
export const RESUMED_REQUESTS_AHEAD = 4;

/** Pieces of bodies that a connection may bring in a row before others are parsed. */
const MAX_PIECES_IN_ROW = 512;

/** Pieces of bodies of all connections in one turn of the event loop after which each parses one slice at most. */
const MAX_PIECES_IN_TURN = 1_024;

/** Bytes of bodies of requests that have not been started up to which their connection is parsed. */
const MAX_UNSTARTED_BYTES = 65_536;

/** What has been parsed of a connection. */
export interface ParsedInput {
  /** Requests without a complete answer. */
  readonly unanswered: number;
  /** Pieces of bodies since others were parsed. */
  readonly piecesInRow: number;
  /** Pieces of bodies of all connections in the turn in progress. */
  readonly piecesInTurn: number;
  /** Bytes of the bodies of requests that have not been started. */
  readonly unstartedBytes: number;
}

/** Reasons for which nothing more of a connection is parsed for now. */
export const WAIT_REASON = {
  /** Too many requests without an answer. */
  requests: 'requests',
  /** Others come first, since pieces of bodies cost far more to parse than their bytes. */
  pieces: 'pieces',
  /** Requests whose bodies have been received have not been started. */
  start: 'start',
} as const;

/** One of the values of {@link WAIT_REASON}. */
export type WaitReason = (typeof WAIT_REASON)[keyof typeof WAIT_REASON];

/** Returns why a connection has to wait after a slice; undefined if its next slice may be parsed at once. */
export function waitReason({
  unanswered,
  piecesInRow,
  piecesInTurn,
  unstartedBytes,
}: ParsedInput): WaitReason | undefined {
  if (unanswered >= MAX_REQUESTS_AHEAD) return WAIT_REASON.requests;
  if (unstartedBytes >= MAX_UNSTARTED_BYTES) return WAIT_REASON.start;
  const hasManyPieces =
    piecesInRow >= MAX_PIECES_IN_ROW ||
    (piecesInTurn >= MAX_PIECES_IN_TURN && piecesInRow >= MANY_PARTS);
  return hasManyPieces ? WAIT_REASON.pieces : undefined;
}

/** A connection that waits since it has brought many pieces of bodies. */
export interface CostlyInput {
  /** Pieces of the bodies of its unanswered requests. */
  readonly pieces: number;
  /** Bytes of these pieces. */
  readonly pieceBytes: number;
  /** Whether closing it could lose the outcome of a request that a target may run. */
  readonly isProtected: boolean;
}

/** Such connections that may wait for each other before the costliest of them are closed. */
const MAX_COSTLY_WAITING = 8;

/** Pieces from which on a connection may be closed for them. */
const MIN_COSTLY_PIECES = 1_024;

/** Mean size of a piece below which it costs far more to parse than to send, in bytes. */
const COSTLY_PIECE_BYTES = 64;

/**
 * Chooses connections to close because the pieces of their bodies keep others waiting: the costliest
 * first, until few wait. `waiting` are all that wait for others since they brought many pieces; while they
 * are few none is closed, so never one alone.
 */
export function chooseCostly<Input extends CostlyInput>(
  waiting: readonly Input[],
): readonly Input[] {
  const surplus = waiting.length - MAX_COSTLY_WAITING;
  if (surplus <= 0) return [];
  return waiting
    .filter(
      ({pieces, pieceBytes, isProtected}) =>
        !isProtected &&
        pieces >= MIN_COSTLY_PIECES &&
        pieceBytes < pieces * COSTLY_PIECE_BYTES,
    )
    .sort((a, b) => b.pieces - a.pieces)
    .slice(0, surplus);
}
