import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import {EngineReportSchema} from '@balsamnotch/wire';
import {RecentAdapters} from '../src/entry/recent.js';

function createReport(incarnationMs: number, adapterNames: readonly string[]) {
  const adapters = adapterNames.map(adapter => ({adapter, version: 1}));
  return create(EngineReportSchema, {
    incarnationMs,
    models: [{model: 'm', adapters}],
  });
}

describe('recently held adapters', () => {
  it('include unloaded adapters, but not those held too long ago', () => {
    const recent = new RecentAdapters();
    for (let n = 0; n < 200; n++) recent.record(createReport(1, [`a${n}`]));
    assert.equal(recent.has('m', 'a190'), true);
    assert.equal(recent.has('m', 'a1'), false);
  });

  // A restarted engine has no adapters in its own memory. Keeping the old ones would
  // underestimate the time of a load.
  it('are cleared when the engine restarts', () => {
    const recent = new RecentAdapters();
    recent.record(createReport(1, ['a1']));
    recent.record(createReport(2, []));
    assert.equal(recent.has('m', 'a1'), false);
  });
});
