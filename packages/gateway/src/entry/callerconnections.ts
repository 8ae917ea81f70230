/** The connections of callers, so that a planned stop can close the idle ones. */
import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {readPendingInput} from '@balsamnotch/systems';
import {unparsedBytesOf} from './inputfeed.js';

/** The open connections of callers to one server. */
export interface CallerConnections {
  /** Closes the idle connections, after reading what has arrived there. */
  readonly closeIdle: () => void;
}

/** What is known of one connection. */
interface Connection {
  /** Number of requests whose answers have not been sent completely. */
  openAnswers: number;
  /** Bytes that had been read when the last answer and its request were complete. */
  answeredBytes: number;
}

/**
 * Follows the connections of a server. `http.Server.closeIdleConnections` would also close those
 * whose last answer has been handed over, but is still being sent.
 */
export function trackCallerConnections(server: http.Server): CallerConnections {
  const connections = new Map<Socket, Connection>();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, {openAnswers: 0, answeredBytes: 0});
    socket.on('close', () => connections.delete(socket));
  });
  server.on(
    'request',
    (incoming: IncomingMessage, response: ServerResponse) => {
      const {socket} = incoming;
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.openAnswers += 1;
      // The rest of a body may arrive after its answer.
      incoming.on('end', () => {
        connection.answeredBytes = socket.bytesRead;
      });
      response.on('close', () => {
        connection.openAnswers -= 1;
        connection.answeredBytes = socket.bytesRead;
      });
    },
  );
  const isIdle = (socket: Socket, connection: Connection) =>
    connection.openAnswers === 0 &&
    connection.answeredBytes === socket.bytesRead &&
    unparsedBytesOf(socket) === 0 &&
    socket.writableLength === 0;
  return {
    closeIdle: () => {
      for (const [socket, connection] of connections) {
        if (!isIdle(socket, connection)) continue;
        readPendingInput()
          .then(() => {
            if (isIdle(socket, connection)) socket.destroy();
          })
          .catch((error: Error) => socket.destroy(error));
      }
    },
  };
}
