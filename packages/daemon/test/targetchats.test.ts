import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  FakeEngine,
  chatOf,
  envelope,
  readAll,
  serve,
  until,
  type Answer,
  type Served,
} from './targetsupport.js';

describe('target chats', () => {
  let engine: FakeEngine;
  let served: Served;

  beforeEach(async () => {
    engine = new FakeEngine();
    served = await serve({engine});
    await until(() => served.role.state() === 'serving', 'serving');
  });
  afterEach(() => served.close());

  it('loads the adapter once for several chats and streams whole answers', async () => {
    const answers = await Promise.all(
      ['r1', 'r2', 'r3'].map(id =>
        readAll(served.client.chat(chatOf(id, 'veil'))),
      ),
    );
    for (const answer of answers) {
      assert.equal(answer.kinds[0], 'accepted');
      assert.deepEqual(answer.tokens, ['veil@1#0', 'veil@1#1']);
      assert.equal(answer.total, 2);
    }
    assert.equal(engine.orders.length, 1);
  });

  it('continues a prefix of another target at its offset', async () => {
    const more = {maxTokens: 4, prefix: ['a', 'b'], offset: 2};
    const answer = await readAll(
      served.client.chat(chatOf('r1', 'veil', more)),
    );
    assert.deepEqual(answer.tokens, ['veil@1#2', 'veil@1#3']);
    assert.equal(answer.total, 4);
  });

  it('reattaches at an offset, ends the older attachment and loses no token', async () => {
    engine.holdAt = 3;
    const first: Answer = {kinds: [], tokens: []};
    const request = chatOf('r1', 'veil', {maxTokens: 6});
    const old = readAll(served.client.chat(request), first);
    await until(() => first.tokens.length === 3, 'three tokens');
    const again = readAll(
      served.client.chat({...request, attach: true, offset: 1}),
    );
    await old;
    assert.equal(first.total, undefined);
    engine.release();
    const answer = await again;
    assert.deepEqual(
      answer.tokens,
      [1, 2, 3, 4, 5].map(n => `veil@1#${n}`),
    );
    assert.equal(engine.generations.size, 1);
  });

  it('starts again when an entry comes back with tokens of another target', async () => {
    engine.holdAt = 1;
    const old: Answer = {kinds: [], tokens: []};
    const request = chatOf('r1', 'veil', {maxTokens: 3});
    const ended = readAll(served.client.chat(request), old);
    await until(() => old.tokens.length === 1, 'one token');
    engine.holdAt = Infinity;
    const more = {maxTokens: 3, prefix: ['other'], offset: 1};
    const answer = await readAll(
      served.client.chat(chatOf('r1', 'veil', more)),
    );
    assert.equal((await ended).reason, 'cancelled');
    assert.equal(answer.total, 3);
    assert.deepEqual(engine.cancelled, ['r1']);
    const generation = [...engine.generations.values()].at(-1);
    assert.deepEqual(generation?.tokens.slice(0, 1), ['other']);
  });

  it('refuses an impossible offset and the chat of another caller', async () => {
    await readAll(served.client.chat(chatOf('r1', 'veil')));
    const attach = {attach: true, offset: 9};
    const far = await readAll(served.client.chat(chatOf('r1', 'veil', attach)));
    assert.equal(far.reason, 'bad_offset');
    const thief = envelope('r1', {caller: 'other'});
    const foreign = await readAll(
      served.client.chat(chatOf('r1', 'veil', {envelope: thief, attach: true})),
    );
    assert.equal(foreign.reason, 'not_found');
    assert.equal(served.counts.get('refused.bad_offset'), 1);
  });

  it('checks each envelope before it takes new work', async () => {
    served.caughtUp = false;
    const cases = {
      wrong_incarnation: {expectedIncarnation: 'node-0'},
      deadline_exceeded: {deadlineNodeClockMs: 0.5},
      revision_behind: {revision: 6n},
      bad_message: {budgetMs: Number.NaN},
    };
    for (const [reason, more] of Object.entries(cases)) {
      const request = chatOf('r1', 'veil', {envelope: envelope('r1', more)});
      const answer = await readAll(served.client.chat(request));
      assert.equal(answer.reason, reason);
      assert.equal(served.counts.get(`refused.${reason}`), 1);
    }
    const oversized = {messages: [{role: 'user', content: 'x'.repeat(10_001)}]};
    const answer = await readAll(
      served.client.chat(chatOf('r1', 'veil', oversized)),
    );
    assert.equal(answer.reason, 'bad_message');
    assert.equal(engine.generations.size, 0);
  });

  it('serves a request of a later revision once it has caught up, with heartbeats until then', async () => {
    served.catchUpMs = 500;
    const more = {envelope: envelope('r1', {revision: 6n})};
    const answer = await readAll(
      served.client.chat(chatOf('r1', 'veil', more)),
    );
    assert.equal(answer.kinds[0], 'heartbeat');
    assert.equal(answer.total, 2);
  });

  it('sheds batch chats before interactive ones', async () => {
    engine.hangLoads = true;
    const gone = new AbortController();
    const {signal} = gone;
    const waiting = ['q1', 'q2', 'q3', 'q4'].map(id =>
      readAll(served.client.chat(chatOf(id, 'veil'), {signal})).catch(() => 0),
    );
    await until(() => served.role.report()?.queued === 4, 'four wait');
    const batch = chatOf('r5', 'veil', {priority: 'batch'});
    const answer = await readAll(served.client.chat(batch));
    assert.equal(answer.reason, 'overloaded');
    waiting.push(
      readAll(served.client.chat(chatOf('r6', 'veil'), {signal})).catch(
        () => 0,
      ),
    );
    await until(() => served.role.report()?.queued === 5, 'five wait');
    gone.abort();
    await Promise.all(waiting);
  });

  it('stops the generation of a chat that its own caller cancels', async () => {
    engine.holdAt = 1;
    const answer: Answer = {kinds: [], tokens: []};
    const end = readAll(served.client.chat(chatOf('r1', 'veil')), answer);
    await until(() => answer.tokens.length === 1, 'one token');
    const other = envelope('r1', {caller: 'other'});
    await served.client.cancel({envelope: other});
    assert.deepEqual(engine.cancelled, []);
    await served.client.cancel({envelope: envelope('r1')});
    assert.equal((await end).reason, 'cancelled');
    assert.deepEqual(engine.cancelled, ['r1']);
  });
});
