import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  answerLimitMs,
  pollTiming,
  retryPauseMs,
  watchTiming,
} from '../src/index.js';

const bounds = fc.integer({min: 500, max: 20_000});
const draws = fc.double({min: 0, max: 1, noNaN: true, maxExcluded: true});

describe('timing of calls that follow changes', () => {
  // A watch that was given up after 3.3 s hid a change that had to be in force after 2 s.
  it('leaves room for one lost answer and the answer after it within the bound', () => {
    fc.assert(
      fc.property(bounds, draws, (boundMs, draw) => {
        const timing = pollTiming(boundMs);
        const lostMs = timing.waitMs + answerLimitMs(timing, 0);
        const retryMs = retryPauseMs(timing, 1, draw);
        const delayMs =
          timing.gatherMs + lostMs + retryMs + timing.answerTimeoutMs;
        assert.ok(delayMs <= 0.95 * boundMs);
      }),
    );
  });

  it('sees the end of an outage of any length within the bound', () => {
    const failures = fc.integer({min: 1, max: 1_000});
    fc.assert(
      fc.property(bounds, draws, failures, (boundMs, draw, count) => {
        const timing = pollTiming(boundMs);
        const lostMs = timing.waitMs + answerLimitMs(timing, count);
        assert.ok(lostMs + retryPauseMs(timing, count, draw) <= boundMs);
      }),
    );
  });

  it('notices a silent connection of a watch within the bound', () => {
    const timing = watchTiming(2_000);
    assert.ok(timing.waitMs + answerLimitMs(timing, 0) <= 2_000);
  });

  it('gives a slow source more time after a failure (it would never be heard)', () => {
    const timing = pollTiming(2_000);
    assert.ok(answerLimitMs(timing, 1) >= 2 * answerLimitMs(timing, 0));
  });
});
