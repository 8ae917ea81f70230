/** Fake nodes, a fake entry and a command runner for tests. */
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

/** State of a fake node; tests modify it while the node runs. */
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
  onStatusRequest?(count: number): void;
  /** Called once, {@link STOP_DURATION_MS} after the first stop request. */
  onStopEnd?(): void;
  /** Received stop requests; true for a cancellation. */
  readonly stopRequests: boolean[];
  /** Called on each request to start a stop. */
  onStopStart: () => void;
  readonly address: string;
  /** Closes the server and its connections, like the exit of a process. */
  close(): void;
}

function listen(server: Server): Promise<string> {
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

/** Time from the first stop request to `onStopEnd`, in milliseconds. */
const STOP_DURATION_MS = 1_000;

/** Starts a fake node that answers `Status` and `Stop` until the test ends. */
export async function startFakeNode(
  test: TestContext,
  overrides: Partial<FakeNode> = {},
): Promise<FakeNode> {
  const sessions = new Set<ServerHttp2Session>();
  let statusCount = 0;
  const requestHandler = connectNodeAdapter({
    routes: router => {
      router.service(Node, {
        status: () => {
          node.onStatusRequest?.(++statusCount);
          return {
            ...node,
            failureDomain: 'poblado',
            revisionAgeMs: 65_000,
            report: {loaded: node.loaded, slots: 8},
          };
        },
        stop: ({cancel}) => {
          if (node.stopRequests.length === 0) {
            setTimeout(() => node.onStopEnd?.(), STOP_DURATION_MS);
          }
          node.stopRequests.push(cancel);
          if (!cancel) node.onStopStart();
          node.state = cancel ? NodeState.SERVING : NodeState.LEAVING;
          return {state: node.state, inProgress: node.inProgress};
        },
      });
    },
  });
  const server = createHttp2Server(requestHandler);
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
    stopRequests: [],
    onStopStart: () => {},
    ...overrides,
    address: await listen(server),
    close() {
      server.close();
      sessions.forEach(session => session.destroy());
    },
  };
  test.after(() => node.close());
  return node;
}

/** Starts a fake entry that answers chats with `answer`; returns its base URL. */
export async function startFakeEntry(
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

/** Sends a complete answer, as JSON or as a stream. */
export function sendCompleteAnswer(
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

/** Exit code and output of a command. */
export interface CommandResult {
  readonly code: ExitCode;
  readonly out: string;
  readonly err: string;
}

/** Flags and simulated environment of a command. */
export interface CommandOptions {
  readonly flags?: Flags;
  /** Input lines at the terminal. */
  readonly inputLines?: readonly string[];
  /** Content of the VM list; the list is unreachable when absent. */
  readonly vms?: readonly VM[];
  /** Returns whether the configuration service answers. */
  readonly isConfigServiceUp?: () => boolean;
}

/** Runs a command and captures its output. */
export async function runCommand(
  [name, ...input]: readonly string[],
  {
    flags = {},
    inputLines = [],
    vms,
    isConfigServiceUp = () => true,
  }: CommandOptions = {},
): Promise<CommandResult> {
  const out: string[] = [];
  const err: string[] = [];
  const answers = [...inputLines];
  const value = {name: 'manifest', version: 1, content: ''};
  const code = await run(name, {
    input,
    flags,
    terminal: {
      out: line => out.push(line),
      err: line => err.push(line),
      ask: () => Promise.resolve(answers.shift()),
    },
    clients: {
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
            isConfigServiceUp()
              ? Ok(value)
              : Err({kind: 'unreachable' as const, message: 'refused'}),
          ),
        watch: () => Promise.resolve(Ok(undefined)),
      }),
    },
  });
  return {code, out: out.join('\n'), err: err.join('\n')};
}

/** Creates a folder that is removed after the test. */
export function temporaryFolder(test: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'balsamnotch-cli-'));
  test.after(() => rmSync(folder, {recursive: true}));
  return folder;
}
