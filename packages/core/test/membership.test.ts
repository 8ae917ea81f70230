import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  MAX_AVOID_MS,
  unusableTargets,
  avoidedTargets,
  liveTargets,
  newTargetStatus,
  usableTargets,
  withEnd,
  withFailure,
  withVmList,
  withReport,
  withSend,
  withTargetStatus,
  type ListedTarget,
  type Membership,
  type NodeState,
  type TargetStatus,
  type TargetReport,
} from '@balsamnotch/core';

function listed(state: ListedTarget['state'] = 'live'): ListedTarget {
  const address = '127.0.0.1:1';
  return {name: 'a', service: 's', address, failureDomain: 'd', state};
}

function report(
  state: NodeState,
  nodeClockMs: number,
  incarnation = 'a1',
): TargetReport {
  return {
    node: 'a',
    incarnation,
    engineIncarnation: '',
    nodeClockMs,
    revision: 1,
    state,
    queued: 0,
    active: 0,
    batchSize: 1,
    slots: 0,
    loaded: [],
    loadsPending: 0,
    serviceMs: 1,
  };
}

function isLive(status: TargetStatus): boolean {
  return liveTargets(new Map([['a', status]]), 's').length === 1;
}

describe('membership', () => {
  const fresh = newTargetStatus(listed(), 0);
  const serving = withReport(fresh, report('serving', 10), 10);

  it('excludes a target that reports that it is leaving while the VM list still says live', () => {
    const leaving = withReport(serving, report('leaving', 20), 20);
    const membership = withVmList(new Map([['a', leaving]]), [listed()], 30);
    assert.equal(liveTargets(membership, 's').length, 0);
  });

  it('keeps a leaving target excluded when an earlier report arrives late', () => {
    const leaving = withReport(serving, report('leaving', 20), 20);
    assert.equal(isLive(withReport(leaving, report('serving', 15), 30)), false);
    assert.equal(isLive(withReport(leaving, report('serving', 25), 30)), true);
  });

  it('accepts a report of a new incarnation, but no late report of the previous one', () => {
    const leaving = withReport(serving, report('leaving', 20), 20);
    const next = withReport(leaving, report('serving', 1, 'a2'), 30);
    assert.equal(isLive(next), true);
    const late = withReport(next, report('leaving', 30, 'a1'), 40);
    assert.equal(late.report?.incarnation, 'a2');
  });

  it('excludes a target that the VM list says is leaving until a later report says it is serving', () => {
    const membership: Membership = new Map([['a', serving]]);
    const left = withVmList(membership, [listed('leaving')], 50);
    assert.equal(liveTargets(left, 's').length, 0);
    const reported = withTargetStatus(left, 'a', status =>
      withReport(status, report('serving', 60), 60),
    );
    const again = withVmList(reported, [listed('leaving')], 70);
    assert.equal(liveTargets(again, 's').length, 1);
  });

  it('avoids a target after two failed attempts, for longer each time, until it reports', () => {
    const once = withFailure(serving, 100, 0);
    assert.equal(once.avoidUntilMs, 0);
    const twice = withFailure(once, 100, 0);
    const membership = new Map([['a', twice]]);
    assert.equal(usableTargets(membership, 's', 200).length, 0);
    assert.equal(unusableTargets(membership, 200).length, 1);
    const thrice = withFailure(twice, 100, 0);
    assert.ok(thrice.avoidUntilMs > twice.avoidUntilMs);
    let many = thrice;
    for (let i = 0; i < 100; i++) many = withFailure(many, 100, 0);
    assert.equal(many.avoidUntilMs, 100 + MAX_AVOID_MS);
    const recovered = withReport(many, report('serving', 300), 300);
    assert.equal(
      usableTargets(new Map([['a', recovered]]), 's', 300).length,
      1,
    );
  });

  // Two requests fail when their shared connection is cut. Counted as two failures, they
  // would keep the target out of use for 1.5 s.
  it('counts one failure for all attempts that were open when it occurred', () => {
    const first = withFailure(serving, 100, 0, 50);
    const second = withFailure(first, 101, 0, 60);
    assert.equal(second.failures, 1);
    assert.equal(second.avoidUntilMs, 0);
    assert.equal(withFailure(second, 120, 0, 110).failures, 2);
  });

  it('lists targets with failed attempts as avoided, except those that are leaving or starting', () => {
    const failing = (status: TargetStatus) =>
      withFailure(withFailure(status, 100, 0), 100, 0);
    const avoidedCount = (status: TargetStatus) =>
      avoidedTargets(new Map([['a', failing(status)]]), 's', 200).length;
    assert.equal(avoidedCount(serving), 1);
    assert.equal(avoidedCount(fresh), 1);
    assert.equal(
      avoidedCount(withReport(serving, report('leaving', 20), 20)),
      0,
    );
    assert.equal(
      avoidedCount(withReport(serving, report('starting', 20), 20)),
      0,
    );
  });

  it('counts only open requests that were sent after the last report', () => {
    const one = withSend(serving);
    const reports = one.reports;
    const reported = withSend(withReport(one, report('serving', 20), 20));
    assert.equal(reported.sentSince, 1);
    assert.equal(withEnd(reported, reports).sentSince, 1);
    assert.equal(withEnd(reported, reported.reports).sentSince, 0);
  });
});
