/** Kept connections to one target. A connection that shows anything unexpected is closed. */
import http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {
  NO_RESET,
  afterIdleReset,
  usableIdleMs,
  type IdleTime,
} from '@balsamnotch/core';

/** Idle time of connections to the targets of one service, which mostly drop them alike. */
export class IdleTimes {
  private known: IdleTime = NO_RESET;

  constructor(
    readonly now: () => number,
    /** Called when the connection that was reset had been idle for the time, in milliseconds. */
    private readonly onReset: (idleMs: number) => void = () => undefined,
  ) {}

  usableMs(statedMs: number): number {
    return usableIdleMs(this.known, statedMs, this.now());
  }

  wasReset(idleMs: number): void {
    this.known = afterIdleReset(this.known, idleMs, this.now());
    this.onReset(idleMs);
  }
}

/** A connection that no request uses. */
interface IdleSocket {
  readonly sinceMs: number;
  /** Ends the watch over it. */
  readonly end: () => void;
}

/** Agent whose idle connections close on any byte and well before the target closes them. */
export class TargetConnections extends http.Agent {
  /** Idle time that the target states, in milliseconds; 0 before it does. */
  private statedMs = 0;
  private readonly idle = new WeakMap<Duplex, IdleSocket>();

  constructor(
    maxSockets: number,
    private readonly idleTimes: IdleTimes,
  ) {
    super({keepAlive: true, maxSockets, scheduling: 'lifo', noDelay: true});
  }

  /** Takes over the idle time that an answer states. */
  noteIdleTime(idleMs: number): void {
    if (idleMs > 0) this.statedMs = idleMs;
  }

  /** Called by `http` when a request is done with the connection. */
  override keepSocketAlive(socket: Duplex): boolean {
    // Typed as void, though it tells whether the connection may be kept.
    const isKept: unknown = super.keepSocketAlive(socket);
    if (isKept === false) return false;
    const close = () => socket.destroy();
    // Bytes without a request in progress belong to no request.
    socket.once('data', close);
    const timer = setTimeout(close, this.idleTimes.usableMs(this.statedMs));
    timer.unref();
    const end = () => {
      clearTimeout(timer);
      socket.removeListener('data', close);
      socket.removeListener('close', end);
    };
    socket.once('close', end);
    this.idle.set(socket, {sinceMs: this.idleTimes.now(), end});
    return true;
  }

  /** Called by `http` when a request takes a kept connection. */
  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    super.reuseSocket(socket, request);
    const idle = this.idle.get(socket);
    if (idle === undefined) return;
    idle.end();
    const idleMs = this.idleTimes.now() - idle.sinceMs;
    const {bytesRead} = socket as Socket;
    const failed = (error: NodeJS.ErrnoException) => {
      // A target that breaks off within an answer says nothing about idle connections.
      const isUnread = (socket as Socket).bytesRead === bytesRead;
      if (error.code !== 'ECONNRESET' || !isUnread) return;
      this.idleTimes.wasReset(idleMs);
      this.closeIdle();
    };
    socket.once('error', failed);
    request.once('response', () => socket.removeListener('error', failed));
  }

  /** Closes the connections that no request uses. */
  closeIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}
