/**
 * Splits an event stream into complete events. Another target can then resume it between two
 * events.
 */

/** Complete events returned together. */
export interface EventBatch {
  /** Bytes of the events, unchanged; empty if the first one is invalid. */
  readonly bytes: Buffer;
  /** Why the next event after these is invalid; undefined if it is valid or not complete. */
  readonly fault?: string;
  /** Ids of the first and the last event that have a numeric id; undefined if none has one. */
  readonly firstId?: number;
  readonly lastId?: number;
}

/** Stateful splitter of one stream. Each attempt has its own. Nothing follows a fault. */
export interface EventSplitter {
  /** Adds bytes. Returns the events that they complete, or undefined. */
  push(chunk: Buffer): EventBatch | undefined;
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: number;
}

/** Blank line that ends an event. */
const EVENT_END = /\n\n|\r\n\r\n/g;

/** A line of an event: a field, or a comment, whose name is empty. */
const FIELD_LINE = /^[\w-]*(:|$)/;

/** Returns whether the text of a complete event has only lines that an event may have. */
function isEvent(text: string): boolean {
  return text.split(/\r?\n/).every(line => FIELD_LINE.test(line));
}

function eventId(text: string): number | undefined {
  const id = /^id: ?(\d+)/m.exec(text)?.[1];
  return id === undefined ? undefined : Number(id);
}

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let incomplete: Buffer = Buffer.alloc(0);
  let previousId: number | undefined;
  const faultOf = (text: string, id: number | undefined) => {
    if (!isEvent(text)) return 'text that is no event';
    if (id === undefined || previousId === undefined) return undefined;
    return id === previousId + 1
      ? undefined
      : `event id ${id} after ${previousId}`;
  };
  return {
    push: chunk => {
      const bytes =
        incomplete.length === 0 ? chunk : Buffer.concat([incomplete, chunk]);
      const text = bytes.toString('latin1');
      let end = 0;
      let firstId: number | undefined;
      let lastId: number | undefined;
      let fault: string | undefined;
      for (const {index, 0: blankLine} of text.matchAll(EVENT_END)) {
        const event = text.slice(end, index);
        const id = eventId(event);
        fault = faultOf(event, id);
        if (fault !== undefined) break;
        end = index + blankLine.length;
        firstId ??= id;
        lastId = id ?? lastId;
        previousId = id ?? previousId;
      }
      incomplete = bytes.subarray(end);
      if (end === 0 && fault === undefined) return undefined;
      return {bytes: bytes.subarray(0, end), firstId, lastId, fault};
    },
    get pendingBytes() {
      return incomplete.length;
    },
  };
}
