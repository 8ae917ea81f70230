/** Writes the answer to a caller. */
import type {ServerResponse} from 'node:http';
import {
  createAnswerMemory,
  type AnswerMemory,
  type BufferedAnswer,
} from './answermemory.js';
import type {TargetAnswer} from './attempt.js';
import type {ForwardProtocol} from './protocol.js';
import {HTTP_STATUS} from './status.js';

/**
 * Answer to one request, sent at once or streamed. Every answer has a length or chunks, whatever
 * the target's answer has: the system closes the connections of a process that dies as if their
 * answers were complete.
 */
export interface Reply {
  /** Returns whether the answer has begun. */
  readonly isStarted: () => boolean;
  /** Resolves to whether the caller still reads the answer, see {@link CallerPresence}. */
  readonly isCallerPresent: () => Promise<boolean>;
  /** Sends a complete answer; has no effect after the answer has begun. */
  readonly send: (answer: TargetAnswer) => void;
  /**
   * Begins a streamed answer. A caller that cannot read chunks (HTTP/1.0) gets it when it is
   * complete, since only a length can show that caller a truncation.
   */
  readonly startStream: (head: TargetAnswer) => void;
  /** Writes a chunk of a streamed answer. Returns false if the caller's connection is congested. */
  readonly write: (chunk: Buffer) => boolean;
  /**
   * Discards a streamed answer of which nothing has been sent, so that another one can be sent.
   * Has no effect on others.
   */
  readonly discardHeld: () => void;
  /** Ends a streamed answer as complete. */
  readonly end: () => void;
  /**
   * Closes the connection without ending the answer, so the caller can detect the
   * truncation. The reason is for logs. Has no effect after the answer has ended.
   */
  readonly abort: (reason: string) => void;
}

/**
 * Creates an answer without a body that the entry sends itself. `retryAfterMs` is
 * in milliseconds.
 */
export function emptyAnswer(
  protocol: ForwardProtocol,
  requestId: string,
  status: number,
  retryAfterMs?: number,
): TargetAnswer {
  return {
    status,
    rawHeaders: protocol.entryAnswerHeaders(requestId, retryAfterMs),
    body: [],
    isFramed: true,
  };
}

/** Options of {@link createReply}. */
export interface ReplyOptions {
  readonly isCallerPresent?: () => Promise<boolean>;
  /** Returns whether the connection must close after this answer. */
  readonly isLastOnConnection?: () => boolean;
  /** Called with the reason before an answer is aborted. */
  readonly onAbort?: (reason: string) => void;
  /** Memory accounting of streamed answers that are sent when they are complete. */
  readonly memory?: AnswerMemory;
}

/** Returns whether answers with the status have a body; Node.js writes none for the others. */
function hasBody(status: number): boolean {
  return status !== HTTP_STATUS.noContent && status !== HTTP_STATUS.notModified;
}

/** Creates a reply that writes to a Node.js response. */
export function createReply(
  response: ServerResponse,
  {
    isCallerPresent = () => Promise.resolve(true),
    isLastOnConnection = () => false,
    onAbort = () => undefined,
    memory = createAnswerMemory(),
  }: ReplyOptions = {},
): Reply {
  /** Head of a streamed answer for a caller that cannot read chunks. */
  let heldHead: TargetAnswer | undefined;
  const heldChunks: Buffer[] = [];
  const isDone = () => response.writableEnded || response.destroyed;
  const writeHead = (answer: TargetAnswer, bodyBytes: number | undefined) => {
    response.sendDate = false;
    const headers = [...answer.rawHeaders];
    if (bodyBytes !== undefined && hasBody(answer.status)) {
      headers.push('Content-Length', String(bodyBytes));
    }
    if (isLastOnConnection()) headers.push('Connection', 'close');
    response.writeHead(answer.status, headers);
  };
  const sendWhole = (answer: TargetAnswer) => {
    memory.release(heldAnswer);
    const {body} = answer;
    const bodyBytes = body.reduce((sum, {length}) => sum + length, 0);
    writeHead(answer, bodyBytes);
    // Not as one buffer, which would take as much memory again.
    for (const piece of body.slice(0, -1)) response.write(piece);
    response.end(body.at(-1));
  };
  const abort = (reason: string) => {
    if (response.writableEnded) return;
    onAbort(reason);
    // A regular end could be taken for that of an answer without a length or chunks.
    if (response.chunkedEncoding) response.socket?.destroy();
    else response.socket?.resetAndDestroy();
  };
  const heldAnswer: BufferedAnswer = {
    abandon: () => abort('buffered answers exceed the memory limit'),
  };
  return {
    isStarted: () => response.headersSent || heldHead !== undefined,
    isCallerPresent,
    send: answer => {
      if (isDone() || response.headersSent || heldHead !== undefined) return;
      sendWhole(answer);
    },
    startStream: head => {
      if (isDone() || response.headersSent) return;
      if (response.useChunkedEncodingByDefault) {
        writeHead(head, undefined);
      } else if (heldHead === undefined) {
        heldHead = head;
        response.on('close', () => memory.release(heldAnswer));
      }
    },
    write: chunk => {
      if (isDone()) return true;
      if (heldHead === undefined) return response.write(chunk);
      heldChunks.push(chunk);
      memory.add(heldAnswer, chunk.length);
      return true;
    },
    discardHeld: () => {
      if (isDone()) return;
      memory.release(heldAnswer);
      heldHead = undefined;
      heldChunks.length = 0;
    },
    end: () => {
      if (isDone()) return;
      if (heldHead === undefined) response.end();
      else sendWhole({...heldHead, body: [...heldChunks]});
    },
    abort,
  };
}
