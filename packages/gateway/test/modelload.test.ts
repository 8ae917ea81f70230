import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {modelReadyMs} from '../src/agent/modelload.js';

describe('load of a base model', () => {
  it('is expected after the stated time, less what has passed', () => {
    const load = {model: 'm', startedAtMs: 1_000};
    assert.equal(modelReadyMs('m', 3_900, undefined, 5_000), 3_900);
    assert.equal(modelReadyMs('m', 3_900, load, 2_000), 2_900);
  });

  it('never looks done before it is (requests would be sent there to wait)', () => {
    const load = {model: 'm', startedAtMs: 1_000};
    assert.ok(modelReadyMs('m', 3_900, load, 9_000) > 0);
    assert.ok(modelReadyMs('m', 0, undefined, 0) > 0);
  });

  it('does not take the load of another model for its own', () => {
    const load = {model: 'other', startedAtMs: 0};
    assert.equal(modelReadyMs('m', 2_000, load, 1_500), 2_000);
  });
});
