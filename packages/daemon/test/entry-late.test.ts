import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {
  CALLER_KEY,
  fakeTarget,
  startHarness,
  type FakeTarget,
  type Harness,
} from './entry-harness.js';

/** Time budget of the request, and time for which the entry reads nothing, in milliseconds. */
const TIMES = {budgetMs: 5_000, blockedMs: 1_000};

function blockFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

/** Load: a call that the entry reads a second after its arrival. */
describe('the deadline of a request that the entry reads late', () => {
  let harness: Harness;
  let target: FakeTarget;
  before(async () => {
    target = await fakeTarget('b1', 'booking');
    harness = await startHarness([target]);
  });
  after(() => harness.close());

  // Failure: the target was granted the whole time budget from the reading on, so that it worked for
  // callers that had given up.
  it('counts the time in its socket', async () => {
    const {hostname, port} = new URL(harness.url);
    const socket = connect(Number(port), hostname);
    await once(socket, 'connect');
    await new Promise(resolve => setTimeout(resolve, 300));
    const body = '{}';
    const head = [
      'POST /v1/services/booking/confirm HTTP/1.1',
      'Host: entry',
      `Authorization: Bearer ${CALLER_KEY}`,
      `X-Deadline-Ms: ${TIMES.budgetMs}`,
      `Content-Length: ${body.length}`,
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
    blockFor(TIMES.blockedMs);
    await once(socket, 'data');
    socket.destroy();
    const [call] = target.calls;
    const budgetMs = call?.envelope?.budgetMs ?? Infinity;
    assert.ok(budgetMs <= TIMES.budgetMs - TIMES.blockedMs, `${budgetMs} ms`);
  });
});
