/** Connections to one target node: one HTTP/2 session that is replaced when it is silent. */
import type {ClientHttp2Session, ClientHttp2Stream} from 'node:http2';
import {createClient, type Client} from '@connectrpc/connect';
import {
  Http2SessionManager,
  createConnectTransport,
} from '@connectrpc/connect-node';
import * as wire from '@balsamnotch/wire';

/** Time for a connection to open, in milliseconds. */
export const CONNECT_MS = 800;

/** Largest message that is accepted from a target, in bytes. */
const MESSAGE_BYTES = 16 * 1024 * 1024;

/** One session with its open requests. */
export interface Session {
  readonly client: Client<typeof wire.Target>;
  /** Ends the use of the session by one request. */
  release(): void;
  /** Takes the session out of use for new requests. */
  abandon(): void;
}

/**
 * A session manager whose sessions cannot end the process. When a target says
 * GOAWAY, the manager destroys the session with an error. If a request comes
 * before that error is emitted, the manager opens another session and takes
 * its listeners off the old one, and an error without listener is uncaught.
 */
class GuardedSessionManager extends Http2SessionManager {
  private readonly guarded = new WeakSet<ClientHttp2Session>();

  override async request(
    ...parameters: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...parameters);
    const session = stream.session as ClientHttp2Session | undefined;
    if (session !== undefined && !this.guarded.has(session)) {
      this.guarded.add(session);
      session.on('error', () => undefined);
    }
    return stream;
  }
}

/** A session that may serve several requests at once. */
class SharedSession {
  readonly manager: Http2SessionManager;
  readonly client: Client<typeof wire.Target>;
  private uses = 0;
  private abandoned = false;
  private confirmed?: Promise<boolean>;

  constructor(url: string) {
    this.manager = new GuardedSessionManager(url);
    const transport = createConnectTransport({
      baseUrl: url,
      httpVersion: '2',
      sessionManager: this.manager,
      readMaxBytes: MESSAGE_BYTES,
    });
    this.client = createClient(wire.Target, transport);
  }

  use(): void {
    this.uses++;
  }

  /**
   * Resolves to true once the target node has answered on this session. An
   * open TCP connection is not enough: something between may have accepted it,
   * and a call that is sent then has an unknown outcome.
   */
  confirm(limitMs: number): Promise<boolean> {
    this.confirmed ??= this.client.probe({}, {timeoutMs: limitMs}).then(
      () => true,
      () => false,
    );
    return this.confirmed;
  }

  release(): void {
    this.uses--;
    this.closeWhenUnused();
  }

  /** False once a connection that was open has ended. */
  get isUsable(): boolean {
    const state = this.manager.state();
    const hasEnded = state === 'closed' || state === 'error';
    return this.confirmed === undefined || !hasEnded;
  }

  /** Requests that still read from the session supervise it themselves. */
  abandon(): void {
    this.abandoned = true;
    this.closeWhenUnused();
  }

  private closeWhenUnused(): void {
    if (this.abandoned && this.uses <= 0) this.manager.abort();
  }
}

/** Opens the connection of a session, or checks one that was idle; false after the limit. */
async function opens(
  session: SharedSession,
  limitMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<'error'>(resolve => {
    timer = setTimeout(() => resolve('error'), limitMs);
  });
  const state = await Promise.race([session.manager.connect(), late]);
  clearTimeout(timer);
  return state !== 'error';
}

/** A target node's address with its session. */
export class Peer {
  private session: SharedSession | undefined;

  constructor(readonly address: string) {}

  /**
   * Opens the session if there is none. Returns undefined when the target node
   * does not answer on it; nothing of the request was sent then.
   */
  async connect(limitMs: number): Promise<Session | undefined> {
    // The manager would open another connection, on which nothing is confirmed.
    if (this.session?.isUsable === false) this.abandon(this.session);
    const session = (this.session ??= new SharedSession(
      `http://${this.address}`,
    ));
    session.use();
    const isOpen =
      (await opens(session, limitMs)) && (await session.confirm(limitMs));
    if (!isOpen) {
      this.abandon(session);
      session.release();
      return undefined;
    }
    let released = false;
    return {
      client: session.client,
      release: () => {
        if (!released) session.release();
        released = true;
      },
      abandon: () => this.abandon(session),
    };
  }

  /** Ends all connections. */
  close(): void {
    this.session?.manager.abort();
    this.session = undefined;
  }

  private abandon(session: SharedSession): void {
    if (this.session === session) this.session = undefined;
    session.abandon();
  }
}
