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

/** Body of a request that has not been started up to which its input is parsed, in bytes. */
const MAX_UNSTARTED_BYTES = 65_536;

/** What has been parsed of a connection. */
export interface ParsedInput {
  /** Requests without a complete answer. */
  readonly unanswered: number;
  /** Pieces of bodies since others were parsed. */
  readonly piecesInRow: number;
  /** Bytes of the body that is arriving, if its request has not been started; else 0. */
  readonly unstartedBytes: number;
}

/** Reasons for which nothing more of a connection is parsed for now. */
export const WAIT_REASON = {
  /** Too many requests without an answer. */
  requests: 'requests',
  /** Others come first, since pieces of bodies cost far more to parse than their bytes. */
  pieces: 'pieces',
  /** The request whose body arrives has not been started. */
  start: 'start',
} as const;

/** One of the values of {@link WAIT_REASON}. */
export type WaitReason = (typeof WAIT_REASON)[keyof typeof WAIT_REASON];

/** Returns why a connection has to wait after a slice; undefined if its next slice may be parsed at once. */
export function waitReason({
  unanswered,
  piecesInRow,
  unstartedBytes,
}: ParsedInput): WaitReason | undefined {
  if (unanswered >= MAX_REQUESTS_AHEAD) return WAIT_REASON.requests;
  if (unstartedBytes >= MAX_UNSTARTED_BYTES) return WAIT_REASON.start;
  return piecesInRow >= MAX_PIECES_IN_ROW ? WAIT_REASON.pieces : undefined;
}
