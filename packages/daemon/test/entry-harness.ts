/** Test harness: an entry role, and in-process targets with answers that each test defines. */
import {createHash} from 'node:crypto';
import {createServer, type ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {ConnectRouter, ServiceImpl} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {Adapter, Configuration, Settings} from '@balsamnotch/config';
import type {TargetReport} from '@balsamnotch/core';
import type {VM} from '@balsamnotch/systems';
import * as wire from '@balsamnotch/wire';
import {BehaviorSubject, EMPTY} from 'rxjs';
import {startEntry, type EntryOptions} from '../src/entry/index.js';
import type {NodeContext, Role} from '../src/node/context.js';
import {reportToWire} from '../src/node/convert.js';

/** API key of the only caller in {@link configurationOf}. */
export const CALLER_KEY = 'key-of-ana';

/** Request handlers that replace the default handlers of a fake target. */
export type Script = Partial<ServiceImpl<typeof wire.Target>>;

/** A scripted target that records the requests it receives. */
export interface FakeTarget {
  readonly vm: VM;
  readonly calls: wire.CallRequest[];
  readonly chats: wire.ChatRequest[];
  readonly settles: wire.SettleRequest[];
  readonly cancels: string[];
  report: TargetReport;
  script: Script;
  wireReport(): wire.Report;
  close(): Promise<void>;
}

/** Heartbeats of a call that runs until the signal aborts. */
export async function* heartbeats(
  signal: AbortSignal,
): AsyncGenerator<MessageInitShape<typeof wire.CallEventSchema>> {
  while (!signal.aborted) {
    yield {event: {case: 'heartbeat', value: {}}};
    await sleep(50);
  }
}

/** Text of the token at index `n` of an answer. */
export function token(n: number): string {
  return `t${n} `;
}

/** Creates a chunk of `count` tokens that starts at `offset`. */
export function chunkEvent(
  request: wire.ChatRequest,
  offset: number,
  count: number,
  overrides: Partial<Omit<wire.ChatChunk, '$typeName' | '$unknown'>> = {},
): wire.ChatEvent {
  const tokens = Array.from({length: count}, (_, i) => token(offset + i));
  return create(wire.ChatEventSchema, {
    event: {
      case: 'chunk',
      value: create(wire.ChatChunkSchema, {
        requestId: request.envelope?.requestId,
        adapter: request.adapter,
        version: request.version,
        engineIncarnation: 'engine-1',
        offset,
        tokens,
        ...overrides,
      }),
    },
  });
}

/** Creates the end event of a chat with `total` tokens. */
export function endEvent(
  request: wire.ChatRequest,
  total: number,
): wire.ChatEvent {
  return create(wire.ChatEventSchema, {
    event: {
      case: 'end',
      value: create(wire.ChatEndSchema, {
        requestId: request.envelope?.requestId,
        total,
        finishReason: 'stop',
      }),
    },
  });
}

export function refusalOf(
  reason: string,
  outcome = wire.Outcome.NOT_RUN,
): wire.Refusal {
  return create(wire.RefusalSchema, {reason, message: reason, outcome});
}

/** Creates the event with which a target refuses a chat. */
export function refusedChat(reason: string): wire.ChatEvent {
  return create(wire.ChatEventSchema, {
    event: {case: 'refusal', value: refusalOf(reason)},
  });
}

/** Creates the event with which a target refuses a call. */
export function refusedCall(
  reason: string,
  outcome?: wire.Outcome,
): wire.CallEvent {
  return create(wire.CallEventSchema, {
    event: {case: 'refusal', value: refusalOf(reason, outcome)},
  });
}

/** Creates the event with the result of a call. */
export function callResult(text: string): wire.CallEvent {
  return create(wire.CallEventSchema, {
    event: {case: 'result', value: resultOf(text)},
  });
}

export function resultOf(text: string): wire.CallResult {
  return create(wire.CallResultSchema, {
    status: 200,
    contentType: 'text/plain',
    body: new TextEncoder().encode(text),
  });
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function idleReport(node: string): TargetReport {
  return {
    node,
    incarnation: `${node}-1`,
    engineIncarnation: 'engine-1',
    nodeClockMs: 0,
    revision: 7,
    state: 'serving',
    queued: 0,
    active: 0,
    batchSize: 16,
    slots: 8,
    loaded: [],
    loadsPending: 0,
    serviceMs: 100,
  };
}

function routesOf(target: FakeTarget) {
  return (router: ConnectRouter) =>
    router.service(wire.Target, {
      async *chat(request, context) {
        target.chats.push(request);
        if (target.script.chat) {
          yield* target.script.chat(request, context);
          return;
        }
        yield chunkEvent(request, request.offset, 3);
        yield endEvent(request, request.offset + 3);
      },
      async *call(request, context) {
        target.calls.push(request);
        if (target.script.call) yield* target.script.call(request, context);
        else yield callResult(`${target.vm.name} ${request.operation}`);
      },
      async settle(request, context) {
        target.settles.push(request);
        const response = await target.script.settle?.(request, context);
        return response ?? {outcome: wire.Outcome.UNKNOWN};
      },
      async cancel(request) {
        target.cancels.push(request.envelope?.requestId ?? '');
        return {};
      },
      probe: (request, context) =>
        target.script.probe?.(request, context) ?? target.wireReport(),
    });
}

/** Serves connect routes on a free loopback port. */
export async function listen(
  routes: (router: ConnectRouter) => void,
): Promise<{address: string; close: () => Promise<void>}> {
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(connectNodeAdapter({routes}));
  server.on('session', session => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => undefined);
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  const close = () =>
    new Promise<void>(resolve => {
      server.close(() => resolve());
      for (const session of sessions) session.destroy();
    });
  return {address: `127.0.0.1:${port}`, close};
}

export function vmOf(name: string, service: string, address: string): VM {
  const state = 'live';
  return {name, role: 'target', service, failureDomain: 'a', address, state};
}

/** Starts a fake target on a loopback port. */
export async function fakeTarget(
  name: string,
  service: string,
): Promise<FakeTarget> {
  const target: FakeTarget = {
    vm: vmOf(name, service, ''),
    calls: [],
    chats: [],
    settles: [],
    cancels: [],
    report: idleReport(name),
    script: {},
    wireReport: () =>
      reportToWire({...target.report, nodeClockMs: performance.now()}),
    close: async () => undefined,
  };
  const {address, close} = await listen(routesOf(target));
  return Object.assign(target, {vm: vmOf(name, service, address), close});
}

function adapterOf(
  name: string,
  group: string,
  versions: readonly string[],
): Adapter {
  const current = versions.at(-1) ?? '';
  return {name, group, baseModel: 'base', versions, current};
}

/** Creates a configuration with one model service, one plain service and one caller. */
export function configurationOf(): Configuration {
  return {
    deployment: 'test',
    revision: 7,
    failureDomains: ['a'],
    services: [
      {
        name: 'assistant',
        kind: 'model',
        targets: 2,
        baseModel: 'base',
        operations: [],
        queueLimit: 8,
      },
      {
        name: 'booking',
        kind: 'plain',
        targets: 2,
        baseModel: '',
        operations: [
          {name: 'confirm', repeatable: false},
          {name: 'list', repeatable: true},
        ],
        queueLimit: 8,
      },
    ],
    callers: [
      {
        name: 'ana',
        keySha256: createHash('sha256').update(CALLER_KEY).digest('hex'),
        groups: ['brides'],
        services: ['booking'],
        requestsPerSecond: 1_000,
      },
    ],
    tolerances: {stallWeight: 4, batchWaitMs: 0},
    weightStore: {loadsPerSecond: 3, burst: 2, loadMs: 250, maxInFlight: 16},
    adapters: new Map([
      ['veil', adapterOf('veil', 'brides', ['v1', 'v2'])],
      ['secret', adapterOf('secret', 'artists', ['v1'])],
    ]),
  };
}

/** Overrides of the node context, and options of the entry. */
export interface HarnessOptions extends EntryOptions {
  readonly settings?: Partial<Settings>;
  readonly incarnation?: string;
  readonly configuration?: Configuration;
  readonly pauseMs?: () => number;
  readonly random?: () => number;
}

/** A running entry and what it recorded. */
export interface Harness {
  readonly role: Role;
  readonly url: string;
  readonly counters: Record<string, number>;
  readonly catchUps: number[];
  readonly vms$: BehaviorSubject<readonly VM[]>;
  post(
    path: string,
    body: unknown,
    headers?: Record<string, string>,
  ): Promise<Response>;
  chat(body?: object, headers?: Record<string, string>): Promise<Response>;
  close(): Promise<void>;
}

/** Creates a node context that records counters and catch-up requests. */
export function contextOf(
  harness: Pick<Harness, 'counters' | 'catchUps' | 'vms$'>,
  options: HarnessOptions,
): NodeContext {
  const {configuration = configurationOf(), pauseMs = () => 0} = options;
  const {counters} = harness;
  let idCount = 0;
  const increment = (name: string) => {
    counters[name] = (counters[name] ?? 0) + 1;
  };
  const noop = () => undefined;
  return {
    settings: {
      name: 'entry-1',
      role: 'entry',
      service: '',
      ordinal: -1,
      failureDomain: 'a',
      listen: '127.0.0.1:0',
      callerListen: '127.0.0.1:0',
      configService: '',
      vmList: '',
      engine: '',
      plain: '',
      logLevel: 'error',
      limits: {
        bodyBytes: 2_000,
        headerBytes: 2_000,
        requests: 100,
        callRecords: 100,
      },
      ...options.settings,
    },
    incarnation: options.incarnation ?? 'entry-1-1',
    clock: {monotonicMs: () => performance.now(), wallMs: () => Date.now()},
    random: options.random ?? (() => 0.5),
    randomId: () => (++idCount).toString(16).padStart(32, '0'),
    log: {debug: noop, info: noop, warn: noop, error: console.error},
    metrics: {
      refused: reason => increment(`refused.${reason}`),
      retried: reason => increment(`retried.${reason}`),
      count: (name, tag) =>
        increment(tag === undefined ? name : `${name}.${tag}`),
      timing: noop,
      gauge: noop,
      totals: () => counters,
    },
    configService: undefined as never,
    vms$: harness.vms$,
    configuration: {
      configuration$: new BehaviorSubject<Configuration | undefined>(
        configuration,
      ),
      current: () => configuration,
      revision: () => configuration.revision,
      isReady: () => true,
      catchUp: async revision => {
        harness.catchUps.push(revision);
        return true;
      },
    },
    pauseMs,
    pauses$: EMPTY,
  };
}

async function waitUntilReady(url: string): Promise<void> {
  for (let i = 0; i < 100; i++) {
    if ((await fetch(`${url}/readyz`)).ok) return;
    await sleep(10);
  }
  throw new Error('entry did not become ready within 1 s');
}

/** A running target with its record in the VM list. */
export type ListedNode = Pick<FakeTarget, 'vm' | 'close'>;

/** Starts an entry with the given targets and waits until it is ready. */
export async function startHarness(
  targets: readonly ListedNode[],
  options: HarnessOptions = {},
): Promise<Harness> {
  const shared = {
    counters: {} as Record<string, number>,
    catchUps: [] as number[],
    vms$: new BehaviorSubject<readonly VM[]>(targets.map(({vm}) => vm)),
  };
  const role = startEntry(contextOf(shared, options), {
    balancerLagMs: 50,
    ...options,
  });
  await role.start('127.0.0.1:0');
  const url = `http://${role.callerAddress()}`;
  await waitUntilReady(url);
  const post: Harness['post'] = (path, body, headers = {}) =>
    fetch(`${url}${path}`, {
      method: 'POST',
      headers: {authorization: `Bearer ${CALLER_KEY}`, ...headers},
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
  return {
    ...shared,
    role,
    url,
    post,
    chat: (body = {}, headers = {}) =>
      post(
        '/v1/chat/completions',
        {
          model: 'veil',
          messages: [{role: 'user', content: 'hello'}],
          ...body,
        },
        headers,
      ),
    async close() {
      role.beginStop();
      await new Promise<void>(resolve => {
        role.stopped$.subscribe({complete: resolve});
      });
      await Promise.all(targets.map(target => target.close()));
    },
  };
}

/** Fields of JSON answers that tests read. */
export interface Answer {
  readonly id: string;
  readonly model: string;
  readonly choices: readonly {readonly message: {readonly content: string}}[];
  readonly ticket: string;
  readonly error: {readonly reason: string; readonly outcome: string};
}

/** Parses the JSON body of a response. */
export async function parseAnswer(response: Response): Promise<Answer> {
  return (await response.json()) as Answer;
}

/** Parses a streamed answer. `done` is true if it ended with `[DONE]`. */
export function readEvents(text: string): {
  content: string;
  done: boolean;
  error?: {reason: string; outcome: string};
} {
  const events = text
    .split('\n\n')
    .filter(event => event.startsWith('data: '))
    .map(event => event.slice('data: '.length));
  const parsed = events
    .filter(event => event !== '[DONE]')
    .map(event => JSON.parse(event));
  return {
    content: parsed
      .map(event => event.choices?.[0]?.delta?.content ?? '')
      .join(''),
    done: events.at(-1) === '[DONE]',
    error: parsed.at(-1)?.error,
  };
}
