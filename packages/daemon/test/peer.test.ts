import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {RELAY_MODE, startRelay, type Relay} from '@balsamnotch/demo';
import {Peer} from '../src/entry/peer.js';
import {fakeTarget, type FakeTarget} from './entry-harness.js';

describe('peer connection', () => {
  let target: FakeTarget;
  let relay: Relay;
  let peer: Peer;

  beforeEach(async () => {
    target = await fakeTarget('m1', 'assistant');
    relay = await startRelay(() => target.vm.address);
    peer = new Peer(relay.address);
  });

  afterEach(async () => {
    peer.close();
    await relay.close();
    await target.close();
  });

  // The session was cut, but this process had not yet processed the end of the
  // connection: reusing it made a reachable target look unreachable.
  it('opens a new connection when the open one was cut', async () => {
    for (let round = 0; round < 20; round++) {
      const first = await peer.connect(800);
      assert.ok(first, `round ${round}: no first connection`);
      first.release();
      relay.set(RELAY_MODE.cut);
      relay.set(RELAY_MODE.pass);
      for (let turn = 0; turn < round % 5; turn++) {
        await new Promise(resolve => setImmediate(resolve));
      }
      const second = await peer.connect(800);
      assert.ok(second, `round ${round}: no connection after the cut`);
      const nodeOrError = await second.client.probe({}, {timeoutMs: 800}).then(
        ({node}) => node,
        (error: unknown) => `${error}`,
      );
      second.release();
      if (nodeOrError !== 'm1') second.abandon();
    }
  });
});
