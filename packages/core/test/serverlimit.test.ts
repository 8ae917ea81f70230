import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  NO_REQUESTS,
  limitShare,
  bucketCapacity,
  rateAt,
  sendRate,
  tokenWaitMs,
  withRequest,
  withoutToken,
  type RequestRate,
  type TokenBucket,
} from '../src/index.js';
import {randomOf} from './random.js';

const WINDOW_MS = 4_000;
const STEP_MS = 10;

/** Starts that the platform allows in any window: one and a half times the limit, and 5. */
function allowed(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1_000 + 5;
}

function mostInWindow(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  for (const [n, atMs] of times.entries()) {
    while (atMs - (times[first] ?? 0) >= WINDOW_MS) first += 1;
    most = Math.max(most, n - first + 1);
  }
  return most;
}

/** A sender with a load of its own. */
interface Sender {
  readonly perSecond: number;
  bucket: TokenBucket;
  rate: RequestRate;
}

/**
 * Plays senders that share a limit by their rates. `allRate` is what they believe the sum of
 * their rates to be. Returns the times at which requests start.
 */
function playSenders(
  loads: readonly number[],
  limit: number,
  seconds: number,
  seed: number,
  allRate: (senders: readonly Sender[], nowMs: number) => number,
): readonly number[] {
  const random = randomOf(seed);
  const senders: Sender[] = loads.map(perSecond => ({
    perSecond,
    bucket: {tokens: random(), atMs: 0},
    rate: {perSecond, atMs: 0},
  }));
  const starts: number[] = [];
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += STEP_MS) {
    for (const sender of senders) {
      if (random() >= (sender.perSecond * STEP_MS) / 1_000) continue;
      sender.rate = withRequest(sender.rate, nowMs);
      const share = limitShare({
        own: rateAt(sender.rate, nowMs),
        all: allRate(senders, nowMs),
        senders: senders.length,
      });
      const rate = limit * share;
      if (tokenWaitMs(sender.bucket, rate, 0, nowMs) > 0) continue;
      sender.bucket = withoutToken(sender.bucket, rate, nowMs);
      starts.push(nowMs);
    }
  }
  return starts;
}

const sumOfRates = (senders: readonly Sender[], nowMs: number) =>
  senders.reduce((sum, {rate}) => sum + rateAt(rate, nowMs), 0);

describe('limit that a server names', () => {
  describe('at the one node that counts all requests', () => {
    // Failure: an average within the limit with bursts of several times its requests.
    it('allows no more than the platform does in any 4 s, whatever the load and the changes of the limit', () => {
      fc.assert(
        fc.property(
          fc.double({min: 0.3, max: 60, noNaN: true}),
          fc.array(fc.integer({min: 0, max: 400}), {
            minLength: 1,
            maxLength: 400,
          }),
          (limit, gaps) => {
            let bucket: TokenBucket = {tokens: 1, atMs: 0};
            let nowMs = 0;
            const starts: number[] = [];
            for (const gap of gaps) {
              nowMs += gap;
              while (tokenWaitMs(bucket, limit, 0, nowMs) === 0) {
                bucket = withoutToken(bucket, limit, nowMs);
                starts.push(nowMs);
              }
            }
            assert.ok(mostInWindow(starts) <= allowed(limit));
          },
        ),
      );
    });

    // Failure: nothing was sent at a limit near 0, so no answer could tell that it had ended.
    it('allows a request now and then at any limit, within what the platform allows', () => {
      for (const limit of [0, 0.1, 0.4, 0.6, 3]) {
        const perSecond = sendRate(limit);
        const inWindow =
          bucketCapacity(perSecond) + (perSecond * WINDOW_MS) / 1_000;
        assert.ok(inWindow <= allowed(limit), `${inWindow} at ${limit}`);
        assert.ok(inWindow >= 2, `${inWindow} at ${limit}`);
      }
    });

    it('uses the limit under a steady load', () => {
      for (const limit of [0.5, 3.7, 20]) {
        let bucket: TokenBucket = {tokens: 0, atMs: 0};
        let starts = 0;
        for (let nowMs = 0; nowMs < 60_000; nowMs += STEP_MS) {
          if (tokenWaitMs(bucket, limit, 0, nowMs) > 0) continue;
          bucket = withoutToken(bucket, limit, nowMs);
          starts += 1;
        }
        assert.ok(starts >= 60 * limit * 0.9, `${starts} at ${limit}`);
      }
    });

    it('states when a request may start behind others', () => {
      const bucket = {tokens: 0, atMs: 0};
      assert.equal(tokenWaitMs(bucket, 4, 0, 0), 250);
      assert.equal(tokenWaitMs(bucket, 4, 3, 0), 1_000);
      assert.equal(tokenWaitMs(bucket, 4, 0, 250), 0);
    });

    it('does not save up more than a second of bucket, and always a whole request', () => {
      assert.equal(bucketCapacity(0.2), 1);
      assert.equal(bucketCapacity(12), 12);
      assert.equal(tokenWaitMs({tokens: 0, atMs: 0}, 2, 2, 3_600_000), 500);
    });
  });

  describe('shared by senders', () => {
    it('holds for all together where their loads are uneven', () => {
      const loads = [0.5, 1, 1, 2, 3, 4, 8, 10, 20, 40];
      for (const limit of [3.7, 12, 40]) {
        const starts = playSenders(loads, limit, 60, 7, sumOfRates);
        // The sender with the smallest part may use a fifth of an equal share at least.
        assert.ok(
          mostInWindow(starts) <= allowed(limit),
          `${mostInWindow(starts)} in 4 s at a limit of ${limit}`,
        );
        assert.ok(starts.length >= 60 * limit * 0.7, `${starts.length}`);
      }
    });

    it('holds for many senders of which each gets less than one request in 4 s', () => {
      const loads = Array.from({length: 68}, () => 3);
      const starts = playSenders(loads, 5.2, 60, 11, sumOfRates);
      assert.ok(
        mostInWindow(starts) <= allowed(5.2),
        `${mostInWindow(starts)}`,
      );
    });

    it('holds while the sum of the rates is not known', () => {
      const starts = playSenders([1, 2, 30], 9, 60, 5, () => 0);
      assert.ok(mostInWindow(starts) <= allowed(9));
    });

    it('gives each sender its part of the requests, and an idle one a fifth of an equal share', () => {
      assert.equal(limitShare({own: 5, all: 20, senders: 10}), 0.25);
      const least = limitShare({own: 0, all: 20, senders: 10});
      assert.ok(Math.abs(least - 0.02) < 1e-9);
      assert.equal(limitShare({own: 5, all: 0, senders: 10}), 0.1);
      assert.equal(limitShare({own: 5, all: 2, senders: 1}), 1);
    });

    it('follows the rate of a sender within seconds', () => {
      let rate = NO_REQUESTS;
      for (let nowMs = 0; nowMs < 12_000; nowMs += 100) {
        rate = withRequest(rate, nowMs);
      }
      assert.ok(Math.abs(rateAt(rate, 12_000) - 10) < 1);
      assert.ok(rateAt(rate, 24_000) < 1);
    });
  });
});
