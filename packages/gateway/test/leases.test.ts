import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  LEASE_REFUSAL,
  Leases,
  type LeaseHandle,
  type LeaseRequest,
} from '../src/agent/leases.js';

interface Asked {
  readonly lease: LeaseHandle;
  readonly answers: string[];
  /** Times until room is expected, with each answer. */
  readonly waits: number[];
}

function ask(
  leases: Leases,
  adapter: string,
  held: ReadonlySet<string>,
  part: Partial<LeaseRequest> = {},
): Asked {
  const answers: string[] = [];
  const waits: number[] = [];
  const lease = leases.add(
    {
      requestId: 'r',
      model: 'm',
      adapter,
      version: 0,
      rank: 0,
      objectiveMs: 600,
      requestedAtMs: 0,
      waitDeadlineMs: 1_000,
      answer: (reason, retryAfterMs) => {
        answers.push(reason);
        waits.push(retryAfterMs);
      },
      ...part,
    },
    (_, name) => held.has(name),
  );
  return {lease, answers, waits};
}

describe('leases of an engine', () => {
  const holdsAll = () => true;

  describe('a rush on rare adapters', () => {
    it('refuses at once an adapter that could not be loaded in time (it would wait until its caller gives up)', () => {
      const leases = new Leases({maxWaitingAdapters: 3});
      const none = new Set<string>();
      for (const adapter of ['a', 'b', 'c']) {
        assert.deepEqual(ask(leases, adapter, none).answers, []);
      }
      assert.deepEqual(ask(leases, 'd', none).answers, [
        LEASE_REFUSAL.loadQueueFull,
      ]);
    });

    it('lets fewer wait when slots come free slowly (they would be served late, and hold slots meanwhile)', () => {
      const leases = new Leases({minWaitingAdapters: 2, maxWaitingAdapters: 8});
      const held = new Set<string>();
      const holds = (_: string, name: string) => held.has(name);
      let nowMs = 0;
      const waits = (name: string) =>
        ask(leases, name, held, {requestedAtMs: nowMs, waitDeadlineMs: 60_000});
      for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) waits(name);
      // Two adapters come in each second, while others wait all the time.
      for (const name of ['a', 'b', 'c']) {
        nowMs += 500;
        held.add(name);
        leases.grantAndExpire(holds, nowMs);
      }
      assert.deepEqual(waits('g').answers, [LEASE_REFUSAL.loadQueueFull]);
      for (const name of ['d', 'e', 'f']) held.add(name);
      leases.grantAndExpire(holds, nowMs);
      assert.deepEqual(waits('h').answers, []);
    });

    it('lets further requests join a load that is waited for', () => {
      const leases = new Leases({maxWaitingAdapters: 1});
      const none = new Set<string>();
      ask(leases, 'a', none);
      assert.deepEqual(ask(leases, 'a', none).answers, []);
    });

    it('keeps places for the highest rank', () => {
      const leases = new Leases({maxWaitingAdapters: 4, lowRankShare: 0.5});
      const none = new Set<string>();
      ask(leases, 'a', none);
      ask(leases, 'b', none);
      assert.deepEqual(ask(leases, 'c', none, {rank: 2}).answers, [
        LEASE_REFUSAL.loadQueueFull,
      ]);
      assert.deepEqual(ask(leases, 'c', none).answers, []);
    });

    it('grants a loaded adapter while others wait for loads', () => {
      const leases = new Leases({maxWaitingAdapters: 1});
      const held = new Set(['hot']);
      ask(leases, 'cold', held);
      const hot = ask(leases, 'hot', held);
      leases.grantAndExpire((_, name) => held.has(name), 0);
      assert.deepEqual(hot.answers, ['']);
    });
  });

  describe('three times the usual load', () => {
    it('grants as many as the batch serves well, and the next when one ends', () => {
      const leases = new Leases({maxGranted: () => 2});
      const held = new Set(['a']);
      const asked = [1, 2, 3].map(() => ask(leases, 'a', held));
      leases.grantAndExpire(holdsAll, 0);
      assert.deepEqual(
        asked.map(({answers}) => answers.length),
        [1, 1, 0],
      );
      asked[0]?.lease.release();
      leases.grantAndExpire(holdsAll, 0);
      assert.deepEqual(asked[2]?.answers, ['']);
    });

    it('grants the highest rank first', () => {
      const leases = new Leases({maxGranted: () => 1});
      const held = new Set(['a']);
      const low = ask(leases, 'a', held, {rank: 2});
      const high = ask(leases, 'a', held, {rank: 0, requestedAtMs: 5});
      leases.grantAndExpire(holdsAll, 0);
      assert.deepEqual([low.answers, high.answers], [[], ['']]);
    });

    it('refuses at once what cannot start in time', () => {
      const leases = new Leases({maxGranted: () => 0, maxWaitingRequests: 1});
      const held = new Set(['a']);
      ask(leases, 'a', held);
      assert.deepEqual(ask(leases, 'a', held).answers, [
        LEASE_REFUSAL.engineFull,
      ]);
    });
  });

  describe('the time that a refusal states', () => {
    it('follows the rate at which leases end (callers came back to a full batch after a random time)', () => {
      const leases = new Leases({maxGranted: () => 8, maxWaitingRequests: 2});
      const held = new Set(['a']);
      const asked = Array.from({length: 10}, () => ask(leases, 'a', held));
      leases.grantAndExpire(holdsAll, 0);
      const before = ask(leases, 'a', held);
      assert.deepEqual(before.answers, [LEASE_REFUSAL.engineFull]);
      assert.deepEqual(before.waits, [2_000]);
      for (const {lease} of asked.slice(0, 4)) lease.release();
      leases.grantAndExpire(holdsAll, 0);
      for (let i = 0; i < 4; i++) ask(leases, 'a', held);
      leases.grantAndExpire(holdsAll, 0);
      // Four ended within the window and two wait.
      const after = ask(leases, 'a', held);
      assert.deepEqual(after.waits, [500]);
    });

    it('follows the rate at which adapters come', () => {
      const leases = new Leases({maxWaitingAdapters: 2});
      const held = new Set<string>();
      const holds = (_: string, name: string) => held.has(name);
      for (const name of ['a', 'b']) ask(leases, name, held);
      assert.deepEqual(ask(leases, 'c', held).waits, [1_000]);
      held.add('a').add('b');
      leases.grantAndExpire(holds, 0);
      for (const name of ['d', 'e']) ask(leases, name, held);
      assert.deepEqual(ask(leases, 'f', held).waits, [500]);
    });
  });

  it('answers each lease once and counts those that are granted, in any order of events', () => {
    const event = fc.oneof(
      fc.record({kind: fc.constant('ask' as const), n: fc.nat(5)}),
      fc.record({kind: fc.constant('release' as const), n: fc.nat(30)}),
      fc.record({kind: fc.constant('hold' as const), n: fc.nat(5)}),
      fc.record({kind: fc.constant('drop' as const), n: fc.nat(5)}),
      fc.record({kind: fc.constant('pass' as const), n: fc.nat(600)}),
    );
    fc.assert(
      fc.property(fc.array(event, {maxLength: 60}), events => {
        const leases = new Leases({maxGranted: () => 3, maxWaitingAdapters: 3});
        const held = new Set<string>();
        const asked: Asked[] = [];
        const released = new Set<Asked>();
        let nowMs = 0;
        for (const {kind, n} of events) {
          const name = `a${n}`;
          if (kind === 'ask') {
            const waitsUntilMs = nowMs + 500;
            asked.push(
              ask(leases, name, held, {
                requestedAtMs: nowMs,
                waitDeadlineMs: waitsUntilMs,
              }),
            );
          } else if (kind === 'release') {
            const one = asked[n];
            one?.lease.release();
            if (one !== undefined) released.add(one);
          } else if (kind === 'hold') held.add(name);
          else if (kind === 'drop') held.delete(name);
          else nowMs += n;
          leases.grantAndExpire((_, adapter) => held.has(adapter), nowMs);
        }
        const granted = asked.filter(
          one => one.answers[0] === '' && !released.has(one),
        );
        assert.ok(asked.every(({answers}) => answers.length <= 1));
        assert.equal(leases.grantedCount, granted.length);
        assert.ok(leases.grantedCount <= 3);
      }),
    );
  });
});
