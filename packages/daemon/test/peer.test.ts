import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {connect as connectTo, type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Peer} from '../src/entry/peer.js';
import {fakeTarget, type FakeTarget} from './entry-harness.js';

/** Forwards bytes to a target and cuts all connections on demand. */
class Relay {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  opened = 0;

  constructor(private readonly to: string) {
    this.server = createServer(socket => this.forward(socket));
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', () => resolve()),
    );
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  cut(): void {
    for (const socket of this.sockets) socket.destroy();
    this.sockets.clear();
  }

  async close(): Promise<void> {
    this.cut();
    await new Promise(resolve => this.server.close(resolve));
  }

  private forward(socket: Socket): void {
    this.opened++;
    const [host = '', port = ''] = this.to.split(':');
    const other = connectTo({host, port: Number(port)});
    for (const [from, into] of [
      [socket, other],
      [other, socket],
    ] as const) {
      this.sockets.add(from);
      from.on('error', () => undefined);
      from.on('close', () => into.destroy());
      from.pipe(into);
    }
  }
}

describe('peer', () => {
  let target: FakeTarget;
  let relay: Relay;
  let peer: Peer;

  beforeEach(async () => {
    target = await fakeTarget('m1', 'assistant');
    relay = new Relay(target.vm.address);
    peer = new Peer(await relay.listen());
  });

  afterEach(async () => {
    peer.close();
    await relay.close();
    await target.close();
  });

  // A cut that this process has not read yet made the target look unreachable.
  it('opens a new connection when the kept one was cut', async () => {
    for (let round = 0; round < 20; round++) {
      const first = await peer.connect(800);
      assert.ok(first, `round ${round}: no first connection`);
      first.release();
      relay.cut();
      for (let turn = 0; turn < round % 5; turn++) {
        await new Promise(resolve => setImmediate(resolve));
      }
      const second = await peer.connect(800);
      assert.ok(second, `round ${round}: no connection after the cut`);
      const report = await second.client.probe({}, {timeoutMs: 800}).then(
        ({node}) => node,
        (error: unknown) => `${error}`,
      );
      second.release();
      if (report !== 'm1') second.abandon();
    }
  });
});
