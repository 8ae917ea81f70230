/** Connection to a target node: one HTTP/2 session, replaced when it stops answering. */
import {createClient, type Client} from '@connectrpc/connect';
import {
  createConnectTransport,
  type Http2SessionManager,
} from '@connectrpc/connect-node';
import * as wire from '@balsamnotch/wire';
import {GuardedSessionManager} from '../node/session.js';

/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 800;

/** Maximum size of a message from a target, in bytes. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Use of a connection to a target node by one request. */
export interface Session {
  readonly client: Client<typeof wire.Target>;
  /** Ends this use of the session. */
  release(): void;
  /** Excludes the session from new requests. */
  abandon(): void;
}

/** A session that concurrent requests share, with a count of its uses. */
class SharedSession {
  readonly manager: Http2SessionManager;
  readonly client: Client<typeof wire.Target>;
  private useCount = 0;
  private isAbandoned = false;
  private confirmation?: Promise<boolean>;

  constructor(url: string) {
    this.manager = new GuardedSessionManager(url);
    const transport = createConnectTransport({
      baseUrl: url,
      httpVersion: '2',
      sessionManager: this.manager,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    this.client = createClient(wire.Target, transport);
  }

  retain(): void {
    this.useCount++;
  }

  /**
   * Resolves to true once the target node has answered a probe on this session, or to
   * false if the probe fails. An open TCP connection is not enough: an intermediary may
   * have accepted it, and a call sent over it would have an unknown outcome.
   */
  confirm(limitMs: number): Promise<boolean> {
    this.confirmation ??= this.client.probe({}, {timeoutMs: limitMs}).then(
      () => true,
      () => false,
    );
    return this.confirmation;
  }

  release(): void {
    this.useCount--;
    this.closeWhenUnused();
  }

  /**
   * Whether the session may be used for a new request. False if a probe was sent on it and
   * its connection has since closed or failed.
   */
  get isUsable(): boolean {
    const state = this.manager.state();
    const hasEnded = state === 'closed' || state === 'error';
    return this.confirmation === undefined || !hasEnded;
  }

  /**
   * Excludes the session from new requests and closes it after its last use. Requests
   * that still read from it detect silence on their own.
   */
  abandon(): void {
    this.isAbandoned = true;
    this.closeWhenUnused();
  }

  private closeWhenUnused(): void {
    if (this.isAbandoned && this.useCount <= 0) this.manager.abort();
  }
}

/**
 * Opens the connection of a session, or verifies an idle one. Resolves to false on failure
 * or after `limitMs`.
 */
async function ensureOpen(
  session: SharedSession,
  limitMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<'error'>(resolve => {
    timer = setTimeout(() => resolve('error'), limitMs);
  });
  const state = await Promise.race([session.manager.connect(), timeout]);
  clearTimeout(timer);
  return state !== 'error';
}

/** Connects to a target node at a fixed address and keeps its session. */
export class Peer {
  private session: SharedSession | undefined;

  constructor(readonly address: string) {}

  /**
   * Opens a session or reuses the existing one. Resolves to undefined if the target node
   * does not answer a probe on it; nothing of the request has been sent in that case.
   */
  async connect(limitMs: number): Promise<Session | undefined> {
    // After its connection has ended, a session would open a new one that has not been
    // confirmed by a probe.
    if (this.session?.isUsable === false) this.abandon(this.session);
    const session = (this.session ??= new SharedSession(
      `http://${this.address}`,
    ));
    session.retain();
    const isOpen =
      (await ensureOpen(session, limitMs)) && (await session.confirm(limitMs));
    if (!isOpen) {
      this.abandon(session);
      session.release();
      return undefined;
    }
    let isReleased = false;
    return {
      client: session.client,
      release: () => {
        if (!isReleased) session.release();
        isReleased = true;
      },
      abandon: () => this.abandon(session),
    };
  }

  /** Closes the connection and aborts its requests. */
  close(): void {
    this.session?.manager.abort();
    this.session = undefined;
  }

  private abandon(session: SharedSession): void {
    if (this.session === session) this.session = undefined;
    session.abandon();
  }
}
