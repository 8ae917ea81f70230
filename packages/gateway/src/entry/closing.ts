/** Ends the connections of callers late in a planned stop. */
import type {RequestListener} from 'node:http';

/**
 * Wraps a request handler: while `isClosing` returns true, a connection ends with the answer in
 * progress. The head of an answer that began before the stop did not announce that, so the caller
 * may send another request on it, which is not handled: it might not be complete before the
 * process ends.
 */
export function closingAfterAnswers(
  handle: RequestListener,
  isClosing: () => boolean,
): RequestListener {
  return (incoming, response) => {
    const {socket} = incoming;
    if (socket.writableEnded) {
      // The answer before may still be on its way out.
      socket.destroySoon();
      return;
    }
    response.on('finish', () => {
      if (isClosing()) socket.end();
    });
    handle(incoming, response);
  };
}
