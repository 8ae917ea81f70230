import assert from 'node:assert/strict';
import {request} from 'node:http';
import {connect} from 'node:net';
import {after, before, beforeEach, describe, it} from 'node:test';
import {
  KEY,
  answerOf,
  configurationOf,
  fakeTarget,
  startHarness,
  type FakeTarget,
  type Harness,
} from './entry-harness.js';

describe('entry input', () => {
  let harness: Harness;
  let targets: FakeTarget[];

  before(async () => {
    targets = [
      await fakeTarget('m1', 'assistant'),
      await fakeTarget('b1', 'booking'),
    ];
    harness = await startHarness(targets);
  });

  after(() => harness.close());

  beforeEach(() => {
    for (const name of Object.keys(harness.counters)) {
      delete harness.counters[name];
    }
  });

  async function assertRefused(
    response: Response,
    status: number,
    reason: string,
  ): Promise<void> {
    const {error} = await answerOf(response);
    assert.equal(error.reason, reason);
    assert.equal(response.status, status);
    assert.equal(error.outcome, 'not_run');
    const refusals = Object.entries(harness.counters).filter(([name]) =>
      name.startsWith('refused.'),
    );
    assert.deepEqual(refusals, [[`refused.${reason}`, 1]]);
    assert.equal(targets[0]!.chats.length, 0);
    assert.equal(targets[1]!.calls.length, 0);
  }

  const chat = '/v1/chat/completions';
  const confirm = '/v1/services/booking/confirm';

  function chatOf(model: string, change: object = {}): object {
    const messages = [{role: 'user', content: 'hello'}];
    return {model, messages, ...change};
  }

  function refuses(
    name: string,
    status: number,
    reason: string,
    change: {path?: string; body?: unknown; headers?: Record<string, string>},
  ): void {
    it(`refuses ${name} with ${reason}`, async () => {
      const {path = chat, body = chatOf('veil'), headers} = change;
      const response = await harness.post(path, body, headers);
      await assertRefused(response, status, reason);
    });
  }

  const noMessages = {messages: []};
  const late = {'x-deadline-ms': '120001'};
  refuses('malformed JSON', 400, 'bad_json', {body: '{"model"'});
  refuses('JSON that is no object', 400, 'bad_json', {body: '[]'});
  refuses('no messages', 400, 'bad_request', {
    body: chatOf('veil', noMessages),
  });
  refuses('a bad model', 400, 'bad_request', {body: chatOf('veil@v1@v2')});
  refuses('a long deadline', 400, 'bad_request', {headers: late});
  refuses('a bad priority', 400, 'bad_request', {headers: {'x-priority': 'x'}});
  refuses('a bad key', 401, 'unauthenticated', {
    headers: {authorization: 'Bearer other'},
  });
  refuses('a bad key before a bad body is read', 401, 'unauthenticated', {
    headers: {authorization: 'Bearer other'},
    body: '{',
  });
  refuses('no adapter', 404, 'unknown_adapter', {body: chatOf('none')});
  refuses('no version', 404, 'unknown_version', {body: chatOf('veil@v9')});
  refuses('another group', 403, 'not_permitted', {body: chatOf('secret')});
  refuses('a large body', 413, 'body_too_large', {body: 'x'.repeat(2_001)});
  refuses('no service', 404, 'unknown_service', {path: '/v1/services/none/x'});
  refuses('no operation', 404, 'unknown_operation', {
    path: '/v1/services/booking/none',
  });
  refuses('a key that is no ticket', 400, 'ticket_invalid', {
    path: confirm,
    headers: {'idempotency-key': 'mine-1'},
  });
  refuses('an unknown path', 404, 'not_found', {path: '/v2'});

  it('refuses a header over the limit with header_too_long', async () => {
    const response = await harness.chat({}, {'x-long': 'x'.repeat(3_000)});
    await assertRefused(response, 431, 'header_too_long');
  });

  it('answers a caller that still sends a large body', async () => {
    const response = await harness.post(chat, 'x'.repeat(8_000_000));
    await assertRefused(response, 413, 'body_too_large');
  });

  it('stops reading a body without length at the limit', async () => {
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const sending = request(
        `${harness.url}${chat}`,
        {method: 'POST', headers: {authorization: `Bearer ${KEY}`}},
        response => resolve(response.resume().statusCode),
      );
      sending.on('error', reject);
      for (let i = 0; i < 10; i++) sending.write('x'.repeat(500));
    });
    assert.equal(status, 413);
    assert.equal(harness.counters['refused.body_too_large'], 1);
  });

  it('refuses what is not HTTP and serves the next caller', async () => {
    const {hostname, port} = new URL(harness.url);
    const text = await new Promise<string>(resolve => {
      let received = '';
      const socket = connect(Number(port), hostname);
      socket.on('data', data => (received += data.toString()));
      socket.on('close', () => resolve(received));
      socket.write('not http\r\n\r\n');
    });
    assert.match(text, /^HTTP\/1\.1 400 .*"bad_request"/s);
    assert.equal((await fetch(`${harness.url}/healthz`)).status, 200);
  });

  it('leaves the outcome open when it refuses a repeat with a ticket', async () => {
    const issued = await harness.post('/v1/services/booking/tickets', {});
    const {ticket} = await answerOf(issued);
    const response = await harness.post(confirm, 'x', {
      'idempotency-key': ticket,
      authorization: 'Bearer other',
    });
    const {error} = await answerOf(response);
    assert.equal(error.reason, 'unauthenticated');
    assert.equal(error.outcome, 'unknown');
    assert.equal(response.headers.get('idempotency-key'), ticket);
  });

  it('holds a caller to its part of the limit', async () => {
    const base = configurationOf();
    const callers = base.callers.map(caller => ({
      ...caller,
      requestsPerSecond: 4,
    }));
    const limited = await startHarness([], {
      configuration: {...base, callers},
    });
    const statuses: number[] = [];
    for (let i = 0; i < 6; i++) {
      statuses.push(
        (await limited.post('/v1/services/booking/list', '')).status,
      );
    }
    const granted = statuses.filter(status => status !== 429).length;
    assert.ok(granted === 4 || granted === 5, `${granted} granted`);
    assert.equal(limited.counters['refused.caller_limit'], 6 - granted);
    await limited.close();
  });
});
