import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  fetchMs,
  getControl,
  setControl,
  startWeights,
  takeToken,
  type StandIn,
} from '@balsamnotch/standins';

/** A timer may fire this much early. */
const SLACK_MS = 5;

const LIMIT = {loadsPerSecond: 3, burst: 2, loadMs: 250, maxInFlight: 16};

describe('weight store limit', () => {
  it('gives two tokens at once, then one each third of a second', () => {
    let fullAtMs = 0;
    const waits = [1000, 1000, 1000, 1000, 2000].map(nowMs => {
      const token = takeToken(LIMIT, fullAtMs, nowMs);
      fullAtMs = token.fullAtMs;
      return Math.round(token.waitMs);
    });
    assert.deepEqual(waits, [0, 0, 333, 667, 0]);
  });

  it('stretches a load in proportion to those in flight above the limit', () => {
    const times = [1, 16, 24, 32].map(inFlight => fetchMs(LIMIT, inFlight));
    assert.deepEqual(times, [250, 250, 375, 500]);
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

  async function loadMs(count: number): Promise<number[]> {
    const startMs = performance.now();
    return Promise.all(
      Array.from({length: count}, async (_, n) => {
        const url = `http://127.0.0.1:${standIn.port}/v1/weights/a${n}/1`;
        const answer = await fetch(url);
        await answer.arrayBuffer();
        return performance.now() - startMs;
      }),
    );
  }

  it('throttles what comes faster than the limit, beyond two at once', async () => {
    const times = (await loadMs(4)).sort((a, b) => a - b);
    const earliest = [250, 250, 250 + 333, 250 + 666];
    times.forEach((time, n) => {
      assert.ok(time > earliest[n]! - SLACK_MS, `load ${n} took ${time} ms`);
    });
    const {counters} = await getControl(control);
    assert.equal(counters.throttled, 2);
    assert.equal(counters.peakPerSecond, 4);
    assert.equal(counters.peakInFlight, 4);
  });

  it('counts a failed load apart from those that took effect', async () => {
    await setControl(control, {fail: true, loadMs: 1});
    await loadMs(1);
    const {counters} = await getControl(control);
    assert.equal(counters.failed, 1);
    assert.equal(counters.loads, 0);
  });
});
