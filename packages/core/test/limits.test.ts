import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  RETRY_FLOOR,
  admit,
  callerShare,
  countRequest,
  countRetry,
  fullBucket,
  mayRetry,
  takeToken,
  type Admission,
  type RetryBudget,
  type TargetView,
} from '@balsamnotch/core';
import fc from 'fast-check';

const seed = Number(process.env['BALSAMNOTCH_SEED'] ?? 1);

describe('limits', () => {
  it('lets no more than one second of burst above the rate pass in any window', () => {
    const gaps = fc.array(fc.oneof(fc.nat(30), fc.nat(3_000)), {
      maxLength: 100,
      size: 'max',
    });
    const rates = fc.integer({min: 1, max: 20});
    fc.assert(
      fc.property(gaps, rates, (schedule, rate) => {
        let nowMs = 0;
        let bucket = fullBucket(rate, nowMs);
        const passed: number[] = [];
        for (const gapMs of schedule) {
          nowMs += gapMs;
          const taken = takeToken(bucket, rate, nowMs);
          bucket = taken.bucket;
          if (taken.granted) passed.push(nowMs);
          else assert.ok(taken.retryAfterMs > 0);
        }
        for (const [from, startMs] of passed.entries()) {
          const windows = passed.slice(from).map((endMs, n) => {
            const allowed = rate + ((endMs - startMs) / 1_000) * rate;
            return n + 1 - allowed;
          });
          assert.ok(Math.max(...windows) < 1e-6);
        }
      }),
      {seed, numRuns: 300},
    );
  });

  it('gives every entry at least one request, so that a small limit does not become none', () => {
    assert.equal(callerShare(2, 10), 1);
    assert.equal(callerShare(40, 10), 4);
  });

  describe('retry budget', () => {
    function counted(requests: number, retries: number): RetryBudget {
      let budget: RetryBudget = [];
      for (let i = 0; i < requests; i++) budget = countRequest(budget, i);
      for (let i = 0; i < retries; i++) budget = countRetry(budget, i);
      return budget;
    }

    it('ends at a fifth of the requests of the window', () => {
      assert.equal(mayRetry(counted(100, 19), 500), true);
      assert.equal(mayRetry(counted(100, 20), 500), false);
    });

    it('forgets what lies before the window', () => {
      assert.equal(mayRetry(counted(100, 20), 9_999), false);
      assert.equal(mayRetry(counted(100, 20), 10_000), true);
    });

    it('lets an entry with little traffic retry', () => {
      assert.equal(mayRetry(counted(1, RETRY_FLOOR - 1), 500), true);
      assert.equal(mayRetry(counted(1, RETRY_FLOOR), 500), false);
    });
  });
});

describe('admission', () => {
  const request: Admission = {
    priority: 'interactive',
    budgetMs: 1_000,
    queueLimit: 8,
    loadMs: 250,
  };

  function view(queued: number, reportAtMs = 1_000): TargetView {
    const report = {
      node: 'a',
      incarnation: 'a1',
      engineIncarnation: 'e1',
      nodeClockMs: 0,
      revision: 1,
      state: 'serving' as const,
      queued,
      active: 4,
      batchSize: 4,
      slots: 2,
      loaded: [],
      loadsPending: 0,
      serviceMs: 400,
    };
    const fixed = {name: 'a', weight: 1, sentSince: 0, avoidUntilMs: 0};
    return {...fixed, report, reportAtMs};
  }

  it('sheds batch work at half of the queue bound', () => {
    const batch = {...request, priority: 'batch'} as const;
    assert.equal(admit(batch, [view(4)], 1_000)?.reason, 'overloaded');
    assert.equal(admit(request, [view(4)], 1_000), undefined);
    assert.equal(admit(request, [view(8)], 1_000)?.reason, 'overloaded');
  });

  it('refuses early what cannot start within its deadline', () => {
    const short = {...request, budgetMs: 300};
    const refused = admit(short, [view(4)], 1_000);
    assert.equal(refused?.reason, 'deadline_unreachable');
  });

  it('does not refuse by an old report, after which the queue may be empty', () => {
    assert.equal(admit(request, [view(8)], 9_000), undefined);
    assert.equal(admit(request, [view(8), view(8, -9_000)], 1_000), undefined);
  });
});
