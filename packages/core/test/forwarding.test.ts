import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  ADAPTER_STATE,
  ATTEMPT_END,
  DELIVERY,
  LAPSE_GRACE_MS,
  REQUEST_KIND,
  UNKNOWN_HEALTH,
  afterBrokenConnection,
  afterFailure,
  afterSilence,
  afterSuccess,
  createEventSplitter,
  isIdempotent,
  matchRoute,
  nextDelivery,
  normalizedHost,
  orderFence,
  rankEngines,
  rankPlain,
  pickService,
  spreadRetryAfter,
  withListedTargets,
  withTarget,
  withoutExpired,
  withoutTarget,
  type DeliveryState,
  type PlacementCandidate,
  type RegisteredTarget,
  type Registry,
  type Route,
  type RouteTable,
} from '../src/index.js';

function route(overrides: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'a.example',
    prefix: '/a/',
    kind: REQUEST_KIND.safe,
    timeoutMs: 2_000,
    latencyObjectiveMs: 300,
    gapObjectiveMs: 0,
    priority: 0,
    maxAttempts: 2,
    resumable: false,
    shares: [{service: 's', weight: 1}],
    ...overrides,
  };
}

function table(routes: readonly Route[]): RouteTable {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return {version: 1, routes, services: new Map(), limits};
}

function target(id: string, leaving = false): RegisteredTarget {
  return {
    id,
    service: 's',
    address: `127.0.0.1:${id.charCodeAt(0)}`,
    failureDomain: 'd',
    softwareVersion: 'v1',
    slots: 6,
    leaving,
    incarnationMs: 1,
    models: [],
  };
}

function candidate(overrides: Partial<PlacementCandidate>): PlacementCandidate {
  return {
    id: 'x',
    rankName: overrides.id ?? 'x',
    isLocal: true,
    isPossiblyGone: false,
    health: UNKNOWN_HEALTH,
    inProgress: 0,
    waiting: 0,
    slots: 64,
    loads: 0,
    modelReadyMs: 0,
    limitWaitMs: 0,
    ...overrides,
  };
}

describe('forwarded requests', () => {
  describe('retry-after time', () => {
    it('starts at the expected wait, limited to 300 ms to 10 s, and is spread at random (callers refused together would return together)', () => {
      assert.equal(spreadRetryAfter(2_000, 0), 2_000);
      assert.equal(spreadRetryAfter(2_000, 0.5), 3_000);
      assert.equal(spreadRetryAfter(20, 0), 300);
      assert.equal(spreadRetryAfter(60_000, 0), 10_000);
    });

    it('is short and spread at random when the expected wait is unknown', () => {
      assert.equal(spreadRetryAfter(0, 0), 300);
      assert.equal(spreadRetryAfter(0, 0.5), 650);
    });
  });

  describe('routes', () => {
    it('match the longest prefix of the host (a split route would go to the old service)', () => {
      const routes = table([
        route({name: 'short'}),
        route({name: 'long', prefix: '/a/b/'}),
        route({name: 'other', host: 'b.example', prefix: '/a/b/c/'}),
      ]);
      assert.equal(matchRoute(routes, 'a.example', '/a/b/c/d')?.name, 'long');
      assert.equal(matchRoute(routes, 'a.example', '/a/x')?.name, 'short');
      assert.equal(matchRoute(routes, 'a.example', '/b/'), undefined);
    });

    it('accept a host with a port and in upper case (a valid request would get 404)', () => {
      assert.equal(normalizedHost('A.Example:8080'), 'a.example');
    });

    it('split requests by weight', () => {
      const split = route({
        shares: [
          {service: 'a', weight: 90},
          {service: 'b', weight: 10},
        ],
      });
      assert.equal(pickService(split, 0.89), 'a');
      assert.equal(pickService(split, 0.91), 'b');
    });

    it('treat a stream as idempotent only if it may be resumed', () => {
      const {streaming, unsafe} = REQUEST_KIND;
      assert.equal(isIdempotent(route({kind: streaming})), false);
      assert.equal(
        isIdempotent(route({kind: streaming, resumable: true})),
        true,
      );
      assert.equal(isIdempotent(route({kind: unsafe, resumable: true})), false);
    });
  });

  describe('delivery', () => {
    const ends = Object.values(ATTEMPT_END);
    const states = fc.record<DeliveryState>({
      end: fc.constantFrom(...ends),
      isIdempotent: fc.boolean(),
      sends: fc.integer({min: 0, max: 4}),
      maxAttempts: fc.integer({min: 1, max: 4}),
      mayHaveRun: fc.boolean(),
      remainingMs: fc.integer({min: -100, max: 5_000}),
      hasBudget: fc.boolean(),
    });
    const mayHaveRun = (state: DeliveryState) =>
      state.mayHaveRun ||
      (state.end !== ATTEMPT_END.notRun && state.end !== ATTEMPT_END.notSent);

    it('never repeats a non-idempotent request that may have run', () => {
      fc.assert(
        fc.property(states, state => {
          const step = nextDelivery(state);
          return !(
            step === DELIVERY.retry &&
            !state.isIdempotent &&
            mayHaveRun(state)
          );
        }),
      );
    });

    it('states that a request did not run only when no attempt may have run it', () => {
      fc.assert(
        fc.property(
          states,
          state =>
            nextDelivery(state) !== DELIVERY.refuse || !mayHaveRun(state),
        ),
      );
    });

    it('sends to no more targets than the route allows', () => {
      fc.assert(
        fc.property(
          states,
          state =>
            nextDelivery(state) !== DELIVERY.retry ||
            state.sends < state.maxAttempts,
        ),
      );
    });

    it('requires retry budget for every retry after a send', () => {
      fc.assert(
        fc.property(
          states,
          state =>
            nextDelivery(state) !== DELIVERY.retry ||
            state.hasBudget ||
            state.end === ATTEMPT_END.notSent,
        ),
      );
    });
  });

  describe('registry', () => {
    const listed = withTarget(withTarget(new Map(), target('a')), target('b'));

    it('removes a target immediately when its entry is removed outside a grace period', () => {
      assert.deepEqual([...withoutTarget(listed, 'a', 10, 0).keys()], ['b']);
    });

    it('keeps targets whose entries expired in an outage until they return or the grace period ends (a node would have no targets)', () => {
      const graceUntilMs = 100 + LAPSE_GRACE_MS;
      let registry: Registry = withListedTargets(
        listed,
        [target('b')],
        100,
        graceUntilMs,
      );
      assert.equal(registry.get('a')?.missingUntilMs, graceUntilMs);
      assert.equal(withoutExpired(registry, graceUntilMs).has('a'), false);
      registry = withTarget(registry, target('a'));
      assert.equal(withoutExpired(registry, graceUntilMs).has('a'), true);
    });

    it('keeps only the target that started last at an address (requests for the other would be refused)', () => {
      const at = (id: string, incarnationMs: number) => ({
        ...target(id),
        address: '127.0.0.1:1',
        incarnationMs,
      });
      const older = at('old', 5);
      const newer = at('new', 9);
      for (const order of [
        [older, newer],
        [newer, older],
      ]) {
        const registry = order.reduce<Registry>(withTarget, new Map());
        assert.deepEqual([...registry.keys()], ['new']);
      }
    });

    it('does not extend the grace period when the entry is missing again', () => {
      const missingOnce = withoutTarget(listed, 'a', 0, 50);
      const missingTwice = withoutTarget(missingOnce, 'a', 40, 90);
      assert.equal(missingTwice.get('a')?.missingUntilMs, 50);
    });
  });

  describe('health', () => {
    it('avoids a silent target for longer after each silence, and stops after a success', () => {
      const silentOnce = afterSilence(UNKNOWN_HEALTH, 0);
      const silentTwice = afterSilence(silentOnce, 0);
      assert.ok(silentTwice.avoidUntilMs > silentOnce.avoidUntilMs);
      assert.equal(afterSuccess(silentTwice, 10, 0).avoidUntilMs, 0);
    });

    const brokenOnce = afterBrokenConnection(UNKNOWN_HEALTH, 0);

    it('prefers other targets after one lost answer (the next unsafe call could be lost too)', () => {
      const ranked = rankPlain(
        [
          candidate({id: 'a', health: brokenOnce}),
          candidate({id: 'b', inProgress: 4, slots: 6}),
        ],
        10,
        () => 0,
      );
      assert.equal(ranked[0]?.id, 'b');
    });

    it('sends work to a target that was unused for a while (a recovered target would stay idle)', () => {
      const slow = afterSuccess(UNKNOWN_HEALTH, 900, 0);
      for (const health of [brokenOnce, slow]) {
        const ranked = rankPlain(
          [
            candidate({id: 'a', health, slots: 6}),
            candidate({id: 'b', inProgress: 3, slots: 6}),
          ],
          20_000,
          () => 0,
        );
        assert.equal(ranked[0]?.id, 'a');
      }
    });
  });

  describe('placement', () => {
    const key = 'm/a1';

    const chosenWithHolder = (inProgress: number) =>
      rankEngines(
        key,
        [
          candidate({id: 'a', adapter: ADAPTER_STATE.absent}),
          candidate({id: 'b', adapter: ADAPTER_STATE.absent}),
          candidate({id: 'c', adapter: ADAPTER_STATE.loaded, inProgress}),
        ],
        0,
      )[0]?.id;

    it('prefers the engine that has the adapter loaded (a move costs a load from the weight store)', () => {
      assert.equal(chosenWithHolder(18), 'c');
    });

    it('chooses another engine for a popular adapter when its engine is overloaded (requests would be late)', () => {
      assert.notEqual(chosenWithHolder(48), 'c');
    });

    it('prefers the engine that had the adapter recently, even when busier (a move costs a fetch from the weight store)', () => {
      const all = ['a', 'b', 'c'].map(id =>
        candidate({id, adapter: ADAPTER_STATE.absent}),
      );
      for (const {id} of all) {
        const withRecent = all.map(other =>
          other.id === id
            ? {
                ...other,
                adapter: ADAPTER_STATE.recent,
                inProgress: 20,
                loads: 3,
              }
            : other,
        );
        assert.equal(rankEngines(key, withRecent, 0)[0]?.id, id);
      }
    });

    it('prefers an engine with queued loads to one that still loads its base model (a cold request waited 1.5 s there)', () => {
      const ready = candidate({
        id: 'ready',
        adapter: ADAPTER_STATE.absent,
        loads: 6,
      });
      const booting = candidate({
        id: 'booting',
        adapter: ADAPTER_STATE.absent,
        modelReadyMs: 2_000,
      });
      for (const key of ['a', 'b', 'c', 'd']) {
        const ranked = rankEngines(key, [ready, booting], 0);
        assert.equal(ranked[0]?.id, 'ready');
      }
    });

    it('chooses the same engine at all entries for an adapter that no engine has loaded', () => {
      const all = ['a', 'b', 'c', 'd'].map(id =>
        candidate({id, adapter: ADAPTER_STATE.absent}),
      );
      const first = rankEngines(key, all, 0)[0]?.id;
      assert.equal(rankEngines(key, [...all].reverse(), 0)[0]?.id, first);
    });

    it('excludes an engine whose target node does not answer unless it has the adapter loaded', () => {
      const ranked = rankEngines(
        key,
        [candidate({id: 'a', adapter: ADAPTER_STATE.unavailable})],
        0,
      );
      assert.equal(ranked.length, 0);
    });

    it('prefers a healthy engine to one that is silent or fails', () => {
      const silent = afterSilence(UNKNOWN_HEALTH, 0);
      const failing = Array.from({length: 8}).reduce<typeof silent>(
        health => afterFailure(health, 0),
        UNKNOWN_HEALTH,
      );
      for (const health of [silent, failing]) {
        const ranked = rankEngines(
          key,
          [
            candidate({id: 'a', adapter: ADAPTER_STATE.loaded, health}),
            candidate({id: 'b', adapter: ADAPTER_STATE.absent}),
          ],
          1,
        );
        assert.equal(ranked[0]?.id, 'b');
      }
    });

    it('ranks a target that may be gone after all others', () => {
      const ranked = rankPlain(
        [
          candidate({id: 'a', isPossiblyGone: true}),
          candidate({id: 'b', inProgress: 50, slots: 6}),
        ],
        0,
        () => 0,
      );
      assert.deepEqual(
        ranked.map(({id}) => id),
        ['b', 'a'],
      );
    });
  });

  describe('event streams', () => {
    it('are returned as complete events for any chunk sizes (a resumed stream would break within an event)', () => {
      const text = Array.from(
        {length: 6},
        (_, n) => `id: ${n + 1}\ndata: ${'x'.repeat(n * 7)}\n\n`,
      ).join('');
      fc.assert(
        fc.property(
          fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}),
          sizes => {
            const splitter = createEventSplitter();
            let output = '';
            let nextId = 1;
            let offset = 0;
            for (let n = 0; offset < text.length; n++) {
              const size = sizes[n % sizes.length] ?? 1;
              const batch = splitter.push(
                Buffer.from(text.slice(offset, offset + size)),
              );
              offset += size;
              if (batch === undefined) continue;
              assert.equal(batch.firstId, nextId);
              assert.ok(batch.bytes.toString().endsWith('\n\n'));
              nextId = (batch.lastId ?? 0) + 1;
              output += batch.bytes.toString();
            }
            assert.equal(output, text);
            assert.equal(splitter.pendingBytes, 0);
          },
        ),
      );
    });
  });

  describe('fencing', () => {
    it('increases with restarts of the process and of the engine without using a clock of the process', () => {
      const firstRun = orderFence(1_000, 0);
      const secondRun = orderFence(1_000, 3);
      const afterEngineRestart = orderFence(9_000, 0);
      assert.ok(secondRun > firstRun);
      assert.ok(afterEngineRestart > secondRun);
    });
  });
});
