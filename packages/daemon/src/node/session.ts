/** HTTP/2 sessions to other processes, and transports over them. */
import type {ClientHttp2Session, ClientHttp2Stream} from 'node:http2';
import type {Transport} from '@connectrpc/connect';
import {
  Http2SessionManager,
  createConnectTransport,
} from '@connectrpc/connect-node';

/** Largest message that is read from another process, in bytes. */
export const READ_MAX_BYTES = 4 * 1024 * 1024;

/**
 * A session manager whose sessions cannot end the process. When a target says
 * GOAWAY, the manager destroys the session with an error. If a request comes
 * before that error is emitted, the manager opens another session and takes
 * its listeners off the old one, and an error without listener is uncaught.
 */
export class GuardedSessionManager extends Http2SessionManager {
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

/** Options of a session, in milliseconds. */
export type SessionOptions = ConstructorParameters<
  typeof Http2SessionManager
>[1];

/** Transport to the connect server at `ip:port`; it connects with the first request. */
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
