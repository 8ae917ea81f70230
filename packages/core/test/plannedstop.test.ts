import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  REQUEST_KIND,
  endsBeforeStop,
  stopAllotmentMs,
  usualDurationMs,
  withDuration,
  withUnanswered,
  type RecentDurations,
  type Route,
} from '../src/index.js';
import {randomOf} from './random.js';

const ROUTE: Route = {
  name: 'r',
  host: 'a.example',
  prefix: '/',
  kind: REQUEST_KIND.unsafe,
  timeoutMs: 20_000,
  latencyObjectiveMs: 300,
  gapObjectiveMs: 0,
  priority: 0,
  maxAttempts: 1,
  resumable: false,
  shares: [],
};
const SAFE: Route = {...ROUTE, kind: REQUEST_KIND.safe};
const STREAM: Route = {...ROUTE, kind: REQUEST_KIND.streaming};
const RESUMABLE: Route = {...STREAM, resumable: true};

/** Time for which a stop lets open requests go on, in milliseconds. */
const STOP_MS = 7_400;

/** The load: requests a second, before the stop and during it. */
const RATE = 100;

/** Time of a stop from which on the balancer sends new requests elsewhere, in milliseconds. */
const REPLACED_AT_MS = 2_600;

/** Options of {@link playStop}. */
interface StopLoad {
  readonly route: Route;
  readonly drawMs: () => number;
  /** Requests that have ended before the stop. */
  readonly earlier: number;
  readonly perSecond?: number;
  readonly deadlineMs?: number;
  /** Times of the stop between which the requests come, in milliseconds. */
  readonly fromMs?: number;
  readonly untilMs?: number;
}

/** Sends requests evenly during one stop, and counts what becomes of them. */
function playStop({
  route,
  drawMs,
  earlier,
  perSecond = RATE,
  deadlineMs = route.timeoutMs,
  fromMs = 0,
  untilMs = STOP_MS,
}: StopLoad) {
  let durations: RecentDurations = [];
  for (let n = 0; n < earlier; n++) {
    durations = withDuration(durations, drawMs());
  }
  const counts = {sent: 0, cut: 0, refused: 0, refusedInVain: 0};
  for (let atMs = fromMs; atMs < untilMs; atMs += 1_000 / perSecond) {
    const stopInMs = STOP_MS - atMs;
    const durationMs = Math.min(deadlineMs, drawMs());
    const isReplaced = atMs >= REPLACED_AT_MS;
    const isSent = endsBeforeStop({
      stopInMs,
      remainingMs: deadlineMs,
      allotmentMs: stopAllotmentMs({route, durations, isReplaced}),
    });
    counts.sent += Number(isSent);
    counts.refused += Number(!isSent);
    counts.cut += Number(isSent && durationMs > stopInMs);
    counts.refusedInVain += Number(!isSent && durationMs <= stopInMs);
  }
  return counts;
}

describe('requests during a planned stop', () => {
  // Failure: requests were sent that could not end before the process did.
  describe(`at ${RATE} requests a second, with service times spread by half their mean`, () => {
    const drawOf = (meanMs: number) => {
      const random = randomOf(meanMs);
      return () => meanMs * (0.5 + random() + 0.5 * random() ** 4);
    };
    for (const meanMs of [60, 400, 1_300, 4_000]) {
      it(`are nearly all answered or refused with a mean of ${meanMs} ms`, () => {
        const drawMs = drawOf(meanMs);
        const counts = playStop({route: SAFE, drawMs, earlier: RATE});
        const total = counts.sent + counts.refused;
        assert.ok(counts.cut <= 0.01 * total, JSON.stringify(counts));
        // Those that come while the time left is between the shortest and the usual duration.
        const uncertain = (1.5 * meanMs * RATE) / 1_000;
        assert.ok(
          counts.refusedInVain <= Math.max(1, uncertain),
          JSON.stringify(counts),
        );
      });

      // Failure: one in a hundred requests that run at most once had an unknown outcome.
      it(`have a known outcome with a mean of ${meanMs} ms if they run at most once`, () => {
        const load = {route: ROUTE, drawMs: drawOf(meanMs), earlier: RATE};
        const whole = playStop(load);
        assert.equal(whole.cut, 0, JSON.stringify(whole));
        // Other entries may refuse them too until the balancer has removed this one.
        const counts = playStop({...load, untilMs: REPLACED_AT_MS});
        // The time left is between the shortest duration and twice the longest.
        const uncertain = (3.5 * meanMs * RATE) / 1_000;
        assert.ok(
          counts.refusedInVain <= Math.max(1, uncertain),
          JSON.stringify(counts),
        );
        const fitting = playStop({...load, deadlineMs: 2_000});
        assert.equal(fitting.cut, 0, JSON.stringify(fitting));
        const expected = ((STOP_MS - 2_000) * RATE) / 1_000;
        assert.ok(fitting.sent >= expected, JSON.stringify(fitting));
      });
    }
  });

  // Failure: twice the longest of the last requests does not bound one that takes far longer, so one in
  // a hundred requests that run at most once had an unknown outcome.
  it('have a known outcome if they run at most once and two in a hundred take far longer', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const random = randomOf(seed);
      const drawMs = () => (random() < 0.02 ? 4_000 : 300);
      const counts = playStop({route: ROUTE, drawMs, earlier: 64});
      assert.equal(counts.cut, 0, JSON.stringify({seed, ...counts}));
    }
  });

  describe('of streams with many short and few long answers, at 300 a second', () => {
    const MEDIAN_MS = 660;
    /** Longest answers, as a multiple of the median. */
    const LONGEST = 7.2;
    const drawOf = (seed: number) => {
      const random = randomOf(seed);
      return () => {
        const normal =
          Math.sqrt(-2 * Math.log(1 - random())) *
          Math.cos(2 * Math.PI * random());
        return MEDIAN_MS * Math.min(LONGEST, Math.exp(0.75 * normal));
      };
    };
    // Failure: two of a hundred streams that were sent late in a stop were cut, since only a
    // quantile of the durations was known to fit.
    for (const earlier of [0, 10, 20, 64]) {
      for (const [name, route, fromMs] of [
        ['cannot be resumed', STREAM, 0],
        ['come when other entries take them', RESUMABLE, REPLACED_AT_MS],
      ] as const) {
        it(`cuts none that ${name}, after ${earlier} streams`, () => {
          for (let seed = 1; seed <= 20; seed++) {
            const drawMs = drawOf(seed);
            const load = {route, drawMs, earlier, perSecond: 300, fromMs};
            for (const deadlineMs of [1_000, 4_000, 10_000]) {
              const counts = playStop({...load, deadlineMs});
              assert.equal(counts.cut, 0, JSON.stringify({seed, ...counts}));
              // All whose deadline comes before the end are sent.
              const fitting = Math.max(0, STOP_MS - fromMs - deadlineMs);
              const expected = Math.floor(0.3 * fitting);
              assert.ok(counts.sent >= expected, JSON.stringify(counts));
            }
          }
        });
      }
    }

    it('sends those that can be resumed while other entries may refuse them too', () => {
      const drawMs = drawOf(1);
      const counts = playStop({
        route: RESUMABLE,
        drawMs,
        earlier: 64,
        perSecond: 300,
        deadlineMs: 10_000,
      });
      assert.ok(counts.sent >= 0.3 * REPLACED_AT_MS, JSON.stringify(counts));
    });
  });

  it('have all their time if little is known of those that run at most once', () => {
    const durations: RecentDurations = Array<number>(31).fill(60);
    const known = {route: ROUTE, isReplaced: false};
    assert.equal(stopAllotmentMs({...known, durations}), Infinity);
    const oneMore = withDuration(durations, 70);
    assert.equal(stopAllotmentMs({...known, durations: oneMore}), 140);
  });

  it('are sent whatever their service time if their deadline comes first', () => {
    fc.assert(
      fc.property(
        fc.nat(10_000),
        fc.nat(10_000),
        fc.nat(10_000),
        (stopInMs, marginMs, allotmentMs) => {
          const remainingMs = Math.max(0, stopInMs - marginMs);
          assert.ok(endsBeforeStop({stopInMs, remainingMs, allotmentMs}));
        },
      ),
    );
  });

  it('are not sent once the stop has ended', () => {
    const stopInMs = -Infinity;
    assert.ok(!endsBeforeStop({stopInMs, remainingMs: 10, allotmentMs: 0}));
  });
});

describe('the usual duration', () => {
  it('is derived from the route while little is known', () => {
    assert.equal(usualDurationMs([], ROUTE), 750);
    assert.equal(usualDurationMs([], STREAM), 10_000);
    assert.equal(usualDurationMs([5], ROUTE), 750);
    assert.equal(usualDurationMs([1_300], ROUTE), 1_300);
  });

  it('is that of all but the slowest recent requests', () => {
    let durations: RecentDurations = [];
    for (let n = 0; n < 500; n++) durations = withDuration(durations, 9_000);
    for (let n = 0; n < 64; n++) {
      durations = withDuration(durations, n < 3 ? 5_000 : n);
    }
    assert.equal(durations.length, 64);
    assert.equal(usualDurationMs(durations, ROUTE), 63);
  });

  // Failure: requests that a server never answered would make it look fast.
  it('rises with unanswered requests that took longer, and never falls with them', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(5_000), {maxLength: 64}),
        fc.nat(5_000),
        (durations, unansweredMs) => {
          const before = usualDurationMs(durations, ROUTE);
          const after = withUnanswered(durations, unansweredMs, ROUTE);
          if (unansweredMs <= before) assert.deepEqual(after, durations);
          else assert.ok(after.includes(unansweredMs));
        },
      ),
    );
    let durations: RecentDurations = Array<number>(64).fill(60);
    for (let n = 0; n < 4; n++) {
      durations = withUnanswered(durations, 2_000, ROUTE);
    }
    assert.equal(usualDurationMs(durations, ROUTE), 2_000);
  });
});
