/** Stand-ins for servers: a model server and a plain one, as the users' pages describe them. */
import http from 'node:http';

const listen = (server, host) =>
  new Promise(resolve =>
    server.listen(0, host, () => resolve(server.address().port)),
  );

const readBody = request =>
  new Promise(resolve => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('close', () => resolve(Buffer.concat(chunks)));
  });

/**
 * Starts a server. `answer` handles a request that runs: `(request, response, id, body)`, where
 * `id` is that of the request. `reports` returns the fields of a model server's report.
 */
export async function startServer({
  host,
  id,
  service,
  answer,
  isEngine = false,
  adapters = [],
  model = 'm0',
  slots = 64,
}) {
  let born = Date.now();
  let sequence = 0;
  const held = [...adapters];
  const models = () => [{name: model, version: 1, adapters: held}];
  const report = () => ({
    stage: 'colocated',
    born,
    state: 'ready',
    models: models(),
    busy: false,
    sequence,
    waiting: 0,
    running: 0,
    kv_used: 0,
    kv_total: 249466,
    pinned: 0,
    held: 0,
    handles: 0,
    coming: [],
    runs: [],
  });
  const order = fields => {
    if (fields.precondition !== undefined && fields.precondition !== sequence)
      return 409;
    sequence += 1;
    const index = held.findIndex(name => name.split('@')[0] === fields.adapter);
    if (index >= 0) held.splice(index, 1);
    if (fields.operation === 'model_load' && fields.adapter !== undefined) {
      held.push(`${fields.adapter}@${fields.version ?? 1}`);
    }
    return 202;
  };
  const server = http.createServer(async (request, response) => {
    const {url, headers} = request;
    const body = await readBody(request);
    response.sendDate = false;
    if (isEngine && url === '/report') {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(report()));
      return;
    }
    if (isEngine && url === '/order') {
      response
        .writeHead(order(JSON.parse(body.toString())), {'content-length': 0})
        .end();
      return;
    }
    const requestId = String(headers['balsamnotch-request-id'] ?? '');
    const expected = headers['balsamnotch-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {
        'balsamnotch-instance-id': id,
        'balsamnotch-request-id': requestId,
        'content-length': 0,
      });
      response.end();
      return;
    }
    answer(request, response, requestId, body);
  });
  server.keepAliveTimeout = 5_000;
  const sockets = new Set();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const port = await listen(server, host);
  return {
    id,
    address: `${host}:${port}`,
    registration: () => ({
      service,
      address: `${host}:${port}`,
      zone: 'poblado',
      version: 'v1',
      slots,
      state: 'ready',
      cold_left_ms: 0,
      sequence: 1,
      born,
      ...(isEngine ? {models: models(), stage: 'colocated'} : {}),
    }),
    /** Resets all connections, and starts anew after `downMs`, with the same id. */
    crash: async downMs => {
      const closed = new Promise(resolve => server.close(resolve));
      for (const socket of sockets) socket.resetAndDestroy();
      await closed;
      await new Promise(resolve => setTimeout(resolve, downMs));
      born = Date.now();
      sequence = 0;
      held.splice(0, Infinity, ...adapters);
      await new Promise(resolve => server.listen(port, host, resolve));
    },
    close: () =>
      new Promise(resolve => {
        server.closeAllConnections();
        server.close(resolve);
      }),
  };
}

/** Headers of a server's answer to the request. */
export const sealed = (requestId, extra = {}) => ({
  'Balsamnotch-Request-Id': requestId,
  'Balsamnotch-Response-Seal': `seal.${requestId}`,
  ...extra,
});
