import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRelay, type Relay} from '@balsamnotch/demo';

/** Time without data after which a connection counts as silent, in milliseconds. */
const SILENCE_TIMEOUT_MS = 100;

describe('relay', () => {
  let relay: Relay;
  let receivedByServer: string;
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket.on('error', () => {}));
    socket.on('data', chunk => {
      receivedByServer += chunk.toString();
      socket.write(chunk);
    });
  });

  beforeEach(async () => {
    receivedByServer = '';
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    relay = await startRelay(() => `127.0.0.1:${port}`);
  });

  afterEach(async () => {
    sockets.splice(0).forEach(socket => socket.destroy());
    await relay.close();
    server.close();
  });

  function connectToRelay(): Socket {
    const [host, port] = relay.address.split(':');
    const socket = connect(Number(port), host);
    sockets.push(socket.on('error', () => {}));
    return socket;
  }

  async function openConnection(): Promise<Socket> {
    const socket = connectToRelay();
    await once(socket, 'connect');
    return socket;
  }

  // once() would reject on the error event that a reset emits before close.
  const waitUntilClosed = (socket: Socket) =>
    new Promise(resolve => socket.on('close', resolve));

  /** Sends a text and returns the response, or `silence` if none arrives in time. */
  async function echo(socket: Socket, text: string): Promise<string> {
    socket.write(text);
    const answer = once(socket, 'data').then(([part]) => String(part));
    return Promise.race([answer, sleep(SILENCE_TIMEOUT_MS, 'silence')]);
  }

  it('passes data in both directions', async () => {
    assert.equal(await echo(await openConnection(), 'a'), 'a');
  });

  // A cut that spared new connections would not simulate an unreachable node.
  it('resets open and new connections when cut, then passes new ones', async () => {
    const before = await openConnection();
    await echo(before, 'a');
    const closed = waitUntilClosed(before);
    relay.set('cut');
    await closed;
    await waitUntilClosed(connectToRelay());
    relay.set('pass');
    assert.equal(await echo(await openConnection(), 'b'), 'b');
  });

  // A TCP connection that lost data must not resume: the byte stream would have a gap.
  it('keeps a half-open connection silent while new ones pass', async () => {
    const before = await openConnection();
    await echo(before, 'a');
    relay.set('silent');
    assert.equal(await echo(await openConnection(), 'b'), 'silence');
    relay.set('pass');
    assert.equal(await echo(before, 'c'), 'silence');
    assert.equal(receivedByServer, 'a');
    assert.equal(await echo(await openConnection(), 'd'), 'd');
  });

  // Losing data in both directions would not simulate a one-way fault.
  it('discards data in only one direction', async () => {
    relay.set('silent_from_node');
    assert.equal(await echo(await openConnection(), 'a'), 'silence');
    assert.equal(receivedByServer, 'a');
    relay.set('silent_to_node');
    assert.equal(await echo(await openConnection(), 'b'), 'silence');
    assert.equal(receivedByServer, 'a');
  });
});
