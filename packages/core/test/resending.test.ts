import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isNodeLost, lostProbeDelayMs, resendDelayMs} from '../src/index.js';

describe('unanswered datagrams', () => {
  // A single lost datagram must not make an entry give up an engine.
  it('are sent three times before their node counts as lost', () => {
    let silentMs = 0;
    let sends = 1;
    for (;;) {
      silentMs += resendDelayMs(sends);
      if (isNodeLost(silentMs)) break;
      sends += 1;
    }
    assert.equal(sends, 3);
  });

  // A request that waits for a dead node must still find another one in time; the
  // shortest latency objective of a stream is 600 ms.
  it('lead to another node within 500 ms', () => {
    assert.equal(isNodeLost(500), true);
    assert.equal(isNodeLost(300), false);
  });

  it('are sent to a lost node at least every 2 s, to find it after its restart', () => {
    for (const probes of [0, 1, 5, 50]) {
      assert.ok(lostProbeDelayMs(probes) <= 2_000);
    }
  });
});
