/**
 * Splits an event stream into complete events. Another target can then resume it between two
 * events.
 */

/** Complete events returned together. */
export interface EventBatch {
  /** Bytes of the events, unchanged. */
  readonly bytes: Buffer;
  /** Ids of the first and the last event that have a numeric id; undefined if none has one. */
  readonly firstId?: number;
  readonly lastId?: number;
}

/** Stateful splitter of one stream. Each attempt has its own. */
export interface EventSplitter {
  /** Adds bytes. Returns the events that they complete, or undefined. */
  push(chunk: Buffer): EventBatch | undefined;
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: number;
}

const LF_BLANK_LINE = Buffer.from('\n\n');
const CRLF_BLANK_LINE = Buffer.from('\r\n\r\n');

/** Returns the position after the last blank line, or 0 without a blank line. */
function endOfEvents(bytes: Buffer): number {
  const lf = bytes.lastIndexOf(LF_BLANK_LINE);
  const crlf = bytes.lastIndexOf(CRLF_BLANK_LINE);
  return Math.max(lf < 0 ? 0 : lf + 2, crlf < 0 ? 0 : crlf + 4);
}

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let incomplete: Buffer = Buffer.alloc(0);
  return {
    push: chunk => {
      const bytes =
        incomplete.length === 0 ? chunk : Buffer.concat([incomplete, chunk]);
      const end = endOfEvents(bytes);
      incomplete = bytes.subarray(end);
      if (end === 0) return undefined;
      const events = bytes.subarray(0, end);
      const ids = [...events.toString('latin1').matchAll(/^id: ?(\d+)/gm)];
      if (ids.length === 0) return {bytes: events};
      return {
        bytes: events,
        firstId: Number(ids[0]?.[1]),
        lastId: Number(ids.at(-1)?.[1]),
      };
    },
    get pendingBytes() {
      return incomplete.length;
    },
  };
}
