import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findForeignOrders, isSuperseded, nextFence} from '@balsamnotch/core';

const version = (adapter: string) => ({adapter, version: '1'});

describe('fencing', () => {
  it('numbers an order above those the engine has seen and those that may be in transit', () => {
    assert.equal(nextFence(7, 0), 8);
    assert.equal(nextFence(7, 9), 10);
    // An engine that restarted counts from 0 again.
    assert.equal(nextFence(0, 9), 10);
  });

  it('detects orders of a later process, but not those of this process or of earlier ones', () => {
    assert.equal(isSuperseded(7, 7, 0), false);
    assert.equal(isSuperseded(9, 7, 9), false);
    assert.equal(isSuperseded(10, 7, 9), true);
    // An engine that restarted counts from 0 again.
    assert.equal(isSuperseded(0, 7, 9), false);
  });

  it('finds adapters that another process loaded or evicted, but not the effects of orders of this process', () => {
    const expected = [version('a'), version('b'), version('c')];
    const reported = [version('a'), version('d'), version('e')];
    const ownOpenOrders = new Set(['c@1', 'e@1']);
    assert.deepEqual(findForeignOrders(expected, reported, ownOpenOrders), {
      appeared: [version('d')],
      vanished: [version('b')],
    });
  });
});
