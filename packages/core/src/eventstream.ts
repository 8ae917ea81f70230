/** Splits an event stream into whole events, so that another target can continue it without a seam. */

/** Whole events that arrived together. */
export interface EventBatch {
  /** Bytes of the events, unchanged. */
  readonly bytes: Buffer;
  /** Id of the first and the last event with an id; undefined without one. */
  readonly firstId?: number;
  readonly lastId?: number;
}

/** Splitter of one stream; owned and changed by one attempt. */
export interface EventSplitter {
  /** Adds bytes; returns the events that they complete. */
  push(chunk: Buffer): EventBatch | undefined;
  /** Bytes of an event that has not ended. */
  readonly pending: number;
}

const BLANK_LINE = Buffer.from('\n\n');
const BLANK_CRLF_LINE = Buffer.from('\r\n\r\n');

/** Position after the last blank line; 0 without one. */
function endOfEvents(bytes: Buffer): number {
  const lf = bytes.lastIndexOf(BLANK_LINE);
  const crlf = bytes.lastIndexOf(BLANK_CRLF_LINE);
  return Math.max(lf < 0 ? 0 : lf + 2, crlf < 0 ? 0 : crlf + 4);
}

/** Creates a splitter. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push: chunk => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const end = endOfEvents(bytes);
      rest = bytes.subarray(end);
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
    get pending() {
      return rest.length;
    },
  };
}
