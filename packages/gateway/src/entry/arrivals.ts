/** When the requests of callers can have arrived at the earliest. */
import type http from 'node:http';
import type {Socket} from 'node:net';
import type {InputAge} from '@balsamnotch/daemon';
import {inputWaitOf} from './inputfeed.js';

/** Requests of one server for callers. */
export interface Arrivals {
  /** Returns the longest time for which a request that has just been read can have waited, in milliseconds. */
  readonly longestWaitMs: (socket: Socket) => number;
}

/** A connection without a request yet. */
interface NewConnection {
  /** Longest time that it can have waited to be accepted, in milliseconds. */
  readonly waitMs: number;
  /** Monotonic time at which it was accepted, in milliseconds. */
  readonly acceptedAtMs: number;
}

/**
 * Follows the connections of a server. The first request of a connection may have arrived before the
 * connection was accepted, unless it is read long after that.
 */
export function followArrivals(
  server: http.Server,
  inputAge: Pick<InputAge, 'longestWaitMs'>,
  monotonicMs: () => number,
): Arrivals {
  const newConnections = new WeakMap<Socket, NewConnection>();
  server.on('connection', (socket: Socket) => {
    const waitMs = inputAge.longestWaitMs();
    newConnections.set(socket, {waitMs, acceptedAtMs: monotonicMs()});
  });
  return {
    longestWaitMs: socket => {
      const inputMs = Math.max(inputAge.longestWaitMs(), inputWaitOf(socket));
      const connection = newConnections.get(socket);
      newConnections.delete(socket);
      if (connection === undefined) return inputMs;
      const sinceAcceptedMs = monotonicMs() - connection.acceptedAtMs;
      // Its socket had been read before, and was empty.
      if (sinceAcceptedMs > inputMs) return inputMs;
      return connection.waitMs + sinceAcceptedMs;
    },
  };
}
