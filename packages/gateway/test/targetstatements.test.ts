import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {UNAVAILABILITY, type RegisteredTarget} from '@balsamnotch/core';
import type {GatewayContext} from '../src/node/context.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {TargetConnections, IdleTimes} from '../src/entry/connections.js';
import {TargetStatements} from '../src/entry/targetstatements.js';
import type {TargetState} from '../src/entry/targets.js';
import {QUIET_LOG} from './support.js';

const TARGET: RegisteredTarget = {
  id: 't',
  service: 's',
  address: '127.0.0.1:1',
  failureDomain: 'f',
  softwareVersion: 'v1',
  slots: 1,
  leaving: false,
  incarnationMs: 7,
  models: [],
};

describe('statements of targets', () => {
  const statements = () => {
    let nowMs = 0;
    const context = {
      clock: {monotonicMs: () => nowMs, unixMs: () => nowMs},
      log: QUIET_LOG,
      metrics: createGatewayMetrics(),
    } as unknown as GatewayContext;
    const created = new TargetStatements(context);
    const list = (): TargetState => {
      const stated = created.of(TARGET);
      stated.adoptIncarnation(TARGET.incarnationMs);
      return {
        listing: {target: TARGET, missingUntilMs: 0},
        stated,
        connections: new TargetConnections(1, new IdleTimes(() => nowMs)),
      } as unknown as TargetState;
    };
    return {created, list, advance: (ms: number) => (nowMs += ms)};
  };

  // A target whose list entry had lapsed stated in an answer that it was leaving, and got new requests once it was listed again.
  it('count if they arrive while the target is not listed', () => {
    const {created, list, advance} = statements();
    const target = list();
    const observer = created.observer(target);
    created.keep(TARGET.id, target.stated);
    advance(1_000);
    observer.onLeaving();
    advance(1_000);
    assert.equal(list().stated.unavailability(), UNAVAILABILITY.leaving);
  });

  it('count again after the target was not listed for a time', () => {
    const {created, list, advance} = statements();
    const target = list();
    created.observer(target).onPause(5_000);
    created.keep(TARGET.id, target.stated);
    advance(1_000);
    assert.equal(list().stated.unavailability(), UNAVAILABILITY.paused);
  });
});
