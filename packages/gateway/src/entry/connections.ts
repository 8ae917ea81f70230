/** Keep-alive connections to a target. An idle connection that receives data is closed. */
import http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {
  NO_IDLE_RESET,
  afterIdleReset,
  usableIdleMs,
  type IdleTime,
} from '@balsamnotch/core';

/**
 * Time for which idle connections to the targets of a service stay usable. It is
 * shared because the targets of a service mostly have the same idle timeout.
 */
export class IdleTimes {
  private idleTime: IdleTime = NO_IDLE_RESET;

  constructor(
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number,
    /**
     * Called after a reset with the time for which the connection had been idle,
     * in milliseconds.
     */
    private readonly onReset: (idleMs: number) => void = () => undefined,
  ) {}

  /**
   * Time for which a connection may stay idle before it is closed, in milliseconds.
   * `statedIdleMs` is the target's stated idle timeout, 0 if unknown.
   */
  usableMs(statedIdleMs: number): number {
    return usableIdleMs(this.idleTime, statedIdleMs, this.now());
  }

  /** Records that a connection was reset on reuse after `idleMs` without a request. */
  recordReset(idleMs: number): void {
    this.idleTime = afterIdleReset(this.idleTime, idleMs, this.now());
    this.onReset(idleMs);
  }
}

/** State of a connection that no request uses. */
interface IdleSocket {
  /** Monotonic time at which the connection became idle, in milliseconds. */
  readonly idleSinceMs: number;
  /** Removes the listeners and the timer for the idle state. */
  readonly stopWatching: () => void;
}

/**
 * HTTP agent that closes idle connections when they receive data, and well before
 * the target would close them.
 */
export class TargetConnections extends http.Agent {
  /** Idle timeout that the target states, in milliseconds; 0 if unknown. */
  private statedIdleMs = 0;
  private readonly idleSockets = new WeakMap<Duplex, IdleSocket>();
  /** Whether connections are kept for further requests. */
  private keepsIdle = true;

  constructor(
    maxSockets: number,
    private readonly idleTimes: IdleTimes,
  ) {
    super({keepAlive: true, maxSockets, scheduling: 'lifo', noDelay: true});
  }

  /** Updates the idle timeout from an answer; 0 leaves it unchanged. */
  setStatedIdleTime(idleMs: number): void {
    if (idleMs > 0) this.statedIdleMs = idleMs;
  }

  /** Called by `http` when a request has finished using the connection. */
  override keepSocketAlive(socket: Duplex): boolean {
    if (!this.keepsIdle) return false;
    // Node.js returns false if the connection may not be kept, although its types declare void.
    const isKept: unknown = super.keepSocketAlive(socket);
    if (isKept === false) return false;
    const close = () => socket.destroy();
    // Data that arrives between requests cannot be attributed to any request.
    socket.once('data', close);
    const timer = setTimeout(close, this.idleTimes.usableMs(this.statedIdleMs));
    timer.unref();
    const stopWatching = () => {
      clearTimeout(timer);
      socket.removeListener('data', close);
      socket.removeListener('close', stopWatching);
    };
    socket.once('close', stopWatching);
    this.idleSockets.set(socket, {
      idleSinceMs: this.idleTimes.now(),
      stopWatching,
    });
    return true;
  }

  /** Called by `http` when a request reuses an idle connection. */
  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    super.reuseSocket(socket, request);
    const idle = this.idleSockets.get(socket);
    if (idle === undefined) return;
    idle.stopWatching();
    const idleMs = this.idleTimes.now() - idle.idleSinceMs;
    const {bytesRead} = socket as Socket;
    const handleError = (error: NodeJS.ErrnoException) => {
      // A reset after part of an answer is unrelated to the idle timeout.
      const hasReadNothing = (socket as Socket).bytesRead === bytesRead;
      if (error.code !== 'ECONNRESET' || !hasReadNothing) return;
      this.idleTimes.recordReset(idleMs);
      this.closeIdle();
    };
    socket.once('error', handleError);
    request.once('response', () => socket.removeListener('error', handleError));
  }

  /** Sets whether connections are kept for further requests; if not, closes the idle ones. */
  setKeepsIdle(keepsIdle: boolean): void {
    this.keepsIdle = keepsIdle;
    if (!keepsIdle) this.closeIdle();
  }

  /** Closes all idle connections. */
  closeIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}
