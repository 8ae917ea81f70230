import assert from 'node:assert/strict';
import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ATTEMPT_END} from '@balsamnotch/core';
import {IdleTimes, TargetConnections} from '../src/entry/connections.js';
import {HEAD_START, attemptAt} from './attempts.js';

// The end of the connection is all that ends such a stream, and a crash ends it as well.
describe('streams with neither a length nor chunks', () => {
  let server: net.Server;
  let connections: TargetConnections;
  let body: string;

  beforeEach(async () => {
    connections = new TargetConnections(64, new IdleTimes(() => 0));
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.end(`${HEAD_START}\r\n${body}`));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  afterEach(async () => {
    connections.destroy();
    await new Promise(resolve => server.close(resolve));
  });

  const getResult = () => {
    const {port} = server.address() as AddressInfo;
    const options = {isStream: true};
    return attemptAt(`127.0.0.1:${port}`, connections, options).result;
  };

  it('are complete when the connection ends after an event', async () => {
    body = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
    const {end, answer} = await getResult();
    assert.equal(end, ATTEMPT_END.answered);
    assert.equal(answer?.isFramed, false);
  });

  it('are broken off when the connection ends inside an event', async () => {
    body = 'id: 1\ndata: a\n\nid: 2\nda';
    const {end, isConnectionLost} = await getResult();
    assert.equal(end, ATTEMPT_END.broken);
    assert.ok(isConnectionLost);
  });

  // An engine that crashed after the head of its answer looked like one that had answered.
  it('are broken off when the connection ends before the first event', async () => {
    body = '';
    const {end, isConnectionLost} = await getResult();
    assert.equal(end, ATTEMPT_END.broken);
    assert.ok(isConnectionLost);
  });
});
