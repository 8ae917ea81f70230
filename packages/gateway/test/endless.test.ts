import assert from 'node:assert/strict';
import net, {type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ATTEMPT_END} from '@balsamnotch/core';
import {createAnswerMemory} from '../src/entry/answermemory.js';
import type {AttemptOptions} from '../src/entry/attempt.js';
import {IdleTimes, TargetConnections} from '../src/entry/connections.js';
import {HEAD_START, attemptAt} from './attempts.js';

/** Writes a text repeatedly until the connection closes. */
function writeEndlessly(socket: Socket, text: string): void {
  const writeMore = () => {
    while (!socket.destroyed && socket.write(text));
  };
  socket.on('drain', writeMore);
  writeMore();
}

// A faulty target may send data without end until the entry closes the connection.
describe('attempts with an endless answer', () => {
  let server: net.Server;
  let connections: TargetConnections;
  const sockets = new Set<Socket>();
  let answer: (socket: Socket) => void;

  beforeEach(async () => {
    connections = new TargetConnections(64, new IdleTimes(() => 0));
    server = net.createServer(socket => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  afterEach(async () => {
    connections.destroy();
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => server.close(resolve));
  });

  const getAttemptResult = (options: Partial<AttemptOptions> = {}) => {
    const {port} = server.address() as AddressInfo;
    return attemptAt(`127.0.0.1:${port}`, connections, options).result;
  };
  const waitUntilClosed = async () => {
    for (let n = 0; n < 100; n++) {
      if ([...sockets].every(({destroyed}) => destroyed)) return;
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.fail('a connection is still open after 1 s');
  };

  const heads = {
    'a header field': `${HEAD_START}x: ${'x'.repeat(1_000)}`,
    'data that is not HTTP': 'x'.repeat(1_000),
  };
  for (const [name, text] of Object.entries(heads)) {
    it(`end as broken during the head: ${name}`, async () => {
      answer = socket => writeEndlessly(socket, text);
      const {end} = await getAttemptResult();
      assert.equal(end, ATTEMPT_END.broken);
      await waitUntilClosed();
    });
  }

  // Endless interim answers used to be limited only by the time limit of the attempt.
  it('end as broken during the head: interim answers', async () => {
    answer = socket =>
      writeEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n');
    const startedAtMs = performance.now();
    const {end} = await getAttemptResult();
    assert.equal(end, ATTEMPT_END.broken);
    assert.ok(performance.now() - startedAtMs < 5_000);
    await waitUntilClosed();
  });

  it('end as broken when a buffered answer is too large', async () => {
    answer = socket => {
      socket.write(`${HEAD_START}\r\n`);
      writeEndlessly(socket, 'x'.repeat(10_000));
    };
    const {end, detail} = await getAttemptResult();
    assert.equal(end, ATTEMPT_END.broken);
    assert.equal(detail, 'answer too large');
    await waitUntilClosed();
  });

  // An endless event was buffered until the process ran out of memory.
  it('end as broken when an event of a stream is too large', async () => {
    answer = socket => {
      socket.write(`${HEAD_START}\r\nid: 1\ndata: `);
      writeEndlessly(socket, 'x'.repeat(10_000));
    };
    const {end, detail} = await getAttemptResult({isStream: true});
    assert.equal(end, ATTEMPT_END.broken);
    assert.equal(detail, 'event too large');
    await waitUntilClosed();
  });

  // At 8 MB each, 40 such answers at once would use 320 MB, more than the memory of a node.
  it('together use a limited amount of memory, and do not end other attempts', async () => {
    const limitBytes = 4 * 1024 * 1024;
    const memory = createAnswerMemory({limitBytes: () => limitBytes});
    let isEndless = false;
    answer = socket => {
      if (!isEndless) {
        socket.write(`${HEAD_START}content-length: 4\r\n\r\nab`);
        setTimeout(() => socket.write('cd'), 300);
        return;
      }
      socket.write(`${HEAD_START}\r\n`);
      writeEndlessly(socket, 'x'.repeat(10_000));
    };
    const complete = getAttemptResult({memory});
    await new Promise(resolve => setTimeout(resolve, 50));
    isEndless = true;
    const endless = Array.from({length: 8}, () => getAttemptResult({memory}));
    for (const result of endless) {
      const {end, detail} = await result;
      assert.equal(end, ATTEMPT_END.broken);
      assert.equal(detail, 'buffered answers exceed the memory limit');
      assert.ok(memory.bufferedBytes() <= limitBytes);
    }
    assert.equal((await complete).end, ATTEMPT_END.answered);
    assert.equal(memory.bufferedBytes(), 0);
  });
});
