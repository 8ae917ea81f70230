import assert from 'node:assert/strict';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {send, type Exchange} from '../src/index.js';

const LIMITS = {
  connectTimeoutMs: 1_000,
  maxAnswerBytes: 100_000,
} as const;

/** Blocks the event loop, as a long computation does. */
function blockFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

describe('HTTP requests', () => {
  let server: http.Server;
  let agent: http.Agent;
  let handleRequest: http.RequestListener;
  const timers = new Set<NodeJS.Timeout>();

  beforeEach(async () => {
    agent = new http.Agent({keepAlive: true});
    server = http.createServer((request, response) =>
      handleRequest(request, response),
    );
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  afterEach(async () => {
    for (const timer of timers) clearInterval(timer);
    agent.destroy();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });
  const get = (limits: Pick<Exchange, 'timeoutMs' | 'stallMs'>) => {
    const {port} = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}/`;
    return send({method: 'GET', url, agent, ...LIMITS, ...limits});
  };
  /** Responds with one chunk every 30 ms; endlessly when `chunkCount` is absent. */
  const respondSlowly = (chunkCount?: number) => {
    handleRequest = (_request, response) => {
      let sentCount = 0;
      const timer = setInterval(() => {
        sentCount += 1;
        if (sentCount === chunkCount) response.end('x');
        else response.write('x');
      }, 30);
      timers.add(timer);
      response.on('close', () => clearInterval(timer));
    };
  };

  // After the event loop was blocked, the timeout ran first and closed the
  // connection, although the response had already arrived.
  it('accept a response that arrived while the event loop was blocked beyond the timeout', async () => {
    handleRequest = (_request, response) => response.end('x');
    await get({timeoutMs: 2_000});
    handleRequest = (_request, response) => {
      response.end('late');
      setImmediate(() => blockFor(250));
    };
    const result = await get({timeoutMs: 100});
    assert.equal(result.isOk() && result.value.body.toString(), 'late');
  });

  // A configuration that took longer than the timeout on a slow link could never be read.
  it('read a large response for as long as its chunks keep arriving', async () => {
    respondSlowly(12);
    const result = await get({timeoutMs: 200, stallMs: 200});
    assert.equal(result.isOk() && result.value.body.length, 12);
  });

  // After the event loop was blocked, the stall limit ended a response whose chunk had arrived.
  it('read on when a chunk arrived while the event loop was blocked beyond the stall limit', async () => {
    handleRequest = (_request, response) => {
      response.write('x');
      setTimeout(() => {
        // The chunk is sent between the two, and can be read only after the timers have run.
        setImmediate(() => response.write('y'));
        setImmediate(() => blockFor(250));
        setTimeout(() => response.end('z'), 300);
      }, 20);
    };
    const result = await get({timeoutMs: 2_000, stallMs: 150});
    assert.equal(result.isOk() && result.value.body.toString(), 'xyz');
  });

  // A stalled response must not occupy a connection until the total limit.
  it('fail when chunks stop arriving', async () => {
    handleRequest = (_request, response) => response.write('x');
    const result = await get({timeoutMs: 200, stallMs: 100});
    assert.equal(result.isErr() && result.error.kind, 'timeout');
  });

  // A response that never ends must not exhaust the memory.
  it('fail at the size limit when a response does not end', async () => {
    handleRequest = (_request, response) => {
      const timer = setInterval(() => response.write('x'.repeat(10_000)), 1);
      timers.add(timer);
      response.on('close', () => clearInterval(timer));
    };
    const result = await get({timeoutMs: 5_000, stallMs: 5_000});
    assert.equal(result.isErr() && result.error.kind, 'oversized');
  });
});
