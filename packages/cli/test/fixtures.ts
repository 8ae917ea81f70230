/** A node's connect server, an entry and a terminal for tests. */
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer, type ServerResponse} from 'node:http';
import {
  createServer as createHttp2Server,
  type ServerHttp2Session,
} from 'node:http2';
import type {AddressInfo, Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {VM} from '@balsamnotch/systems';
import {Node, NodeState} from '@balsamnotch/wire';
import {Err, Ok} from 'ts-results-es';
import {run, type ExitCode, type Flags} from '@balsamnotch/cli';

/** State of a fake node; tests change it while it runs. */
export interface FakeNode {
  node: string;
  role: string;
  incarnation: string;
  state: NodeState;
  revision: bigint;
  revisionHash: string;
  inProgress: number;
  loaded: {adapter: string; version: string}[];
  counters: Record<string, number>;
  /** Called with the number of each status request, from 1. */
  asked?(count: number): void;
  /** Called a while after the first request for a planned stop. */
  stopping?(): void;
  /** Stop requests received, true for a cancellation. */
  readonly stops: boolean[];
  /** Called with each start of a stop. */
  onStop: () => void;
  readonly address: string;
  /** Ends the process: the port refuses connections from then on. */
  close(): void;
}

function listen(server: Server): Promise<string> {
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

/** Time from a request for a planned stop to its end, in milliseconds. */
const STOPPING_MS = 1_000;

/** Starts a node that answers `Status` and `Stop` until the test ends. */
export async function fakeNode(
  test: TestContext,
  changes: Partial<FakeNode> = {},
): Promise<FakeNode> {
  const sessions = new Set<ServerHttp2Session>();
  let statusCount = 0;
  const routes = connectNodeAdapter({
    routes: router => {
      router.service(Node, {
        status: () => {
          node.asked?.(++statusCount);
          return {
            ...node,
            failureDomain: 'poblado',
            revisionAgeMs: 65_000,
            report: {loaded: node.loaded, slots: 8},
          };
        },
        stop: ({cancel}) => {
          if (node.stops.length === 0) {
            setTimeout(() => node.stopping?.(), STOPPING_MS);
          }
          node.stops.push(cancel);
          if (!cancel) node.onStop();
          node.state = cancel ? NodeState.SERVING : NodeState.LEAVING;
          return {state: node.state, inProgress: node.inProgress};
        },
      });
    },
  });
  const server = createHttp2Server(routes);
  server.on('session', session => sessions.add(session));
  const node: FakeNode = {
    node: 't1',
    role: 'target',
    incarnation: 'i1',
    state: NodeState.SERVING,
    revision: 5n,
    revisionHash: 'aa',
    inProgress: 2,
    loaded: [{adapter: 'style-0001', version: 'v2'}],
    counters: {},
    stops: [],
    onStop: () => {},
    ...changes,
    address: await listen(server),
    close() {
      server.close();
      sessions.forEach(session => session.destroy());
    },
  };
  test.after(() => node.close());
  return node;
}

/** Starts an entry that answers chats as given, and gives its base URL. */
export async function fakeEntry(
  test: TestContext,
  answer: (model: string, stream: boolean, response: ServerResponse) => void,
): Promise<string> {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as {
        model: string;
        stream: boolean;
      };
      answer(body.model, body.stream, response);
    });
  });
  test.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://${await listen(server)}`;
}

/** Answers a chat completely, in both forms. */
export function completeAnswer(
  model: string,
  stream: boolean,
  response: ServerResponse,
): void {
  if (!stream) {
    response.end(JSON.stringify({model, choices: []}));
    return;
  }
  response.setHeader('content-type', 'text/event-stream');
  response.end(`data: ${JSON.stringify({model})}\n\ndata: [DONE]\n\n`);
}

/** What a command printed, and its exit code. */
export interface Outcome {
  readonly code: ExitCode;
  readonly out: string;
  readonly err: string;
}

/** Parts of an invocation that tests give. */
export interface Setup {
  readonly flags?: Flags;
  /** Answers at the terminal. */
  readonly lines?: readonly string[];
  readonly vms?: readonly VM[];
  /** True while the configuration service answers. */
  readonly serviceAnswers?: () => boolean;
}

/** Runs a command line. */
export async function runCommand(
  [name, ...input]: readonly string[],
  {flags = {}, lines = [], vms, serviceAnswers = () => true}: Setup = {},
): Promise<Outcome> {
  const out: string[] = [];
  const err: string[] = [];
  const answers = [...lines];
  const value = {name: 'manifest', version: 1, content: ''};
  const code = await run(name, {
    input,
    flags,
    terminal: {
      out: line => out.push(line),
      err: line => err.push(line),
      ask: () => Promise.resolve(answers.shift()),
    },
    outside: {
      vmList: () => ({
        read: () =>
          Promise.resolve(
            vms
              ? Ok(vms)
              : Err({kind: 'unreachable' as const, message: 'refused'}),
          ),
      }),
      configService: () => ({
        read: () =>
          Promise.resolve(
            serviceAnswers()
              ? Ok(value)
              : Err({kind: 'unreachable' as const, message: 'refused'}),
          ),
        watch: () => Promise.resolve(Ok(undefined)),
      }),
    },
  });
  return {code, out: out.join('\n'), err: err.join('\n')};
}

/** A folder that is removed after the test. */
export function temporaryFolder(test: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'balsamnotch-cli-'));
  test.after(() => rmSync(folder, {recursive: true}));
  return folder;
}
