import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  LoadThrottle,
  getControl,
  setControl,
  startWeights,
  type StandIn,
} from '@balsamnotch/standins';

describe('weight store stand-in', () => {
  let standIn: StandIn;
  let control: string;

  beforeEach(async () => {
    standIn = await startWeights();
    control = `http://127.0.0.1:${standIn.controlPort}`;
  });

  afterEach(() => standIn.close());

  async function load(count: number): Promise<void> {
    const loads = Array.from({length: count}, async (_, n) => {
      const url = `http://127.0.0.1:${standIn.port}/v1/weights/a${n}/1`;
      const answer = await fetch(url);
      await answer.arrayBuffer();
    });
    await Promise.all(loads);
  }

  it('counts loads that come faster than the limit', async () => {
    await load(4);
    const {counters} = await getControl(control);
    assert.equal(counters.loads, 4);
    assert.equal(counters.throttled, 2);
    assert.equal(counters.peakPerSecond, 4);
    assert.equal(counters.peakInFlight, 4);
  });

  it('counts a failed load apart from those that took effect', async () => {
    await setControl(control, {fail: true, loadMs: 1});
    await load(1);
    const {counters} = await getControl(control);
    assert.equal(counters.failed, 1);
    assert.equal(counters.loads, 0);
  });
});

describe('load throttle', () => {
  const limits = {
    loadsPerSecond: 3,
    burst: 2,
    loadMs: 250,
    maxInFlight: 16,
    slow: 1,
  };

  it('serves two loads at once at full speed and throttles the next ones', () => {
    const throttle = new LoadThrottle(limits);
    const waits = [1, 2, 3, 4].map(n => throttle.times(1_000, n).waitMs);
    assert.deepEqual(waits.map(Math.round), [0, 0, 333, 667]);
  });

  it('takes proportionally longer above the limit of loads in flight', () => {
    const throttle = new LoadThrottle(limits);
    assert.equal(throttle.times(1_000, 16).fetchMs, 250);
    assert.equal(throttle.times(1_000, 32).fetchMs, 500);
  });
});
