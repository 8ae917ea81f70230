/** Kept connections to one target. A connection that shows anything unexpected is closed. */
import http from 'node:http';
import type {Duplex} from 'node:stream';

/** Idle time after which a connection is closed when the target states none, in milliseconds. */
const IDLE_MS = 4_000;

/** Part of the stated idle time for which a connection is used, so that no request crosses the close. */
const IDLE_SHARE = 0.6;

/** Agent whose idle connections close on any byte and well before the target closes them. */
export class TargetConnections extends http.Agent {
  /** Idle time that the target states, in milliseconds. */
  private idleMs = IDLE_MS;
  /** Ends the watch over an idle connection. */
  private readonly idleWatches = new WeakMap<Duplex, () => void>();

  constructor(maxSockets: number) {
    super({keepAlive: true, maxSockets, scheduling: 'lifo', noDelay: true});
  }

  /** Takes over the idle time that an answer states. */
  noteIdleTime(idleMs: number): void {
    if (idleMs > 0) this.idleMs = idleMs;
  }

  /** Called by `http` when a request is done with the connection. */
  override keepSocketAlive(socket: Duplex): boolean {
    // Typed as void, though it tells whether the connection may be kept.
    const isKept: unknown = super.keepSocketAlive(socket);
    if (isKept === false) return false;
    const close = () => socket.destroy();
    // Bytes without a request in progress belong to no request.
    socket.once('data', close);
    const timer = setTimeout(close, this.idleMs * IDLE_SHARE);
    timer.unref();
    const end = () => {
      clearTimeout(timer);
      socket.removeListener('data', close);
      socket.removeListener('close', end);
    };
    socket.once('close', end);
    this.idleWatches.set(socket, end);
    return true;
  }

  /** Called by `http` when a request takes a kept connection. */
  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    super.reuseSocket(socket, request);
    this.idleWatches.get(socket)?.();
  }

  /** Closes the connections that no request uses. */
  closeIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}
