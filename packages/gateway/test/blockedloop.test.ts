import assert from 'node:assert/strict';
import net, {type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ATTEMPT_END} from '@balsamnotch/core';
import type {AttemptOptions} from '../src/entry/attempt.js';
import {IdleTimes, TargetConnections} from '../src/entry/connections.js';
import {HEAD_START, attemptAt} from './attempts.js';

const BLOCKED_MS = 1_300;

/**
 * Timeout that ends while the event loop is blocked, in milliseconds. The request and the start of
 * the answer before the block need a small part of it, also on a busy computer.
 */
const TIMEOUT_MS = 1_000;

/** Longer than the time that a connection may take to open, in milliseconds. */
const BEYOND_CONNECT_MS = 400;

const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';

function blockFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

/** Sends bytes that can be read only after the event loop was blocked and timers have run. */
function sendBeforeBlock(socket: Socket, bytes: string): void {
  setImmediate(() => socket.write(bytes));
  setImmediate(() => blockFor(BLOCKED_MS));
}

// Answers that had arrived were given up, and their requests sent again, by an entry that was late.
describe('answers that arrive while the event loop is blocked beyond a timeout', () => {
  let server: net.Server;
  let connections: TargetConnections;
  let answer: (socket: Socket) => void;

  beforeEach(async () => {
    connections = new TargetConnections(64, new IdleTimes(() => 0));
    server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  afterEach(async () => {
    connections.destroy();
    await new Promise(resolve => server.close(resolve));
  });

  const getResult = (options: Partial<AttemptOptions>) => {
    const {port} = server.address() as AddressInfo;
    return attemptAt(`127.0.0.1:${port}`, connections, options).result;
  };

  it('are read where the first byte was due', async () => {
    answer = socket => {
      setTimeout(() => {
        sendBeforeBlock(socket, `${HEAD_START}content-length: 2\r\n\r\nok`);
      }, 20);
    };
    const result = await getResult({firstByteTimeoutMs: TIMEOUT_MS});
    assert.equal(result.end, ATTEMPT_END.answered, result.detail);
    assert.equal(Buffer.concat(result.answer?.body ?? []).toString(), 'ok');
  });

  // The connection counted as not opened, so the target was avoided and the request sent elsewhere.
  it('are read where the connection was to be open', async () => {
    answer = socket => {
      socket.write(`${HEAD_START}content-length: 2\r\n\r\nok`);
    };
    const attempt = getResult({firstByteTimeoutMs: 2_000});
    blockFor(BEYOND_CONNECT_MS);
    const result = await attempt;
    assert.equal(result.end, ATTEMPT_END.answered, result.detail);
  });

  it('are read where the next event of a stream was due', async () => {
    answer = socket => {
      socket.write(`${HEAD_START}\r\n${EVENT_1}`);
      setTimeout(() => {
        sendBeforeBlock(socket, EVENT_2);
        setTimeout(() => socket.end(), BLOCKED_MS + 50);
      }, 20);
    };
    const options = {isStream: true, gapTimeoutMs: TIMEOUT_MS};
    const result = await getResult(options);
    assert.equal(result.end, ATTEMPT_END.answered, result.detail);
  });
});
