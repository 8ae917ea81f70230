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

  const message = {role: 'user', content: 'hello'};
  const chat = '/v1/chat/completions';
  const cases: readonly {
    name: string;
    path?: string;
    body?: unknown;
    headers?: Record<string, string>;
    status: number;
    reason: string;
  }[] = [
    {name: 'malformed JSON', body: '{"model"', status: 400, reason: 'bad_json'},
    {
      name: 'JSON that is no object',
      body: '[]',
      status: 400,
      reason: 'bad_json',
    },
    {
      name: 'a chat without messages',
      body: {model: 'veil', messages: []},
      status: 400,
      reason: 'bad_request',
    },
    {
      name: 'a model that is no name',
      body: {model: 'veil@v1@v2', messages: [message]},
      status: 400,
      reason: 'bad_request',
    },
    {
      name: 'a deadline above the limit',
      headers: {'x-deadline-ms': '120001'},
      status: 400,
      reason: 'bad_request',
    },
    {
      name: 'an unknown priority',
      headers: {'x-priority': 'urgent'},
      status: 400,
      reason: 'bad_request',
    },
    {
      name: 'an unknown key',
      headers: {authorization: 'Bearer other'},
      status: 401,
      reason: 'unauthenticated',
    },
    {
      name: 'an unknown adapter',
      body: {model: 'none', messages: [message]},
      status: 404,
      reason: 'unknown_adapter',
    },
    {
      name: 'an unknown version',
      body: {model: 'veil@v9', messages: [message]},
      status: 404,
      reason: 'unknown_version',
    },
    {
      name: 'an adapter of another group',
      body: {model: 'secret', messages: [message]},
      status: 403,
      reason: 'not_permitted',
    },
    {
      name: 'a body over the limit',
      body: 'x'.repeat(2_001),
      status: 413,
      reason: 'body_too_large',
    },
    {
      name: 'an unknown service',
      path: '/v1/services/none/confirm',
      status: 404,
      reason: 'unknown_service',
    },
    {
      name: 'an unknown operation',
      path: '/v1/services/booking/none',
      status: 404,
      reason: 'unknown_operation',
    },
    {
      name: 'a key that is no ticket',
      path: '/v1/services/booking/confirm',
      headers: {'idempotency-key': 'mine-1'},
      status: 400,
      reason: 'ticket_invalid',
    },
    {name: 'an unknown path', path: '/v2', status: 404, reason: 'not_found'},
  ];

  for (const {name, path, body, headers, status, reason} of cases) {
    it(`refuses ${name} with ${reason}`, async () => {
      const valid = {model: 'veil', messages: [message]};
      const response = await harness.post(path ?? chat, body ?? valid, headers);
      await assertRefused(response, status, reason);
    });
  }

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
    const response = await harness.post('/v1/services/booking/confirm', 'x', {
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
