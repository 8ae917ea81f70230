/** Endpoint at which the load balancer asks whether an entry is ready. */
import http from 'node:http';

/** Timeouts in milliseconds: the balancer sends a short request each second. */
const TIMEOUTS = {
  headersTimeout: 3_000,
  requestTimeout: 5_000,
  connectionsCheckingInterval: 500,
} as const;

/** Creates the server: 200 or 503 at paths that begin with `path`, else 404. */
export function createReadinessServer(
  path: string,
  isReady: () => boolean,
): http.Server {
  return http.createServer(TIMEOUTS, (incoming, response) => {
    const isReadinessPath = incoming.url?.startsWith(path) === true;
    const hasBody =
      incoming.headers['content-length'] !== undefined ||
      incoming.headers['transfer-encoding'] !== undefined;
    response.writeHead(isReadinessPath ? (isReady() ? 200 : 503) : 404, {
      'content-length': 0,
      // The balancer sends no body; others would be read to their end.
      ...(hasBody ? {connection: 'close'} : {}),
    });
    response.end();
  });
}
