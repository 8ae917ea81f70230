import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {REPORT_MS, leastReportMs} from '../src/index.js';

describe('reports of a target node', () => {
  it('come each 80 ms with few entries (placement would work on old loads)', () => {
    assert.equal(leastReportMs(1), 80);
    assert.equal(leastReportMs(10), 80);
  });

  // 40 entries and 31 engines with reports each 80 ms went beyond the processor time of a day.
  it('keep the messages that a target node sends within 125 a second, until heartbeats bind', () => {
    for (const entries of [20, 40, 48]) {
      assert.ok((entries * 1_000) / leastReportMs(entries) <= 125);
    }
  });

  it('never come later than a heartbeat (entries would take the node for lost)', () => {
    assert.equal(leastReportMs(390), REPORT_MS);
  });
});
