import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {heartbeatMs, leastReportMs, silenceMs} from '../src/index.js';

describe('reports of a target node', () => {
  it('come each 80 ms with few entries (placement would work on old loads)', () => {
    assert.equal(leastReportMs(1), 80);
    assert.equal(leastReportMs(10), 80);
    assert.equal(heartbeatMs(10), 400);
  });

  // 40 entries and 31 engines with reports each 80 ms went beyond the processor time of a day.
  it('keep what a target node sends within 60 messages a second from 40 entries on', () => {
    for (const entries of [40, 48, 60]) {
      assert.ok((entries * 1_000) / leastReportMs(entries) <= 60);
    }
  });

  it('never come later than a third of the silence that entries bear (a live node would be taken for lost)', () => {
    for (const entries of [1, 10, 24, 40, 390]) {
      assert.ok(leastReportMs(entries) <= heartbeatMs(entries));
      assert.equal(silenceMs(entries), 3 * heartbeatMs(entries));
    }
  });
});
