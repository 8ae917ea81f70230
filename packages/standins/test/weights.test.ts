import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  loadDurationMs,
  getControl,
  setControl,
  startWeights,
  takeToken,
  type StandIn,
} from '@balsamnotch/standins';

/** Tolerance for timers that fire early. */
const TIMER_TOLERANCE_MS = 5;

const LIMITS = {loadsPerSecond: 3, burst: 2, loadMs: 250, maxInFlight: 16};

describe('limits of the weight store', () => {
  it('allow a burst of two loads, then one load every third of a second', () => {
    let fullAtMs = 0;
    const waitsMs = [1000, 1000, 1000, 1000, 2000].map(nowMs => {
      const token = takeToken(LIMITS, fullAtMs, nowMs);
      fullAtMs = token.fullAtMs;
      return Math.round(token.waitMs);
    });
    assert.deepEqual(waitsMs, [0, 0, 333, 667, 0]);
  });

  it('make a load take proportionally longer when more loads are in flight than the limit', () => {
    const durationsMs = [1, 16, 24, 32].map(inFlight =>
      loadDurationMs(LIMITS, inFlight),
    );
    assert.deepEqual(durationsMs, [250, 250, 375, 500]);
  });
});

describe('weight store stand-in', () => {
  let standIn: StandIn;
  let control: string;

  beforeEach(async () => {
    standIn = await startWeights();
    control = `http://127.0.0.1:${standIn.controlPort}`;
  });

  afterEach(() => standIn.close());

  /** Starts `count` loads at the same time; resolves to their durations in milliseconds. */
  async function loadDurationsMs(count: number): Promise<number[]> {
    const startedAtMs = performance.now();
    return Promise.all(
      Array.from({length: count}, async (_, n) => {
        const url = `http://127.0.0.1:${standIn.port}/v1/weights/a${n}/1`;
        const answer = await fetch(url);
        await answer.arrayBuffer();
        return performance.now() - startedAtMs;
      }),
    );
  }

  it('delays and counts loads that exceed the burst of two and the rate limit', async () => {
    const durationsMs = (await loadDurationsMs(4)).sort((a, b) => a - b);
    const shortestMs = [250, 250, 250 + 333, 250 + 666];
    durationsMs.forEach((durationMs, n) => {
      assert.ok(
        durationMs > shortestMs[n]! - TIMER_TOLERANCE_MS,
        `load ${n} took ${durationMs} ms`,
      );
    });
    const {counters} = await getControl(control);
    assert.equal(counters.throttled, 2);
    assert.equal(counters.peakPerSecond, 4);
    assert.equal(counters.peakInFlight, 4);
  });

  it('counts failed loads separately from successful ones', async () => {
    await setControl(control, {fail: true, loadMs: 1});
    await loadDurationsMs(1);
    const {counters} = await getControl(control);
    assert.equal(counters.failed, 1);
    assert.equal(counters.loads, 0);
  });
});
