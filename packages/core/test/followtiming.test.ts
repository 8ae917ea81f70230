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

describe('timing of calls that follow published changes', () => {
  // Regression: a silent watch was abandoned only after 3.3 s, which delayed a change
  // that had to be in force within 2 s.
  it('fits one lost answer and the next answer within the bound', () => {
    fc.assert(
      fc.property(bounds, draws, (boundMs, draw) => {
        const timing = pollTiming(boundMs);
        const lostAnswerMs = timing.waitMs + answerLimitMs(timing, 0);
        const retryMs = retryPauseMs(timing, 1, draw);
        const delayMs =
          timing.minCallIntervalMs +
          lostAnswerMs +
          retryMs +
          timing.answerTimeoutMs;
        assert.ok(delayMs <= 0.95 * boundMs);
      }),
    );
  });

  it('detects the end of an outage of any length within the bound', () => {
    const failures = fc.integer({min: 1, max: 1_000});
    fc.assert(
      fc.property(bounds, draws, failures, (boundMs, draw, count) => {
        const timing = pollTiming(boundMs);
        const lostAnswerMs = timing.waitMs + answerLimitMs(timing, count);
        assert.ok(lostAnswerMs + retryPauseMs(timing, count, draw) <= boundMs);
      }),
    );
  });

  it('detects a silent watch connection within the bound', () => {
    const timing = watchTiming(2_000);
    assert.ok(timing.waitMs + answerLimitMs(timing, 0) <= 2_000);
  });

  it('extends the answer timeout after a failure (a slow source would never get an answer through)', () => {
    const timing = pollTiming(2_000);
    assert.ok(answerLimitMs(timing, 1) >= 2 * answerLimitMs(timing, 0));
  });
});
