import assert from 'node:assert/strict';
import http, {type IncomingMessage} from 'node:http';
import net from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  CALLER_KEY,
  chunkEvent,
  endEvent,
  fakeTarget,
  sleep,
  startHarness,
  type FakeTarget,
  type Harness,
} from './entry-harness.js';

/** Time until the load balancer notices the stop, in milliseconds. */
const LAG_MS = 200;

/** Tokens of the chat that keeps the stop from ending, and the time of each in milliseconds. */
const CHAT = {tokens: 10, tokenMs: 100} as const;

/** More than the buffers of a connection on loopback hold. */
const BODY_BYTES = 7_000_000;

interface Received {
  readonly status: number;
  /** Value of the header `Connection`. */
  readonly connection: string | undefined;
  readonly body: string;
}

describe('a planned stop of an entry', () => {
  let harness: Harness;
  let target: FakeTarget;
  let agent: http.Agent;
  let chat: Promise<Response>;

  /** Lists bookings on a kept connection. */
  const list = (): Promise<Received> =>
    new Promise((resolve, reject) => {
      const request = http.request(
        `${harness.url}/v1/services/booking/list`,
        {
          agent,
          method: 'POST',
          headers: {authorization: `Bearer ${CALLER_KEY}`},
        },
        (response: IncomingMessage) => {
          let body = '';
          response.on('data', data => (body += String(data)));
          response.on('error', reject);
          response.on('end', () =>
            resolve({
              status: response.statusCode ?? 0,
              connection: response.headers.connection,
              body,
            }),
          );
        },
      );
      request.on('error', reject);
      request.end('x');
    });

  beforeEach(async () => {
    agent = new http.Agent({keepAlive: true, maxSockets: 1});
    target = await fakeTarget('m1', 'assistant');
    target.script.chat = async function* (message) {
      for (let n = 0; n < CHAT.tokens; n++) {
        yield chunkEvent(message, n, 1);
        await sleep(CHAT.tokenMs);
      }
      yield endEvent(message, CHAT.tokens);
    };
    const bookings = await fakeTarget('b1', 'booking');
    harness = await startHarness([target, bookings], {balancerLagMs: LAG_MS});
    chat = harness.chat();
    for (let n = 0; n < 300 && target.chats.length === 0; n++) await sleep(10);
    assert.equal(target.chats.length, 1, 'the chat has begun');
  });
  afterEach(async () => {
    assert.equal((await chat).status, 200);
    agent.destroy();
    await harness.close();
  });

  // Failure: a caller stayed on its connection and was refused for as long as chats of others went on,
  // since a load balancer cannot move a connection that is open.
  it('ends kept connections with their next answer', async () => {
    assert.equal((await list()).connection, 'keep-alive');
    harness.role.beginStop();
    const early = await list();
    assert.deepEqual([early.status, early.connection], [200, 'close']);
    await sleep(LAG_MS);
    const startedMs = performance.now();
    const late = await list();
    assert.deepEqual([late.status, late.connection], [503, 'close']);
    assert.match(late.body, /"reason":"leaving"/);
    assert.ok(performance.now() - startedMs < 200, 'refused at once');
  });

  // Failure: a connection that ends while a body arrives is reset, and the caller loses the refusal.
  it('delivers a refusal to a caller that is still sending its body', async () => {
    harness.role.beginStop();
    await sleep(LAG_MS + 50);
    const {hostname, port} = new URL(harness.url);
    const socket = net.connect(Number(port), hostname);
    let received = '';
    let errorCode = '';
    socket.on('error', ({code}: NodeJS.ErrnoException) => {
      errorCode = code ?? 'error';
    });
    socket.write(
      `POST /v1/services/booking/list HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${CALLER_KEY}\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(BODY_BYTES));
    socket.on('data', data => (received += String(data)));
    await new Promise(resolve => socket.on('close', resolve));
    assert.match(received, /^HTTP\/1.1 503 [^]*"outcome":"not_run"/);
    assert.equal(errorCode, '');
  });

  // Failure: the second of two requests that arrived together was sent to a target, and its connection ended
  // with the first answer.
  it('answers both of two requests that arrive together', async () => {
    harness.role.beginStop();
    const {hostname, port} = new URL(harness.url);
    const socket = net.connect(Number(port), hostname);
    const request = `POST /v1/services/booking/list HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${CALLER_KEY}\r\ncontent-length: 0\r\n\r\n`;
    socket.write(request + request);
    let received = '';
    socket.on('data', data => (received += String(data)));
    const isAnswered = () => received.split('b1 list').length === 3;
    for (let n = 0; n < 100 && !isAnswered(); n++) await sleep(10);
    socket.destroy();
    assert.ok(isAnswered(), received);
  });

  it('keeps connections once it is cancelled', async () => {
    harness.role.beginStop();
    harness.role.cancelStop();
    assert.equal((await list()).connection, 'keep-alive');
  });
});
