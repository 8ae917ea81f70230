import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  answerLimitBytes,
  HOLD_COST,
  headCost,
  holdLimitsOf,
  piecesCost,
  planReleases,
  RELEASE_REASON,
  type ConnectionHold,
} from '../src/index.js';

/** Seed of the property tests. */
const SEED = 47;

const hold = (fields: Partial<ConnectionHold> = {}): ConnectionHold => ({
  address: 'a',
  bytes: 10,
  progressAtMs: 0,
  isProtected: false,
  ...fields,
});

const LIMITS = {maxBytes: 100, maxConnections: 10};

describe('the budget of what callers hold', () => {
  describe('derives from the VM', () => {
    // Guards against a budget that does not fit beside the program on the smallest VM.
    it('as an eighth of its memory and three quarters of its descriptors for sockets', () => {
      const limits = holdLimitsOf({memoryMb: 320, maxDescriptors: 2_200});
      assert.equal(limits.maxBytes, 40 * 1_048_576);
      assert.equal(limits.maxConnections, 1_500);
    });

    // Guards against limits in deployments whose settings name none.
    it('and is unlimited without limits of the VM', () => {
      assert.deepEqual(holdLimitsOf({}), {
        maxBytes: Infinity,
        maxConnections: Infinity,
        memoryBytes: Infinity,
      });
    });
  });

  // Load: large answers that nobody reads; guards against a second budget for those that are still arriving.
  it('leaves all of it to arriving answers in calm, and half while callers hold all', () => {
    assert.equal(answerLimitBytes({maxBytes: 100}, 0), 100);
    assert.equal(answerLimitBytes({maxBytes: 100}, 70), 80);
    assert.equal(answerLimitBytes({maxBytes: 100}, 110), 50);
    assert.equal(answerLimitBytes({maxBytes: Infinity}, 0), Infinity);
  });

  // Load: heads of 16 KB with 3,000 fields, which take some hundred kilobytes as objects.
  it('counts each field of a head besides its bytes', () => {
    const head = Array.from({length: 6_000}, () => 'x');
    assert.equal(
      headCost(head),
      HOLD_COST.request + 6_000 + 3_000 * HOLD_COST.field,
    );
  });

  // Guards against refusing in calm a single legal body that is sent in pieces of one byte.
  it('counts pieces up to a quarter of the budget', () => {
    assert.equal(piecesCost(4_000_000, {maxBytes: 40_000_000}), 40_000_000 / 4);
  });

  describe('closes', () => {
    // Guards against closing connections in calm.
    it('nothing up to the limits', () => {
      const holds = Array.from({length: 10}, () => hold());
      assert.deepEqual(planReleases(holds, LIMITS), []);
    });

    // Load: stalled bodies of legal size beside small ordinary requests.
    it('the connections that hold the most', () => {
      const large = hold({bytes: 80});
      const holds = [hold(), large, hold(), hold()];
      assert.deepEqual(planReleases(holds, LIMITS), [
        {hold: large, reason: RELEASE_REASON.memory},
      ]);
    });

    // Load: a crowd of one address beside a larger upload of another.
    it('connections of an address above its share before larger ones of others', () => {
      const upload = hold({address: 'b', bytes: 40});
      const crowd = Array.from({length: 7}, () => hold());
      const chosen = planReleases([upload, ...crowd], LIMITS);
      assert.ok(chosen.length > 0);
      assert.ok(chosen.every(({hold: {address}}) => address === 'a'));
    });

    // Load: more connections than descriptors, most of them silent.
    it('the connections longest without progress when there are too many', () => {
      const holds = Array.from({length: 11}, (_, n) =>
        hold({bytes: 1, progressAtMs: n}),
      );
      assert.deepEqual(planReleases(holds, LIMITS), [
        {hold: holds[0], reason: RELEASE_REASON.connections},
        {hold: holds[1], reason: RELEASE_REASON.connections},
        {hold: holds[2], reason: RELEASE_REASON.connections},
      ]);
    });

    // Guards against losing the outcome of a request that a target may run.
    it('no protected connection, whatever it holds', () => {
      const holds = [hold({bytes: 1_000, isProtected: true}), hold()];
      assert.deepEqual(
        planReleases(holds, LIMITS).map(release => release.hold),
        [holds[1]],
      );
    });
  });

  // Load: any mix of connections; guards against a process above its budget, and needless closings.
  it('is kept, without closing protected connections or more than it takes', () => {
    const holds = fc.array(
      fc.record({
        address: fc.constantFrom('a', 'b', 'c'),
        bytes: fc.integer({min: 1, max: 60}),
        progressAtMs: fc.integer({min: 0, max: 100}),
        isProtected: fc.boolean(),
      }),
      {maxLength: 30},
    );
    const sum = (all: readonly ConnectionHold[]) =>
      all.reduce((total, {bytes}) => total + bytes, 0);
    fc.assert(
      fc.property(holds, all => {
        const releases = planReleases(all, LIMITS);
        const closed = new Set(releases.map(release => release.hold));
        assert.equal(closed.size, releases.length);
        assert.ok(![...closed].some(({isProtected}) => isProtected));
        const kept = all.filter(one => !closed.has(one));
        const isAllProtected = kept.every(({isProtected}) => isProtected);
        assert.ok(
          isAllProtected ||
            (sum(kept) <= LIMITS.maxBytes &&
              kept.length <= LIMITS.maxConnections),
        );
        const isWithin =
          sum(all) <= LIMITS.maxBytes && all.length <= LIMITS.maxConnections;
        if (isWithin) assert.equal(closed.size, 0);
      }),
      {seed: SEED, numRuns: 500},
    );
  });
});
