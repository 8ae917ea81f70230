import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  watchCallerPresence,
  type CallerPresence,
} from '../src/entry/callerpresence.js';
import {waitUntil} from './support.js';

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function blockFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

describe('callers that end their half of the connection', () => {
  const server = http.createServer();
  /** Presence of the caller of each path, and whether its end has been read. */
  const callers = new Map<
    string,
    {readonly presence: CallerPresence; readonly socket: net.Socket}
  >();
  let port = 0;
  const sockets: net.Socket[] = [];

  beforeEach(async () => {
    (server as http.Server & {httpAllowHalfOpen: boolean}).httpAllowHalfOpen =
      true;
    server.on('request', (incoming, response) =>
      callers.set(incoming.url ?? '', {
        presence: watchCallerPresence(incoming, response),
        socket: incoming.socket,
      }),
    );
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    port = (server.address() as AddressInfo).port;
  });
  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.closeAllConnections();
    server.close();
  });

  const call = async (path: string) => {
    const socket = net.connect({host: '127.0.0.1', port, allowHalfOpen: true});
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
    await waitUntil(() => callers.has(path), `request ${path}`);
    return {socket, presence: callers.get(path)!.presence};
  };

  /** Resolves when the end of a caller's half has been read; `presence` asks in the same turn. */
  const presenceAtEnd = (path: string) => {
    const {presence, socket} = callers.get(path)!;
    return new Promise<{presence: Promise<boolean>}>(resolve =>
      socket.once('end', () => resolve({presence: presence.isPresent()})),
    );
  };

  // Failure: after a blocked event loop the timer that ends the confirmation ran before those of the
  // probes, so a caller that had left counted as present, and its request was sent (GONE).
  it('have left if they have closed, also when the event loop is late', async () => {
    const waiting = await call('/waiting');
    const leaving = await call('/leaving');
    const waitingAtEnd = presenceAtEnd('/waiting');
    waiting.socket.end();
    const {presence: isWaitingPresent} = await waitingAtEnd;
    await sleep(80);
    const leavingAtEnd = presenceAtEnd('/leaving');
    leaving.socket.destroy();
    const {presence: isLeavingPresent} = await leavingAtEnd;
    blockFor(400);
    assert.equal(await isLeavingPresent, false);
    assert.equal(await isWaitingPresent, true);
  });
});
