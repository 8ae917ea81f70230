/** Receives the body of a request from its begin on, whether or not the request has been started. */
import type {IncomingMessage} from 'node:http';
import {createBodyBlocks} from './body.js';

/** A body that is being received. */
export interface ReceivedBody {
  /**
   * Resolves to the body once it is whole, or to undefined once it is longer than `maxBytes`. Rejects if the
   * caller disconnects first. Does not settle once the body has been dropped.
   */
  readonly read: (maxBytes: number) => Promise<Buffer | undefined>;
  /** Drops what has been received, and what follows. */
  readonly drop: () => void;
}

/** Options of {@link receiveBody}. */
export interface ReceivedBodyOptions {
  /** Longest body, in bytes, whatever {@link ReceivedBody.read} allows. */
  readonly limitBytes: number;
  /** Called with the bytes of each piece, and with those of it that are kept. */
  readonly onPiece: (bytes: number, keptBytes: number) => void;
  /** Called once when the body is longer than `limitBytes`. */
  readonly onTooLong: () => void;
  /** Called each time the body is read or dropped. */
  readonly onWanted: () => void;
}

/**
 * Begins to receive the body of a request that has just been read. Until then Node.js would keep each
 * piece as an object of its own, of which one read can bring some ten thousand.
 */
export function receiveBody(
  incoming: IncomingMessage,
  {limitBytes, onPiece, onTooLong, onWanted}: ReceivedBodyOptions,
): ReceivedBody {
  const blocks = createBodyBlocks();
  let receivedBytes = 0;
  let maxBytes = limitBytes;
  let isDropped = false;
  let isWhole = false;
  let failure: Error | undefined;
  /** Settles the promise of the reader, if there is one and all is known. */
  let settle: () => void = () => undefined;
  const drop = () => {
    isDropped = true;
    blocks.clear();
  };
  const fail = (error: Error) => {
    // A whole body waits for its reader also when the stream is closed.
    if (isWhole) return;
    failure ??= error;
    blocks.clear();
    settle();
  };
  incoming.on('data', (piece: Buffer) => {
    const wasWithinLimit = receivedBytes <= limitBytes;
    receivedBytes += piece.length;
    if (receivedBytes > maxBytes) {
      drop();
      settle();
    }
    if (!isDropped) blocks.add(piece);
    onPiece(piece.length, isDropped ? 0 : piece.length);
    if (wasWithinLimit && receivedBytes > limitBytes) onTooLong();
  });
  incoming.on('end', () => {
    isWhole = true;
    settle();
  });
  incoming.on('error', fail);
  incoming.on('close', () => fail(new Error('caller disconnected')));
  // Pieces are emitted in the turn in which they are parsed only once the stream has been read.
  incoming.read(0);
  return {
    read: limit =>
      new Promise((resolve, reject) => {
        maxBytes = Math.min(limit, limitBytes);
        settle = () => {
          if (receivedBytes > maxBytes) resolve(undefined);
          else if (isDropped) return;
          else if (isWhole) resolve(blocks.concat());
          else if (failure !== undefined) reject(failure);
        };
        settle();
        onWanted();
      }),
    drop: () => {
      drop();
      onWanted();
    },
  };
}
