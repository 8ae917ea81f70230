/** Idle time of callers' connections. */
import type http from 'node:http';

/**
 * Keeps the connections of a server open for the idle time that their last answer has stated. Node.js
 * states the time that is set when a request arrives, and applies the one that is set when its
 * answer ends, which a change may have shortened meanwhile.
 */
export function keepStatedIdleTime(server: http.Server): void {
  server.on('request', ({socket}, response) => {
    const statedMs = server.keepAliveTimeout;
    // Node.js has set the time-out of a connection that becomes idle when `finish` is emitted.
    response.on('finish', () => {
      const shortenedMs = statedMs - server.keepAliveTimeout;
      if (!socket.timeout || shortenedMs <= 0) return;
      socket.setTimeout(socket.timeout + shortenedMs);
    });
  });
}
