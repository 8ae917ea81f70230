/** Stand-in for a model server with one model: reports, orders and streams, as PROTOCOL.md gives them. */
import http from 'node:http';
import {freePort} from './ports.mjs';

/** Time to load the model from disk, which a restart preserves, in milliseconds: `disk_s` of the site. */
const LOAD_MS = 760;

/**
 * Starts a model server. `onArrival` is called with each request that reaches it, `onRun` with each
 * one that it begins to run. `crashes` tells whether a request crashes it as it begins to write, and
 * `crashesAfterMs` after how many milliseconds from its first event one does; undefined if it does not.
 */
export async function startEngine({
  host,
  id,
  store,
  service,
  model = 'm0',
  events = 6,
  eventMs = 15,
  downMs = 2_000,
  softwareVersion = 'v1',
  onArrival = () => undefined,
  onRun = () => undefined,
  onCrash = () => undefined,
  crashes = () => false,
  crashesAfterMs = () => undefined,
}) {
  const sockets = new Set();
  let born = Date.now();
  let sequence = 0;
  let models = [{name: model, version: 1, adapters: []}];
  let isBusy = false;
  let highestFence = 0;
  let running = 0;
  let port = 0;
  let server;
  let isClosed = false;
  let isDraining = false;
  let boot = 0;

  const register = () =>
    store.put(`servers/${id}`, {
      service,
      address: `${host}:${port}`,
      zone: 'poblado',
      version: engine.softwareVersion,
      slots: 64,
      state: isDraining ? 'draining' : 'ready',
      cold_left_ms: 0,
      stage: 'colocated',
      models,
      sequence,
      born,
    });
  const report = () => ({
    stage: 'colocated',
    born,
    models,
    busy: isBusy,
    sequence,
    waiting: 0,
    running,
    kv_used: 0,
    kv_total: 249_466,
    handles: 0,
    coming: [],
    ...(isDraining ? {state: 'draining'} : {}),
  });
  const handleOrder = body => {
    const order = JSON.parse(body);
    if (order.holder === undefined || order.fence === undefined) return 400;
    if (order.fence < highestFence) return 412;
    const isOther =
      order.precondition !== undefined && order.precondition !== sequence;
    if (isBusy || isOther) return 409;
    highestFence = order.fence;
    if (order.operation !== 'model_load' || order.adapter !== undefined) {
      return 400;
    }
    if (models.length > 0) return 200;
    sequence += 1;
    isBusy = true;
    const orderedBoot = boot;
    setTimeout(() => {
      if (boot !== orderedBoot) return;
      isBusy = false;
      models = [{name: model, version: 1, adapters: []}];
      register();
    }, LOAD_MS);
    return 202;
  };
  const crash = () => {
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
    boot += 1;
    running = 0;
    setTimeout(() => {
      if (isClosed) return;
      born = Date.now();
      sequence = 0;
      highestFence = 0;
      models = [];
      isBusy = false;
      server = listenAgain();
    }, downMs);
  };
  const stream = (request, response, own) => {
    response.writeHead(200, {
      ...own,
      'content-type': 'text/event-stream',
      'balsamnotch-response-seal': `seal-${id}`,
      'balsamnotch-weight-versions': '1',
    });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    running += 1;
    let next = first;
    const timer = setInterval(() => {
      response.write(
        `id: ${next}\ndata: ${engine.softwareVersion} ${next}\n\n`,
      );
      next += 1;
      if (next > events) response.end();
    }, eventMs);
    response.on('close', () => {
      clearInterval(timer);
      running = Math.max(0, running - 1);
    });
  };
  const handle = (request, response, body) => {
    if (request.url === '/report') {
      response.writeHead(200, {'content-type': 'application/json'});
      response.end(JSON.stringify(report()));
      return;
    }
    if (request.url === '/order') {
      response.writeHead(handleOrder(body)).end();
      return;
    }
    const {headers} = request;
    const requestId = headers['balsamnotch-request-id'];
    const expected = headers['balsamnotch-expect-instance'];
    const own = {
      'balsamnotch-instance-id': id,
      // A server that leaves says so in all its answers.
      ...(isDraining ? {'server-leaving': '1'} : {}),
      ...(requestId === undefined ? {} : {'balsamnotch-request-id': requestId}),
    };
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, own).end();
      return;
    }
    onArrival({server: id, id: requestId, headers});
    const hasModel = models.some(
      ({name}) => name === headers['balsamnotch-model'],
    );
    if (!hasModel) {
      response.writeHead(421, {...own, 'balsamnotch-not-executed': '1'}).end();
      return;
    }
    onRun({
      server: id,
      id: requestId,
      headers,
      softwareVersion: engine.softwareVersion,
    });
    if (crashes(headers)) {
      response.writeHead(200, {
        ...own,
        'content-type': 'text/event-stream',
        'balsamnotch-response-seal': `seal-${id}`,
      });
      response.write('id: 1\ndata: ');
      setTimeout(() => {
        onCrash({server: id, id: requestId});
        crash();
      }, 20);
      return;
    }
    const afterMs = crashesAfterMs(headers);
    const crashBoot = boot;
    if (afterMs !== undefined) {
      setTimeout(() => {
        if (boot !== crashBoot) return;
        onCrash({server: id, id: requestId});
        crash();
      }, eventMs + afterMs);
    }
    stream(request, response, own);
  };
  const createServer = () => {
    const created = http.createServer((request, response) => {
      let body = '';
      request.on('data', chunk => {
        body += chunk.toString();
      });
      request.on('end', () => handle(request, response, body));
    });
    created.maxHeadersCount = 0;
    created.keepAliveTimeout = 15_000;
    created.on('connection', socket => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    return created;
  };
  const listenAgain = () => createServer().listen(port, host, register);
  const engine = {
    id,
    host,
    softwareVersion,
    address: '',
    crash,
    /** Whether it runs and has its model. */
    isReady: () => server.listening && models.length > 0,
    /** Reports that it leaves; the store's acceptance is the acknowledgement. */
    drain: () => {
      isDraining = true;
      register();
    },
    /** Exits as planned: its entry is removed. */
    leave: () => {
      store.remove(`servers/${id}`);
      engine.close();
    },
    close: () => {
      isClosed = true;
      server.closeAllConnections();
      server.close();
    },
  };
  server = createServer();
  port = await freePort(host);
  await new Promise(resolve => server.listen(port, host, resolve));
  engine.address = `${host}:${port}`;
  register();
  return engine;
}
