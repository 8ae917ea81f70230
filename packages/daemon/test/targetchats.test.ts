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
});
