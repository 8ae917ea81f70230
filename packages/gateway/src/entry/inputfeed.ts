/** Gives the input of a caller's connection to the parser of its server in slices. */
import type {Socket} from 'node:net';
import {FIRST_SLICE_BYTES, nextSliceBytes} from '@balsamnotch/core';

/** End of the head of a request. */
const HEAD_END = '\r\n\r\n';

/** The input of a connection. */
export interface InputFeed {
  /** Input that has been read and not been parsed, in bytes. */
  readonly unparsedBytes: () => number;
  /** Longest time for which what is being parsed, or is unparsed, has waited since it was read, in milliseconds. */
  readonly waitedMs: () => number;
  /** Parses nothing after the slice in progress, and reads nothing, until {@link InputFeed.resume}. */
  readonly hold: () => void;
  readonly resume: () => void;
  /** Drops what has been read, and reads nothing any more. */
  readonly drop: () => void;
}

/** Options of {@link createInputFeed}. */
export interface InputFeedOptions {
  /** Returns how many requests and pieces of bodies have been parsed. */
  readonly parts: () => number;
  /** Called after each slice; {@link InputFeed.hold} may be called there. */
  readonly onSlice: () => void;
}

/** A connection whose server has attached its parser; Node.js declares neither. */
type ParsedSocket = Socket & {
  /** Null once Node.js no longer parses the connection. */
  readonly parser?: object | null;
};

type Listener = (this: Socket, ...values: readonly unknown[]) => void;

/** Removes the listeners of an event of a connection, and returns them. */
function takeListeners(socket: Socket, event: string): readonly Listener[] {
  const listeners = socket.listeners(event) as Listener[];
  socket.removeAllListeners(event);
  return listeners;
}

const feeds = new WeakMap<Socket, InputFeed>();

/** Returns {@link InputFeed.unparsedBytes} of a connection; 0 if its input is not given in slices. */
export function unparsedBytesOf(socket: Socket): number {
  return feeds.get(socket)?.unparsedBytes() ?? 0;
}

/** Returns {@link InputFeed.waitedMs} of a connection; 0 if its input is not given in slices. */
export function inputWaitOf(socket: Socket): number {
  return feeds.get(socket)?.waitedMs() ?? 0;
}

/** Returns the end of a slice: that of its last whole head, so that a connection rarely waits within a head. */
function sliceEnd(input: Buffer, bytes: number): number {
  if (input.length <= bytes) return input.length;
  const headEnd = input.lastIndexOf(HEAD_END, bytes - HEAD_END.length);
  return headEnd < 0 ? bytes : headEnd + HEAD_END.length;
}

/**
 * Takes the place of a server's own listener for the input of a new connection. To be called when
 * the server emits the connection. Input that is not larger than the first slice is parsed in the
 * turn in which it is read, as without it. Bodies have to be read from the turn of their request on:
 * Node.js pauses a connection for one that is not, and does not resume it once its caller has ended.
 */
export function createInputFeed(
  socket: Socket,
  {parts, onSlice}: InputFeedOptions,
): InputFeed {
  const [parse] = takeListeners(socket, 'data');
  if (parse === undefined) throw new Error('the connection has no parser');
  const endListeners = takeListeners(socket, 'end');
  let input: Buffer = Buffer.alloc(0);
  let readAtMs = 0;
  let isHeld = false;
  let isDropped = false;
  let isParsing = false;
  /** Whether its caller has ended its half, and the server does not know yet. */
  let isEnded = false;
  /** Whether the connection is paused for a reason of its own, such as answers that its caller does not read. */
  let isPausedByServer = false;
  /** Whether Node.js no longer parses the connection; its parser may serve another one by now. */
  const isDetached = () => (socket as ParsedSocket).parser === null;
  const isClosed = () => isDropped || socket.destroyed || isDetached();
  const mayParse = () =>
    input.length > 0 && !isHeld && !isPausedByServer && !isClosed();
  const parseSlices = () => {
    let bytes = FIRST_SLICE_BYTES;
    while (mayParse()) {
      const end = sliceEnd(input, bytes);
      const slice = input.subarray(0, end);
      input = input.subarray(end);
      const partsBefore = parts();
      // The listener of the server parses the slice before it returns.
      parse.call(socket, slice);
      isPausedByServer = socket.isPaused();
      onSlice();
      bytes = nextSliceBytes({bytes: end, parts: parts() - partsBefore});
    }
  };
  const compact = () => {
    if (isClosed()) input = Buffer.alloc(0);
    // A view keeps all that was read with it.
    else if (input.length < input.buffer.byteLength / 2) {
      input = Buffer.from(input);
    }
  };
  /** Ends the input for the server, once all that was read before the end has been parsed. */
  const endParsed = () => {
    if (!isEnded || input.length > 0) return;
    isEnded = false;
    if (isDetached()) return;
    for (const listener of endListeners) listener.call(socket);
  };
  const parseOn = () => {
    if (isParsing) return;
    isParsing = true;
    try {
      // The server's listener expects a connection that is not paused.
      if (mayParse() && socket.isPaused()) socket.resume();
      parseSlices();
    } finally {
      isParsing = false;
      compact();
    }
    if (isDropped || isHeld || input.length > 0) socket.pause();
    else if (!isPausedByServer && socket.isPaused()) socket.resume();
    endParsed();
  };
  socket.on('data', (data: Buffer) => {
    if (isDropped) return;
    if (input.length === 0) readAtMs = performance.now();
    input = input.length === 0 ? data : Buffer.concat([input, data]);
    parseOn();
  });
  socket.on('end', () => {
    isEnded = true;
    endParsed();
  });
  socket.on('close', () => {
    input = Buffer.alloc(0);
  });
  // Node.js resumes a connection after answers and bodies.
  socket.on('resume', () => {
    // It was paused again before the event was emitted.
    if (socket.isPaused()) return;
    isPausedByServer = false;
    if (isDropped || isHeld) socket.pause();
    else if (input.length > 0) parseOn();
  });
  const feed: InputFeed = {
    unparsedBytes: () => input.length + socket.readableLength,
    waitedMs: () =>
      isParsing || input.length > 0 ? performance.now() - readAtMs : 0,
    hold: () => {
      isHeld = true;
      if (!isParsing) socket.pause();
    },
    resume: () => {
      if (!isHeld) return;
      isHeld = false;
      parseOn();
    },
    drop: () => {
      isDropped = true;
      if (!isParsing) input = Buffer.alloc(0);
      socket.pause();
    },
  };
  feeds.set(socket, feed);
  return feed;
}
