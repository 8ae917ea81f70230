import assert from 'node:assert/strict';
import {after, afterEach, beforeEach, describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import {
  createPauseMonitor,
  serveConnect,
  systemClock,
} from '@balsamnotch/daemon';
import {
  HoldResponseSchema,
  Placement,
  type HoldRequest,
  type HoldResponse,
} from '@balsamnotch/wire';
import {Ok} from 'ts-results-es';
import {startTargetNode} from '../src/agent/index.js';
import type {EngineState} from '../src/agent/engine.js';
import {openHoldStream, type HoldStream} from '../src/entry/hold.js';
import type {GatewayContext} from '../src/node/context.js';
import {createDirectory} from '../src/node/directory.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {SendQueue} from '../src/node/sendqueue.js';
import {QUIET_LOG} from './support.js';

const pauses = createPauseMonitor(systemClock);

/** A directory whose source never answers. */
const directory = createDirectory({
  source: {
    read: () => new Promise(() => undefined),
    watch: () => new Promise(() => undefined),
  },
  clock: systemClock,
  log: QUIET_LOG,
  metrics: createGatewayMetrics(),
});
after(() => directory.close());

function createContext(name: string): GatewayContext {
  return {
    name,
    failureDomain: 'd1',
    clock: systemClock,
    random: () => 0.5,
    log: QUIET_LOG,
    metrics: createGatewayMetrics(),
    directory,
    pauses,
  };
}

/** Waits up to 3 s for a condition; fails with the message if it stays false. */
async function waitUntil(
  condition: () => boolean,
  message: string,
): Promise<void> {
  for (let i = 0; i < 300 && !condition(); i++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  assert.ok(condition(), message);
}

const leaseRequest = {
  requestId: 'r',
  model: 'm',
  adapter: 'a1',
  version: 0,
  rank: 0,
  objectiveMs: 600,
  waitMs: 200,
};

after(() => pauses.close());

describe('hold stream to a target node', () => {
  let stream: HoldStream;
  let closeNode: () => Promise<void>;

  afterEach(async () => {
    stream.close();
    await closeNode();
  });

  describe('in a deployment with 48 entries', () => {
    let responses: SendQueue<HoldResponse>;
    let receivedRequests: HoldRequest[];

    beforeEach(async () => {
      responses = new SendQueue();
      receivedRequests = [];
      const read = async (requests: AsyncIterable<HoldRequest>) => {
        for await (const request of requests) receivedRequests.push(request);
      };
      async function* hold(requests: AsyncIterable<HoldRequest>) {
        read(requests).catch(() => undefined);
        yield* responses;
      }
      const server = await serveConnect(
        '127.0.0.1:0',
        createGatewayMetrics(),
        (router: ConnectRouter) => router.service(Placement, {hold}),
      );
      closeNode = async () => {
        responses.close();
        await server.close();
      };
      stream = openHoldStream(server.address, createContext('entry'));
      const report = {incarnationMs: 1, entries: 48};
      responses.push(create(HoldResponseSchema, {report}));
      await waitUntil(
        () => stream.report() !== undefined,
        'the first report does not arrive',
      );
    });

    // Unanswered leases waited until the silence timeout of the stream, which is 3 s
    // with many entries.
    it('ends a lease that the target node does not answer shortly after its wait', async () => {
      const startedAtMs = performance.now();
      const {reason} = await stream.acquire(leaseRequest).answer;
      assert.equal(reason, 'target_node_silent');
      assert.ok(performance.now() - startedAtMs < 1_500);
      assert.ok(stream.report() !== undefined);
    });

    // Until then the last report, which does not list the adapter, is outdated.
    it('treats a granted adapter as held until the next report', async () => {
      const lease = stream.acquire(leaseRequest);
      await waitUntil(
        () => receivedRequests.some(({acquire}) => acquire.length > 0),
        'the target node does not receive the lease request',
      );
      const id = receivedRequests.flatMap(({acquire}) => acquire)[0]?.id ?? 0;
      responses.push(
        create(HoldResponseSchema, {grants: [{id, granted: true}]}),
      );
      assert.equal((await lease.answer).reason, '');
      assert.equal(stream.isGrantedSinceReport('m', 'a1'), true);
      assert.equal(stream.isGrantedSinceReport('m', 'a2'), false);
      const report = {incarnationMs: 1, entries: 48, running: 1};
      responses.push(create(HoldResponseSchema, {report}));
      await waitUntil(
        () => !stream.isGrantedSinceReport('m', 'a1'),
        'the grant stays in effect after the next report',
      );
    });
  });

  describe('from an actual target node', () => {
    // Periodic reports are infrequent with many entries, so the entry would choose
    // targets by an outdated report.
    it('receives an up-to-date report with a grant', async () => {
      let running = 0;
      const state = (): EngineState => ({
        incarnationMs: 1,
        acceptedOrders: 0,
        isBusy: false,
        leaving: false,
        remainingMs: 0,
        running,
        waiting: 0,
        cacheUsed: 0,
        cacheTotal: 1,
        models: [{model: 'm', adapters: [{adapter: 'a1', version: 1}]}],
        loading: [],
      });
      const engine = {
        state: async () => Ok(state()),
        order: async () => Ok(undefined),
      };
      const port = 20_000 + Math.floor(Math.random() * 20_000);
      const address = `127.0.0.1:${port}`;
      const agent = await startTargetNode(
        createContext('node'),
        {listen: address, service: 's'},
        engine,
      );
      const otherStreams = Array.from({length: 40}, (_, i) =>
        openHoldStream(address, createContext(`other-${i}`)),
      );
      closeNode = async () => {
        for (const otherStream of otherStreams) otherStream.close();
        await agent.stop();
      };
      stream = openHoldStream(address, createContext('entry'));
      await waitUntil(
        () => stream.report()?.entries === 41,
        'not all streams are open',
      );
      // Wait for a periodic report, so the next one is almost a second away.
      const previousReport = stream.report();
      await waitUntil(
        () => stream.report() !== previousReport,
        'no further report arrives',
      );
      running = 7;
      // Time for the target node to poll the engine twice.
      await new Promise(resolve => setTimeout(resolve, 250));
      const startedAtMs = performance.now();
      assert.equal((await stream.acquire(leaseRequest).answer).reason, '');
      assert.equal(stream.report()?.running, 7);
      assert.ok(performance.now() - startedAtMs < 300);
    });
  });
});
