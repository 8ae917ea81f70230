/** Answers input of callers that is not a valid HTTP request. */
import http, {type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {GatewayMetrics} from '../node/metrics.js';
import {UNANSWERED_CAUSE, type OpenAnswers} from './openanswers.js';
import {HTTP_STATUS} from './status.js';

/** Status of the answer by the code of the error; other errors get {@link HTTP_STATUS.badRequest}. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: HTTP_STATUS.headersTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: HTTP_STATUS.requestTimeout,
};

/** Closes the connections of callers that send no request that the entry can handle. */
export interface InvalidInputHandler {
  /** Handles a `clientError` event of the server. */
  readonly handleError: (error: NodeJS.ErrnoException, socket: Socket) => void;
  /** Handles a `connect` event of the server, after which Node.js no longer reads the connection. */
  readonly handleConnect: (request: IncomingMessage, socket: Duplex) => void;
}

/**
 * Creates the handler of input that is not a request to forward. It answers the first invalid input
 * of a connection, after the whole requests before it, and then closes the connection.
 */
export function createInvalidInputHandler(
  openAnswers: Pick<OpenAnswers, 'pendingOf' | 'recordClose'>,
  metrics: GatewayMetrics,
): InvalidInputHandler {
  // Node.js reports an error for each further piece of invalid input.
  const answered = new WeakSet<Socket>();
  const answerLast = (socket: Socket, status: number, detail: string) => {
    if (answered.has(socket)) return;
    answered.add(socket);
    metrics.count('client_error', String(status));
    openAnswers.recordClose(socket, UNANSWERED_CAUSE.invalidInput, detail);
    const answer = `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
    const endAfterPending = () => {
      const pending = openAnswers.pendingOf(socket);
      if (pending !== undefined) pending.once('close', endAfterPending);
      else if (socket.writable) socket.end(answer);
    };
    endAfterPending();
  };
  return {
    handleError: (error, socket) => {
      if (error.code === 'ECONNRESET' || !socket.writable) {
        socket.destroy();
        return;
      }
      const status = STATUS_BY_CODE[error.code ?? ''] ?? HTTP_STATUS.badRequest;
      answerLast(socket, status, error.code ?? error.message);
    },
    handleConnect: (_request, stream) => {
      const socket = stream as Socket;
      // Node.js has removed its own listeners.
      socket.on('error', () => socket.destroy());
      socket.resume();
      answerLast(socket, HTTP_STATUS.notImplemented, 'CONNECT');
    },
  };
}
