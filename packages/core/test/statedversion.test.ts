import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  behindMs,
  isPositionDoubtful,
  NO_STATED_VERSION,
  withStatedVersion,
} from '../src/index.js';

const BOUND_MS = 2_000;

// Load: statements of other nodes that come with each message, ten a second and more.
describe('versions of the routes that other nodes state', () => {
  it('count the time for which an older one is in force', () => {
    let version = withStatedVersion(NO_STATED_VERSION, 7, 4, 100);
    version = withStatedVersion(version, 7, 4, 400);
    assert.equal(behindMs(version, 600), 500);
    assert.ok(!isPositionDoubtful(version, BOUND_MS, 600));
    assert.ok(isPositionDoubtful(version, BOUND_MS, 601));
  });

  // Failure: an alarm that goes on after the version has come into force.
  it('end the time when the version is in force', () => {
    const version = withStatedVersion(NO_STATED_VERSION, 7, 4, 100);
    assert.equal(behindMs(withStatedVersion(version, 0, 7, 900), 900), 0);
  });

  it('begin the time at the first statement, however many versions follow', () => {
    let version = NO_STATED_VERSION;
    for (let n = 0; n < 20; n++) {
      version = withStatedVersion(version, 5 + n, 4, 100 * n);
    }
    assert.equal(behindMs(version, 2_000), 2_000);
  });

  it('older than the one in force do not count', () => {
    const version = withStatedVersion(NO_STATED_VERSION, 4, 7, 100);
    assert.equal(behindMs(version, 5_000), 0);
  });
});
