import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {EMPTY_PROFILE, admissionRank, withDeadline} from '../src/index.js';

describe('admissionRank', () => {
  const deadlineFactors = fc.double({min: 0.85, max: 1, noNaN: true});

  it('ranks a repeated request below first attempts on the same route', () => {
    fc.assert(
      fc.property(
        fc.array(deadlineFactors, {minLength: 400, maxLength: 600}),
        factors => {
          // Every fourth request is a second attempt with about two thirds of the time left.
          const deadlines = factors.map(
            (factor, n) => 5_000 * factor * (n % 4 === 0 ? 0.65 : 1),
          );
          const profile = deadlines.reduce(withDeadline, EMPTY_PROFILE);
          assert.equal(admissionRank(0, profile, 5_000 * 0.9), 0);
          assert.equal(admissionRank(0, profile, 5_000 * 0.65), 1);
          assert.equal(admissionRank(2, profile, 5_000), 2);
        },
      ),
    );
  });

  it('treats requests without a deadline and the first request of a route as first attempts', () => {
    assert.equal(admissionRank(0, EMPTY_PROFILE, 100), 0);
    assert.equal(admissionRank(0, {p80Ms: 5_000}, 0), 0);
  });
});
