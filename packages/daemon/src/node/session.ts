/** HTTP/2 client sessions to other nodes, and Connect transports over them. */
import type {ClientHttp2Session, ClientHttp2Stream} from 'node:http2';
import type {Transport} from '@connectrpc/connect';
import {
  Http2SessionManager,
  createConnectTransport,
} from '@connectrpc/connect-node';

/** Largest message that the Connect server and {@link transportTo} accept, in bytes. */
export const READ_MAX_BYTES = 4 * 1024 * 1024;

/**
 * A session manager whose session errors cannot terminate the process. When the
 * server sends GOAWAY, the base class destroys the session with an error. If a
 * request is made before that error is emitted, the base class opens a new
 * session and removes its listeners from the old one, and the error would be
 * uncaught. A listener that stays on each session prevents that.
 */
export class GuardedSessionManager extends Http2SessionManager {
  private readonly guardedSessions = new WeakSet<ClientHttp2Session>();

  override async request(
    ...parameters: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...parameters);
    const session = stream.session as ClientHttp2Session | undefined;
    if (session !== undefined && !this.guardedSessions.has(session)) {
      this.guardedSessions.add(session);
      session.on('error', () => undefined);
    }
    return stream;
  }
}

/** Ping and idle timeouts of a session, in milliseconds. */
export type SessionOptions = ConstructorParameters<
  typeof Http2SessionManager
>[1];

/** Creates a transport to the Connect server at `ip:port`, which connects on the first request. */
export function transportTo(
  address: string,
  options: SessionOptions = {},
): Transport {
  const baseUrl = `http://${address}`;
  return createConnectTransport({
    httpVersion: '2',
    baseUrl,
    sessionManager: new GuardedSessionManager(baseUrl, options),
    readMaxBytes: READ_MAX_BYTES,
  });
}
