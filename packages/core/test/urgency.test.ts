import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {NO_PROFILE, admissionRank, withDeadline} from '../src/index.js';

describe('rank of requests under load', () => {
  const patience = fc.double({min: 0.85, max: 1, noNaN: true});

  it('puts a request that comes back after a refusal behind first attempts of its route', () => {
    fc.assert(
      fc.property(
        fc.array(patience, {minLength: 400, maxLength: 600}),
        shares => {
          // Every fourth request is a second attempt with two thirds of its time.
          const deadlines = shares.map(
            (share, n) => 5_000 * share * (n % 4 === 0 ? 0.65 : 1),
          );
          const profile = deadlines.reduce(withDeadline, NO_PROFILE);
          assert.equal(admissionRank(0, profile, 5_000 * 0.9), 0);
          assert.equal(admissionRank(0, profile, 5_000 * 0.65), 1);
          assert.equal(admissionRank(2, profile, 5_000), 2);
        },
      ),
    );
  });

  it('treats a request without a deadline, and the first of a route, as first attempts', () => {
    assert.equal(admissionRank(0, NO_PROFILE, 100), 0);
    assert.equal(admissionRank(0, {usualMs: 5_000}, 0), 0);
  });
});
