/** HTTP server that the stand-ins share: faults common to all of them, and the control route. */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

/** Faults that each stand-in knows. */
export const commonFaults = {
  /** Connections are refused and open ones are reset. */
  refuse: z.boolean(),
  /** Requests are read and have no effect and no answer. */
  hang: z.boolean(),
  /** Delay of each answer, after its request took effect. */
  lateMs: z.number().nonnegative(),
  /** Resets open connections and starts with a new incarnation under the same address. */
  restart: z.literal(true),
};

/** Settings that the control route of a stand-in accepts. */
interface CommonControl {
  readonly refuse?: boolean;
  readonly hang?: boolean;
  readonly lateMs?: number;
  readonly restart?: true;
}

/** One request to a stand-in. */
export interface StandInRequest {
  readonly method: string;
  /** Decoded path segments. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** What a stand-in does with a request. */
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

/** An answer with a JSON body. */
export function json(status: number, body: unknown): Reply {
  return {kind: 'json', status, body};
}

/** Answer to a request that the stand-in does not know. */
export const NOT_FOUND = json(404, {error: 'not_found'});

/** The part that differs between stand-ins. */
export interface Behaviour<C extends CommonControl> {
  readonly control: z.ZodType<C>;
  /** Called with the settings that a control request changes. */
  readonly apply: (control: C) => void;
  /** Settings in force and counters of what took effect. */
  readonly report: () => object;
  readonly handle: (request: StandInRequest) => Promise<Reply> | Reply;
}

/** Options of each stand-in. */
export interface StandInOptions<C> {
  /** Port of the service; 0 or none takes one from the system. */
  readonly port?: number;
  readonly controlPort?: number;
  /** Settings at the start, as the control route takes them. */
  readonly control?: C;
}

/** A stand-in that listens. */
export interface StandIn {
  readonly port: number;
  /** Also serves the control route while `refuse` is set. */
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

  async function control(request: StandInRequest, from: Socket) {
    if (request.method === 'POST') {
      const parsed = parseBody(behaviour.control, request.body);
      if (!parsed.success) {
        return json(400, {error: z.prettifyError(parsed.error)});
      }
      const {refuse, restart} = parsed.data;
      apply(parsed.data);
      if (refuse === true || restart === true) resetOthers(from);
      if (refuse !== undefined) await setRefuse(refuse);
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

  function resetOthers(own: Socket): void {
    for (const socket of sockets) {
      if (socket !== own) reset(socket);
    }
  }

  async function setRefuse(refuse: boolean): Promise<void> {
    if (refuse === faults.refuse) return;
    faults.refuse = refuse;
    if (refuse) server.close();
    else await listen(server, port);
  }

  async function answer(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const request = await readRequest(incoming);
    if (request.path[0] === 'control') {
      sendReply(response, await control(request, incoming.socket));
      return;
    }
    if (faults.hang) return;
    const reply = await behaviour.handle(request);
    if (faults.lateMs > 0) await sleep(faults.lateMs);
    sendReply(response, reply);
  }

  const listener: http.RequestListener = (incoming, response) => {
    answer(incoming, response).catch(error => {
      // A caller that closes its connection while its request is read is no fault of the stand-in.
      if (incoming.socket.destroyed) return;
      sendReply(response, json(500, {error: String(error)}));
    });
  };
  // Kept connections stay open: an idle close would look like a fault that no test has set.
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
  if (options.control?.refuse === true) await setRefuse(true);
  return {
    port,
    controlPort,
    async close() {
      await Promise.all([closeServer(server), closeServer(controlServer)]);
    },
  };
}

/** Parses a JSON body; text that is not JSON fails like a value of the wrong type. */
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
  const parts: Buffer[] = [];
  for await (const part of incoming) parts.push(part as Buffer);
  const url = new URL(incoming.url ?? '/', 'http://standin');
  return {
    method: incoming.method ?? 'GET',
    path: url.pathname.slice(1).split('/').map(decodeURIComponent),
    query: url.searchParams,
    headers: incoming.headers,
    body: Buffer.concat(parts),
  };
}

/** Closes a connection so that its peer sees a reset. */
function reset(socket: Socket): void {
  // Node 20 spins when a socket is reset whose both directions have ended.
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
