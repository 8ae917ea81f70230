/** Closes callers' connections that have been idle for too long. */
import type http from 'node:http';
import {readPendingInput} from '@balsamnotch/systems';
import {unparsedBytesOf} from './inputfeed.js';

/**
 * Lets a server close an idle connection only after it has read what has arrived there. Node.js runs
 * timers before it reads, so an entry that is late would close a connection on which a request
 * has waited since before its idle time was over.
 */
export function readBeforeIdleClose(server: http.Server): void {
  server.on('timeout', socket => {
    const {bytesRead} = socket;
    readPendingInput()
      .then(() => {
        // Requests that have been read wait for their turn to be parsed.
        if (unparsedBytesOf(socket) > 0) return;
        if (socket.bytesRead === bytesRead) socket.destroy();
      })
      .catch((error: Error) => socket.destroy(error));
  });
}
