/** Handles the requests of a caller's connection in turn, and ends connections in a planned stop. */
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Handles a request that has waited to be read, and for its turn, for `waitedMs` milliseconds. */
export type TurnListener = (
  incoming: IncomingMessage,
  response: ServerResponse,
  waitedMs: number,
) => void;

/**
 * Wraps a request handler: a request that arrives before the answer to the one before on its
 * connection is complete is handled after it. It is not handled if the connection ends with that
 * answer, because it could not be answered any more.
 *
 * While `isClosing` returns true, a connection ends with the answer in progress. The head of an
 * answer that began before the stop did not announce that, so the caller may send another request
 * on it, which is not handled: it might not be complete before the process ends.
 *
 * `longestWaitMs` returns the time for which a request that has just been read can have waited, in
 * milliseconds.
 */
export function closingAfterAnswers(
  handle: TurnListener,
  isClosing: () => boolean,
  longestWaitMs: (socket: Socket) => number = () => 0,
): RequestListener {
  /** Response to the last request of each connection. */
  const lastResponses = new WeakMap<Socket, ServerResponse>();
  return (incoming, response) => {
    const {socket} = incoming;
    const arrivedAtMs = performance.now() - longestWaitMs(socket);
    const start = () => {
      if (socket.writableEnded || socket.destroyed) {
        // The answer before may still be on its way out.
        socket.destroySoon();
        return;
      }
      response.on('finish', () => {
        if (isClosing()) socket.end();
      });
      handle(incoming, response, performance.now() - arrivedAtMs);
    };
    const previous = lastResponses.get(socket);
    lastResponses.set(socket, response);
    // Node.js ends the connection with a last answer between its `finish` and `close` events.
    if (previous === undefined || previous.closed) start();
    else previous.once('close', start);
  };
}
