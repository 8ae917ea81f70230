/** The answer to one caller. */
import type {ServerResponse} from 'node:http';
import type {TargetAnswer} from './attempt.js';
import type {ForwardProtocol} from './protocol.js';

/** Answer that is written once, or streamed. */
export interface Reply {
  /** The head was written. */
  readonly isStarted: () => boolean;
  readonly whole: (answer: TargetAnswer) => void;
  /** Writes the head of a stream. */
  readonly start: (head: TargetAnswer) => void;
  /** Writes a part of a stream; returns false when the caller cannot take more for now. */
  readonly part: (bytes: Buffer) => boolean;
  readonly end: () => void;
  /** Closes the connection, so that an answer cut short does not look whole. */
  readonly cut: () => void;
}

/** Answer that the entry gives itself. */
export function ownAnswer(
  protocol: ForwardProtocol,
  requestId: string,
  status: number,
  retryAfterMs?: number,
): TargetAnswer {
  return {
    status,
    rawHeaders: protocol.ownHeaders(requestId, retryAfterMs),
    body: Buffer.alloc(0),
    isFramed: true,
  };
}

/** Options of {@link createReply}. */
export interface ReplyOptions {
  /** Tells whether the connection is to be closed after this answer. */
  readonly isLast?: () => boolean;
}

/** Creates the reply over Node's response. */
export function createReply(
  response: ServerResponse,
  {isLast = () => false}: ReplyOptions = {},
): Reply {
  let isFramed = true;
  const writeHead = (answer: TargetAnswer, length: number | undefined) => {
    response.sendDate = false;
    const headers = [...answer.rawHeaders];
    isFramed = answer.isFramed;
    if (!isFramed) response.useChunkedEncodingByDefault = false;
    else if (length !== undefined) {
      headers.push('Content-Length', String(length));
    }
    if (isLast() || !isFramed) headers.push('Connection', 'close');
    response.writeHead(answer.status, headers);
  };
  const isDone = () => response.writableEnded || response.destroyed;
  return {
    isStarted: () => response.headersSent,
    whole: answer => {
      if (isDone() || response.headersSent) return;
      writeHead(answer, answer.body.length);
      response.end(answer.body);
    },
    start: head => {
      if (!isDone() && !response.headersSent) writeHead(head, undefined);
    },
    part: bytes => isDone() || response.write(bytes),
    end: () => {
      if (!isDone()) response.end();
    },
    cut: () => {
      // Only a reset tells a cut from the end of an answer that ends with its connection.
      if (isFramed) response.socket?.destroy();
      else response.socket?.resetAndDestroy();
    },
  };
}
