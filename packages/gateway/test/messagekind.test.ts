import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import {HoldRequestSchema, HoldResponseSchema} from '@balsamnotch/wire';
import {messageKind} from '../src/node/messagekind.js';

describe('the kind of a control message', () => {
  // Failure: what had caused ten messages a request could not be told from the counters.
  it('follows from what it carries', () => {
    const kinds = [
      create(HoldRequestSchema, {release: [1]}),
      create(HoldRequestSchema, {wantsReport: true, probeIntervalMs: 400}),
      create(HoldRequestSchema, {crashRecordDigests: [5]}),
      create(HoldResponseSchema, {grants: [{id: 1}], report: {loads: 1}}),
      create(HoldResponseSchema, {queued: [1]}),
      create(HoldResponseSchema, {report: {loads: 1}}),
      create(HoldResponseSchema, {crashes: [{key: 'k'}]}),
      create(HoldRequestSchema, {accountUses: [{account: 1}]}),
      create(HoldResponseSchema, {accountTotals: [{account: 1}]}),
      create(HoldRequestSchema, {operatorState: {revision: 4}}),
    ].map(messageKind);
    assert.deepEqual(kinds, [
      'release',
      'probe',
      'crash_digests',
      'lease_answer',
      'lease_confirmation',
      'report',
      'crash_record',
      'account_use',
      'account_total',
      'operator_state',
    ]);
  });
});
