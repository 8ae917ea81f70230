import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import {EngineReportSchema} from '@balsamnotch/wire';
import {RecentAdapters} from '../src/entry/recent.js';

function report(incarnationMs: number, names: readonly string[]) {
  const adapters = names.map(adapter => ({adapter, version: 1}));
  return create(EngineReportSchema, {
    incarnationMs,
    models: [{model: 'm', adapters}],
  });
}

describe('adapters that an engine held lately', () => {
  it('remembers what was unloaded, and forgets what is too long ago', () => {
    const recent = new RecentAdapters();
    for (let n = 0; n < 200; n++) recent.note(report(1, [`a${n}`]));
    assert.equal(recent.has('m', 'a190'), true);
    assert.equal(recent.has('m', 'a1'), false);
  });

  it('forgets everything when the engine starts again (a load would be taken for a short one)', () => {
    const recent = new RecentAdapters();
    recent.note(report(1, ['a1']));
    recent.note(report(2, []));
    assert.equal(recent.has('m', 'a1'), false);
  });
});
