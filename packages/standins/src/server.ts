/** HTTP server that all stand-ins share, with their common faults and the control route. */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

/** Schema fields of the faults that every stand-in supports. */
export const commonFaults = {
  /** Refuses new connections and resets open ones. */
  refuse: z.boolean(),
  /** Reads requests, but neither executes nor answers them. */
  hang: z.boolean(),
  /** Delay of each answer after its request took effect, in milliseconds. */
  lateMs: z.number().nonnegative(),
  /** Resets open connections and simulates a restart with a new incarnation at the same address. */
  restart: z.literal(true),
};

/** Settings that the control route of every stand-in accepts. */
interface CommonControl {
  readonly refuse?: boolean;
  readonly hang?: boolean;
  readonly lateMs?: number;
  readonly restart?: true;
}

/** A request to a stand-in, with its complete body. */
export interface StandInRequest {
  readonly method: string;
  /** Decoded path segments. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** How a stand-in answers a request. */
export type Reply =
  | {readonly kind: 'json'; readonly status: number; readonly body: unknown}
  | {
      readonly kind: 'stream';
      readonly open: (response: http.ServerResponse) => void;
    }
  /** Closes the connection without an answer. */
  | {readonly kind: 'reset'}
  /** Keeps the connection open without an answer. */
  | {readonly kind: 'silent'};

/** Creates an answer with a JSON body. */
export function json(status: number, body: unknown): Reply {
  return {kind: 'json', status, body};
}

/** Answer to a request for an unknown path or value. */
export const NOT_FOUND = json(404, {error: 'not_found'});

/** What distinguishes one kind of stand-in from the others. */
export interface Behaviour<C extends CommonControl> {
  /** Schema of control requests. */
  readonly control: z.ZodType<C>;
  /** Applies the settings of a control request. */
  readonly apply: (control: C) => void;
  /** Returns the current settings, and counters of executed requests and their effects. */
  readonly report: () => object;
  /** Executes a request and returns its answer. */
  readonly handle: (request: StandInRequest) => Promise<Reply> | Reply;
}

/** Options that all stand-ins have. */
export interface StandInOptions<C> {
  /** Port of the service; the system chooses one when it is 0 or absent. */
  readonly port?: number;
  readonly controlPort?: number;
  /** Initial settings, in the format of the control route. */
  readonly control?: C;
}

/** A running stand-in. */
export interface StandIn {
  readonly port: number;
  /** Second port with the same routes, which stays open while `refuse` is set. */
  readonly controlPort: number;
  close(): Promise<void>;
}

/** Starts a stand-in on loopback. */
export async function startStandIn<C extends CommonControl>(
  behaviour: Behaviour<C>,
  options: StandInOptions<C> = {},
): Promise<StandIn> {
  const faults = {refuse: false, hang: false, lateMs: 0};
  const sockets = new Set<Socket>();
  let connections = 0;

  async function handleControl(request: StandInRequest, controlSocket: Socket) {
    if (request.method === 'POST') {
      const parsed = parseBody(behaviour.control, request.body);
      if (!parsed.success) {
        return json(400, {error: z.prettifyError(parsed.error)});
      }
      const {refuse, restart} = parsed.data;
      apply(parsed.data);
      if (refuse === true || restart === true) resetOthers(controlSocket);
      if (refuse !== undefined) await setRefusing(refuse);
    }
    const openConnections = sockets.size;
    const report = {...faults, connections, openConnections};
    return json(200, {...report, ...behaviour.report()});
  }

  function apply(control: C): void {
    behaviour.apply(control);
    faults.hang = control.hang ?? faults.hang;
    faults.lateMs = control.lateMs ?? faults.lateMs;
  }

  /** Resets all connections except that of the control request. */
  function resetOthers(controlSocket: Socket): void {
    for (const socket of sockets) {
      if (socket !== controlSocket) reset(socket);
    }
  }

  async function setRefusing(refuse: boolean): Promise<void> {
    if (refuse === faults.refuse) return;
    faults.refuse = refuse;
    if (refuse) server.close();
    else await listen(server, port);
  }

  async function handleRequest(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const request = await readRequest(incoming);
    if (request.path[0] === 'control') {
      sendReply(response, await handleControl(request, incoming.socket));
      return;
    }
    if (faults.hang) return;
    const reply = await behaviour.handle(request);
    if (faults.lateMs > 0) await sleep(faults.lateMs);
    sendReply(response, reply);
  }

  const listener: http.RequestListener = (incoming, response) => {
    handleRequest(incoming, response).catch(error => {
      // The client closed its connection while its request was being read,
      // which is not an error of the stand-in.
      if (incoming.socket.destroyed) return;
      sendReply(response, json(500, {error: String(error)}));
    });
  };
  // Idle connections stay open, because closing them would look like a fault
  // that no test has set.
  const server = http.createServer({keepAliveTimeout: 0}, listener);
  const controlServer = http.createServer({keepAliveTimeout: 0}, listener);
  server.on('connection', socket => {
    connections += 1;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  if (options.control !== undefined) apply(options.control);
  const port = await listen(server, options.port ?? 0);
  const controlPort = await listen(controlServer, options.controlPort ?? 0);
  if (options.control?.refuse === true) await setRefusing(true);
  return {
    port,
    controlPort,
    async close() {
      await Promise.all([closeServer(server), closeServer(controlServer)]);
    },
  };
}

/** Parses and validates a JSON body. Invalid JSON is reported as a failed validation; nothing is thrown. */
export function parseBody<T>(
  schema: z.ZodType<T>,
  body: Buffer,
): z.ZodSafeParseResult<T> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    value = undefined;
  }
  return schema.safeParse(value);
}

function listen(server: http.Server, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

async function readRequest(
  incoming: http.IncomingMessage,
): Promise<StandInRequest> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  const url = new URL(incoming.url ?? '/', 'http://standin');
  return {
    method: incoming.method ?? 'GET',
    path: url.pathname.slice(1).split('/').map(decodeURIComponent),
    query: url.searchParams,
    headers: incoming.headers,
    body: Buffer.concat(chunks),
  };
}

/** Closes a connection with a TCP reset. */
function reset(socket: Socket): void {
  // Node 20 goes into a busy loop when it resets a socket of which both directions have ended.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

function sendReply(response: http.ServerResponse, reply: Reply): void {
  switch (reply.kind) {
    case 'json':
      response.writeHead(reply.status, {'content-type': 'application/json'});
      response.end(
        reply.status === 204 ? undefined : JSON.stringify(reply.body),
      );
      return;
    case 'stream':
      reply.open(response);
      return;
    case 'reset':
      if (response.socket !== null) reset(response.socket);
      return;
    case 'silent':
      return;
  }
}
