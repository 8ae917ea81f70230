import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {modelReadyMs} from '../src/agent/modelload.js';

describe('estimated time until a base model is loaded', () => {
  it('is the configured time minus the elapsed time', () => {
    const load = {model: 'm', startedAtMs: 1_000};
    assert.equal(modelReadyMs('m', 3_900, undefined, 5_000), 3_900);
    assert.equal(modelReadyMs('m', 3_900, load, 2_000), 2_900);
  });

  // With an estimate of 0, entries would send requests to the engine, where they would wait.
  it('stays above 0 until the load has finished', () => {
    const load = {model: 'm', startedAtMs: 1_000};
    assert.ok(modelReadyMs('m', 3_900, load, 9_000) > 0);
    assert.ok(modelReadyMs('m', 0, undefined, 0) > 0);
  });

  it('ignores a load of another model', () => {
    const load = {model: 'other', startedAtMs: 0};
    assert.equal(modelReadyMs('m', 2_000, load, 1_500), 2_000);
  });
});
