/** Stand-in for a server of a plain service: a sound HTTP/1.1 server that runs each request it is sent. */
import http from 'node:http';
import {freePort} from './ports.mjs';

/** Starts a server; `onRun` is called with each request that it runs. */
export async function startPlainServer({
  host,
  id,
  store,
  service,
  onRun,
  workMs = 20,
}) {
  const born = Date.now();
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const requestId = request.headers['balsamnotch-request-id'];
      const expected = request.headers['balsamnotch-expect-instance'];
      const own = {
        'balsamnotch-instance-id': id,
        ...(requestId === undefined
          ? {}
          : {'balsamnotch-request-id': requestId}),
      };
      if (requestId === undefined) {
        response.writeHead(400, {...own, 'balsamnotch-not-executed': '1'});
        response.end();
        return;
      }
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, own).end();
        return;
      }
      onRun({
        server: id,
        id: requestId,
        method: request.method,
        path: request.url,
        body: Buffer.concat(chunks).toString('latin1'),
        headers: request.headers,
      });
      setTimeout(() => {
        response.writeHead(200, {
          ...own,
          'balsamnotch-response-seal': `seal-${id}`,
        });
        response.end(`answer to ${requestId}`);
      }, workMs);
    });
  });
  // It reads all fields of a head.
  server.maxHeadersCount = 0;
  server.keepAliveTimeout = 15_000;
  const port = await freePort(host);
  return new Promise(resolve => {
    server.listen(port, host, () => {
      const address = `${host}:${port}`;
      store.put(`servers/${id}`, {
        service,
        address,
        zone: 'poblado',
        version: 'v1',
        slots: 6,
        state: 'ready',
        cold_left_ms: 0,
        sequence: 1,
        born,
      });
      resolve({
        address,
        close: () => {
          server.closeAllConnections();
          server.close();
        },
      });
    });
  });
}
