import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRelay, type Relay} from '@balsamnotch/demo';

/** Time after which a silent connection counts as silent. */
const SILENCE_MS = 100;

describe('relay', () => {
  let relay: Relay;
  let received: string;
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket.on('error', () => {}));
    socket.on('data', part => {
      received += part.toString();
      socket.write(part);
    });
  });

  beforeEach(async () => {
    received = '';
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

  function start(): Socket {
    const [host, port] = relay.address.split(':');
    const socket = connect(Number(port), host);
    sockets.push(socket.on('error', () => {}));
    return socket;
  }

  async function open(): Promise<Socket> {
    const socket = start();
    await once(socket, 'connect');
    return socket;
  }

  // once() would reject on the reset that precedes the close.
  const untilClosed = (socket: Socket) =>
    new Promise(resolve => socket.on('close', resolve));

  /** What comes back for a text, or `silence`. */
  async function echo(socket: Socket, text: string): Promise<string> {
    socket.write(text);
    const answer = once(socket, 'data').then(([part]) => String(part));
    return Promise.race([answer, sleep(SILENCE_MS, 'silence')]);
  }

  it('passes bytes both ways', async () => {
    assert.equal(await echo(await open(), 'a'), 'a');
  });

  it('resets open and new connections when cut, and passes new ones later', async () => {
    const before = await open();
    await echo(before, 'a');
    const closed = untilClosed(before);
    relay.set('cut');
    await closed;
    await untilClosed(start());
    relay.set('pass');
    assert.equal(await echo(await open(), 'b'), 'b');
  });

  it('keeps a half-open connection silent while new ones pass', async () => {
    const before = await open();
    await echo(before, 'a');
    relay.set('silent');
    assert.equal(await echo(await open(), 'b'), 'silence');
    relay.set('pass');
    assert.equal(await echo(before, 'c'), 'silence');
    assert.equal(received, 'a');
    assert.equal(await echo(await open(), 'd'), 'd');
  });

  it('discards one direction only', async () => {
    relay.set('silent_from_node');
    assert.equal(await echo(await open(), 'a'), 'silence');
    assert.equal(received, 'a');
    relay.set('silent_to_node');
    assert.equal(await echo(await open(), 'b'), 'silence');
    assert.equal(received, 'a');
  });
});
