import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  getControl,
  setControl,
  startWeights,
  type StandIn,
} from '@balsamnotch/standins';

/** Slack for timers on a busy machine. */
const SLACK_MS = 150;

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

  it('serves two loads at once at full speed and throttles the next ones', async () => {
    const times = (await loadMs(4)).sort((a, b) => a - b);
    const expected = [250, 250, 250 + 333, 250 + 667];
    times.forEach((time, n) => {
      const delay = time - (expected[n] ?? 0);
      assert.ok(delay > -5 && delay < SLACK_MS, `load ${n} took ${time} ms`);
    });
    const {counters} = await getControl(control);
    assert.equal(counters.throttled, 2);
    assert.equal(counters.peakPerSecond, 4);
    assert.equal(counters.peakInFlight, 4);
  });

  it('takes proportionally longer above the limit of loads in flight', async () => {
    await setControl(control, {loadsPerSecond: 1000, burst: 100});
    const times = await loadMs(32);
    const last = Math.max(...times);
    assert.ok(last > 495 && last < 500 + SLACK_MS, `last took ${last} ms`);
  });

  it('counts a failed load apart from those that took effect', async () => {
    await setControl(control, {fail: true, loadMs: 1});
    await loadMs(1);
    const {counters} = await getControl(control);
    assert.equal(counters.failed, 1);
    assert.equal(counters.loads, 0);
  });
});
