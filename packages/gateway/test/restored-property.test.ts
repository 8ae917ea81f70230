import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import fc from 'fast-check';
import {comparePositions, pollTiming, watchTiming} from '@balsamnotch/core';
import {createDirectory, type Directory} from '../src/node/directory.js';
import {CHANGE_SOURCE} from '../src/node/freshness.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {
  openOperatorExchange,
  type OperatorExchange,
} from '../src/node/operatorexchange.js';
import {createStoreModel} from './storemodel.js';
import {deliver, QUIET_LOG} from './support.js';

/** Time within which a change must be in force, in milliseconds. */
const BOUND_MS = 2_000;

/** Step of the virtual clock, in milliseconds. */
const STEP_MS = 20;

/** Time in which writes, returns of the store and outages begin, in milliseconds. */
const ACTIVE_MS = 12_000;

/** Simulated time of one run, in milliseconds: after all outages, three times the bound. */
const TEST_DURATION_MS = ACTIVE_MS + 4_000 + 3 * BOUND_MS;

/**
 * Most calls of a node to the store: one in each interval after a hint, a tenth of
 * the bound, and the first retries of each outage.
 */
const MAX_CALLS = TEST_DURATION_MS / (BOUND_MS / 10) + 60;

const NODES = 3;

interface Outage {
  readonly node: number;
  readonly fromMs: number;
  readonly forMs: number;
}

interface Return {
  readonly atMs: number;
  readonly awayMs: number;
  readonly lagMs: number;
}

interface Plan {
  readonly writes: ReadonlyArray<{atMs: number; kind: 'routes' | 'adapter'}>;
  readonly returns: readonly Return[];
  readonly outages: readonly Outage[];
  /** Start times of the nodes, in milliseconds. */
  readonly starts: readonly number[];
  /** Whether the operator writes again what the store has lost. */
  readonly isWrittenAgain: boolean;
}

const time = fc.integer({min: 500, max: ACTIVE_MS});

const plans: fc.Arbitrary<Plan> = fc.record({
  writes: fc.array(
    fc.record({
      atMs: time,
      kind: fc.constantFrom('routes' as const, 'adapter' as const),
    }),
    {minLength: 1, maxLength: 10},
  ),
  returns: fc.array(
    fc.record({
      atMs: time,
      awayMs: fc.integer({min: 0, max: 2_000}),
      lagMs: fc.integer({min: 0, max: 9_000}),
    }),
    {minLength: 1, maxLength: 3},
  ),
  outages: fc.array(
    fc.record({
      node: fc.nat(NODES - 1),
      fromMs: time,
      forMs: fc.integer({min: 100, max: 4_000}),
    }),
    {maxLength: 3},
  ),
  starts: fc.array(fc.integer({min: 0, max: 9_000}), {
    minLength: NODES,
    maxLength: NODES,
  }),
  isWrittenAgain: fc.boolean(),
});

interface TestNode {
  readonly directory: Directory;
  readonly calls: () => number;
}

describe('nodes that follow a store that returns from older copies', () => {
  const clock = {ms: 0};
  const openResources: Array<{close: () => void}> = [];

  beforeEach(() => mock.timers.enable({apis: ['setTimeout', 'setInterval']}));
  afterEach(() => mock.timers.reset());

  /** Connects two nodes by a stream with 5 ms of delay. */
  const connect = (one: TestNode, other: TestNode) => {
    const ends: OperatorExchange[] = [];
    const openEnd = ({directory}: TestNode, index: number) => {
      ends[index] = openOperatorExchange({
        directory,
        source: CHANGE_SOURCE.entry,
        send: message => deliver(() => ends[1 - index], message),
        log: QUIET_LOG,
        metrics: createGatewayMetrics(),
      });
      openResources.push(ends[index]);
    };
    openEnd(one, 0);
    openEnd(other, 1);
  };
  const versionsOf = (directory: Directory) => ({
    routes: directory.current().table?.version ?? 0,
    adapter: directory.current().adapterVersions.get('m/a') ?? 0,
  });

  const play = async (plan: Plan) => {
    clock.ms = 0;
    const store = createStoreModel(clock);
    const nodes: Array<TestNode | undefined> = [];
    const inForce = new Map<number, {routes: number; adapter: number}>();
    const newest = {routes: 1, adapter: 0};
    const startNode = (index: number) => {
      const isCutOff = () =>
        plan.outages.some(
          ({node, fromMs, forMs}) =>
            node === index && clock.ms >= fromMs && clock.ms < fromMs + forMs,
        );
      const {source, calls} = store.sourceFor(isCutOff);
      const directory = createDirectory({
        source,
        clock: {monotonicMs: () => clock.ms, wallMs: () => 0},
        log: QUIET_LOG,
        metrics: createGatewayMetrics(),
        random: () => 0.5,
        changeBoundMs: BOUND_MS,
        timing: index === 1 ? watchTiming(BOUND_MS) : pollTiming(BOUND_MS),
        fetchPeerSnapshot: after =>
          Promise.resolve(
            nodes
              .flatMap((node, peer) =>
                peer === index ? [] : (node?.directory.snapshot() ?? []),
              )
              .filter(({position}) => comparePositions(position, after) > 0)
              .sort((a, b) => comparePositions(b.position, a.position))[0],
          ),
      });
      openResources.push(directory);
      const node = {directory, calls};
      nodes.forEach(other => other && connect(node, other));
      nodes[index] = node;
    };
    const schedule = (atMs: number, run: () => void) => setTimeout(run, atMs);
    store.write('routes', newest.routes);
    for (const {atMs, kind} of plan.writes) {
      schedule(atMs, () => {
        if (store.isAway) return;
        newest[kind] += 1;
        store.write(kind, newest[kind]);
      });
    }
    for (const {atMs, awayMs, lagMs} of plan.returns) {
      schedule(atMs, () => {
        store.isAway = true;
        const lost = store.returnFromCopy(lagMs);
        setTimeout(() => {
          store.isAway = false;
          if (!plan.isWrittenAgain) return;
          for (const {kind, version} of lost) store.write(kind, version);
        }, awayMs);
      });
    }
    plan.starts.forEach((atMs, index) =>
      schedule(atMs, () => startNode(index)),
    );
    while (clock.ms < TEST_DURATION_MS) {
      await new Promise(resolve => setImmediate(resolve));
      clock.ms += STEP_MS;
      mock.timers.tick(STEP_MS);
      nodes.forEach((node, index) => {
        if (node === undefined) return;
        const before = inForce.get(index) ?? {routes: 0, adapter: 0};
        const now = versionsOf(node.directory);
        assert.ok(
          now.routes >= before.routes && now.adapter >= before.adapter,
          `node ${index} went from ${JSON.stringify(before)} to ${JSON.stringify(now)}`,
        );
        inForce.set(index, now);
      });
    }
    const running = nodes.flatMap(node => node ?? []);
    const known = [...inForce.values()];
    const expected = plan.isWrittenAgain
      ? newest
      : {
          routes: Math.max(...known.map(({routes}) => routes)),
          adapter: Math.max(...known.map(({adapter}) => adapter)),
        };
    for (const {directory, calls} of running) {
      assert.deepEqual(versionsOf(directory), expected);
      assert.ok(calls() <= MAX_CALLS, `${calls()} calls`);
    }
  };

  // Nodes dropped the answers of the new history, called the store in a loop, and a version that
  // the store had lost reached no other node.
  it('never go back, agree on the newest versions after a calm time, and call the store at a bounded rate', async () => {
    await fc.assert(
      fc.asyncProperty(plans, async plan => {
        try {
          await play(plan);
        } finally {
          for (const {close} of openResources.splice(0)) close();
          // Ends the calls that the nodes left open.
          mock.timers.reset();
          mock.timers.enable({apis: ['setTimeout', 'setInterval']});
        }
      }),
      {numRuns: 60, seed: 26},
    );
  });
});
