import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import {EngineReportSchema} from '@balsamnotch/wire';
import {NodeRefusals} from '../src/entry/noderefusals.js';
import {LEASE_REFUSAL} from '../src/node/leaserefusal.js';

const REQUEST = {
  model: 'm',
  adapter: 'a1',
  isHeld: false,
  rank: 0,
  objectiveMs: 600,
};

const OTHER = {...REQUEST, adapter: 'a2'};

describe('the refusals of a target node', () => {
  const clock = {ms: 0};
  let refusals: NodeRefusals;
  beforeEach(() => {
    clock.ms = 0;
    refusals = new NodeRefusals({
      monotonicMs: () => clock.ms,
      wallMs: () => 0,
    });
    refusals.recordReport(create(EngineReportSchema, {incarnationMs: 7}));
  });

  // Failure: what one request had learnt of a target node was lost on the next one.
  it('hold for other requests until the stated time', () => {
    refusals.recordRefusal(REQUEST, LEASE_REFUSAL.loadQueueFull, 400);
    clock.ms = 399;
    assert.equal(refusals.of(OTHER)?.reason, LEASE_REFUSAL.loadQueueFull);
    clock.ms = 400;
    assert.equal(refusals.of(OTHER), undefined);
  });

  it('hold for nobody else if they concern one request', () => {
    refusals.recordRefusal(REQUEST, LEASE_REFUSAL.quarantined, 400);
    refusals.recordRefusal(REQUEST, 'unknown', 400);
    assert.equal(refusals.of(REQUEST), undefined);
  });

  // Failure: an engine that is back gets no requests for as long as the one before had refused them.
  it('end with another incarnation of the engine', () => {
    refusals.recordRefusal(REQUEST, LEASE_REFUSAL.engineUnreachable, 0);
    assert.ok(refusals.of(OTHER));
    refusals.recordReport(
      create(EngineReportSchema, {incarnationMs: 8, loads: 3}),
    );
    assert.equal(refusals.of(OTHER), undefined);
  });

  it('end with a grant', () => {
    refusals.recordRefusal(REQUEST, LEASE_REFUSAL.modelNotInTime, 900);
    assert.ok(refusals.of(OTHER));
    refusals.recordGrant(OTHER);
    assert.equal(refusals.of(REQUEST), undefined);
  });
});
