import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  ADAPTER_STATE,
  ATTEMPT_END,
  DELIVERY,
  LAPSE_GRACE_MS,
  REQUEST_KIND,
  UNOBSERVED,
  afterBreak,
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
  serviceFor,
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

function route(part: Partial<Route>): Route {
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
    ...part,
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
    slots: 6,
    leaving,
    incarnationMs: 1,
    models: [],
  };
}

function candidate(part: Partial<PlacementCandidate>): PlacementCandidate {
  return {
    id: 'x',
    rankName: part.id ?? 'x',
    isLocal: true,
    isDoubtful: false,
    health: UNOBSERVED,
    inProgress: 0,
    waiting: 0,
    slots: 64,
    loads: 0,
    modelReadyMs: 0,
    ...part,
  };
}

describe('forwarded requests', () => {
  describe('retry after', () => {
    it('is not before room is expected, and spreads those who were refused together', () => {
      assert.equal(spreadRetryAfter(2_000, 0), 2_000);
      assert.equal(spreadRetryAfter(2_000, 0.5), 3_000);
      assert.equal(spreadRetryAfter(20, 0), 300);
      assert.equal(spreadRetryAfter(60_000, 0), 10_000);
    });

    it('is a short spread time when nobody knows', () => {
      assert.equal(spreadRetryAfter(0, 0), 300);
      assert.equal(spreadRetryAfter(0, 0.5), 650);
    });
  });

  describe('routes', () => {
    it('takes the longest prefix of the host (a split route would go to the old service)', () => {
      const routes = table([
        route({name: 'short'}),
        route({name: 'long', prefix: '/a/b/'}),
        route({name: 'other', host: 'b.example', prefix: '/a/b/c/'}),
      ]);
      assert.equal(matchRoute(routes, 'a.example', '/a/b/c/d')?.name, 'long');
      assert.equal(matchRoute(routes, 'a.example', '/a/x')?.name, 'short');
      assert.equal(matchRoute(routes, 'a.example', '/b/'), undefined);
    });

    it('reads a host with a port and in capitals (a proper request would get 404)', () => {
      assert.equal(normalizedHost('A.Example:8080'), 'a.example');
    });

    it('divides requests by weight', () => {
      const split = route({
        shares: [
          {service: 'a', weight: 90},
          {service: 'b', weight: 10},
        ],
      });
      assert.equal(serviceFor(split, 0.89), 'a');
      assert.equal(serviceFor(split, 0.91), 'b');
    });

    it('treats a stream as not idempotent unless it may be resumed', () => {
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
    const ran = (state: DeliveryState) =>
      state.mayHaveRun ||
      (state.end !== ATTEMPT_END.notRun && state.end !== ATTEMPT_END.notSent);

    it('never repeats a request that is not idempotent and may have run', () => {
      fc.assert(
        fc.property(states, state => {
          const step = nextDelivery(state);
          return !(
            step === DELIVERY.retry &&
            !state.isIdempotent &&
            ran(state)
          );
        }),
      );
    });

    it('promises that a request did not run only when none of its sends may have run', () => {
      fc.assert(
        fc.property(
          states,
          state => nextDelivery(state) !== DELIVERY.refuse || !ran(state),
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

    it('spends retry budget on every retry that follows a send', () => {
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

    it('drops a target at once when its entry is removed', () => {
      assert.deepEqual([...withoutTarget(listed, 'a', 10, 0).keys()], ['b']);
    });

    it('keeps lapsed targets after an outage until they are back or the grace has ended (a node would know no targets)', () => {
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

    it('knows one target at an address, the one that started last (requests to the other are refused there)', () => {
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

    it('does not extend the grace when the entry is missing again', () => {
      const once = withoutTarget(listed, 'a', 0, 50);
      const twice = withoutTarget(once, 'a', 40, 90);
      assert.equal(twice.get('a')?.missingUntilMs, 50);
    });
  });

  describe('health', () => {
    it('avoids a silent target for longer each time, and forgets it on a success', () => {
      const once = afterSilence(UNOBSERVED, 0);
      const twice = afterSilence(once, 0);
      assert.ok(twice.avoidUntilMs > once.avoidUntilMs);
      assert.equal(afterSuccess(twice, 10, 0).avoidUntilMs, 0);
    });

    const brokenOnce = afterBreak(UNOBSERVED, 0);

    it('prefers other targets after one lost answer (the next unsafe call could be lost as well)', () => {
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

    it('gives work to a target that was not used for a while (one that recovered would stay idle)', () => {
      const slow = afterSuccess(UNOBSERVED, 900, 0);
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

    const withHolder = (inProgress: number) =>
      rankEngines(
        key,
        [
          candidate({id: 'a', adapter: ADAPTER_STATE.absent}),
          candidate({id: 'b', adapter: ADAPTER_STATE.absent}),
          candidate({id: 'c', adapter: ADAPTER_STATE.loaded, inProgress}),
        ],
        0,
      )[0]?.id;

    it('keeps an adapter where it is loaded (each move is a load from the weight store)', () => {
      assert.equal(withHolder(18), 'c');
    });

    it('adds a copy of a popular adapter when its engine is crowded (one engine would serve it late)', () => {
      assert.notEqual(withHolder(48), 'c');
    });

    it('goes back to the engine that held the adapter before, also when it is busier (each move is a fetch from the weight store)', () => {
      const all = ['a', 'b', 'c'].map(id =>
        candidate({id, adapter: ADAPTER_STATE.absent}),
      );
      for (const {id} of all) {
        const withRecent = all.map(one =>
          one.id === id
            ? {
                ...one,
                adapter: ADAPTER_STATE.recent,
                inProgress: 20,
                loads: 3,
              }
            : one,
        );
        assert.equal(rankEngines(key, withRecent, 0)[0]?.id, id);
      }
    });

    it('prefers a distant load to an engine that still loads its base model (a cold request waited 1.5 s there)', () => {
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

    it('chooses alike at all entries for an adapter that nobody holds', () => {
      const all = ['a', 'b', 'c', 'd'].map(id =>
        candidate({id, adapter: ADAPTER_STATE.absent}),
      );
      const first = rankEngines(key, all, 0)[0]?.id;
      assert.equal(rankEngines(key, [...all].reverse(), 0)[0]?.id, first);
    });

    it('leaves out an engine whose target node does not answer unless it holds the adapter', () => {
      const ranked = rankEngines(
        key,
        [candidate({id: 'a', adapter: ADAPTER_STATE.unavailable})],
        0,
      );
      assert.equal(ranked.length, 0);
    });

    it('prefers a sound engine to one that stays silent or fails', () => {
      const silent = afterSilence(UNOBSERVED, 0);
      const failing = Array.from({length: 8}).reduce<typeof silent>(
        health => afterFailure(health, 0),
        UNOBSERVED,
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

    it('uses a doubtful target only when there is no other', () => {
      const ranked = rankPlain(
        [
          candidate({id: 'a', isDoubtful: true}),
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
    it('gives whole events only, however the bytes are cut (a resumed stream would have a seam within an event)', () => {
      const text = Array.from(
        {length: 6},
        (_, n) => `id: ${n + 1}\ndata: ${'x'.repeat(n * 7)}\n\n`,
      ).join('');
      fc.assert(
        fc.property(
          fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}),
          sizes => {
            const splitter = createEventSplitter();
            let out = '';
            let next = 1;
            let at = 0;
            for (let n = 0; at < text.length; n++) {
              const size = sizes[n % sizes.length] ?? 1;
              const batch = splitter.push(
                Buffer.from(text.slice(at, at + size)),
              );
              at += size;
              if (batch === undefined) continue;
              assert.equal(batch.firstId, next);
              assert.ok(batch.bytes.toString().endsWith('\n\n'));
              next = (batch.lastId ?? 0) + 1;
              out += batch.bytes.toString();
            }
            assert.equal(out, text);
            assert.equal(splitter.pending, 0);
          },
        ),
      );
    });
  });

  describe('fencing', () => {
    it('grows over restarts of the process and of the engine without a clock of its own', () => {
      const firstLife = orderFence(1_000, 0);
      const secondLife = orderFence(1_000, 3);
      const afterEngineRestart = orderFence(9_000, 0);
      assert.ok(secondLife > firstLife);
      assert.ok(afterEngineRestart > secondLife);
    });
  });
});
