/** Connect server of a node: unencrypted HTTP/2 over TCP. */
import http2 from 'node:http2';
import type {AddressInfo} from 'node:net';
import type {ConnectRouter, Interceptor} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {Metrics} from './context.js';
import {READ_MAX_BYTES} from './session.js';

/** Metrics of a Connect server. */
type ConnectMetrics = Pick<Metrics, 'count'>;

/** Splits `ip:port` into host and port. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Counts unary requests with unknown fields, which a peer with a later version of the protocol sends. */
function unknownFieldCounter(metrics: ConnectMetrics): Interceptor {
  return next => request => {
    if (!request.stream && request.message.$unknown !== undefined) {
      metrics.count('unknown_field', request.method.name);
    }
    return next(request);
  };
}

/** A listening Connect server. */
export interface ConnectServer {
  /** `ip:port`, with the port assigned by the operating system if the configured one is 0. */
  readonly address: string;
  /** Closes idle sessions, and resolves when the others have completed their requests and closed. */
  readonly close: () => Promise<void>;
}

/** Starts a Connect server at `listen` (`ip:port`). Rejects when the address cannot be bound. */
export async function serveConnect(
  listen: string,
  metrics: ConnectMetrics,
  routes: (router: ConnectRouter) => void,
): Promise<ConnectServer> {
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer(
    connectNodeAdapter({
      routes,
      readMaxBytes: READ_MAX_BYTES,
      interceptors: [unknownFieldCounter(metrics)],
    }),
  );
  server.on('session', session => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    // Without a listener, an error on one session would terminate the process.
    session.on('error', () => metrics.count('session_error'));
  });
  const {host, port} = splitAddress(listen);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const session of sessions) session.close();
      }),
  };
}
