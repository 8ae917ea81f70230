import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {LOAD_LIMITS} from '@balsamnotch/core';
import {
  FakeEngine,
  chatRequest,
  readAll,
  serve,
  until,
  type Answer,
  type ServedTarget,
} from './targetsupport.js';

const limits = {
  readIntervalMs: 100,
  loads: {...LOAD_LIMITS, backoffMs: 10, timeoutMs: 200},
};

describe('target engine controller', () => {
  let engine: FakeEngine;
  let served: ServedTarget;

  async function serveEngine(): Promise<void> {
    served = await serve({engine, limits});
    await until(() => served.role.state() === 'serving', 'serving');
  }
  beforeEach(async () => {
    engine = new FakeEngine();
    await serveEngine();
  });
  afterEach(() => served.close());

  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const evictionCount = () =>
    engine.orders.filter(order => order.kind === 'evict').length;

  /** Opens a chat; `answer` is filled while the stream is read. */
  function openChat(id: string, adapter: string, overrides: object = {}) {
    const answer: Answer = {kinds: [], tokens: []};
    const connection = new AbortController();
    const {signal} = connection;
    const events = served.client.chat(chatRequest(id, adapter, overrides), {
      signal,
    });
    const end = readAll(events, answer).catch(() => answer);
    return {answer, end, connection};
  }

  /** Occupies both slots with streams that stay open. */
  async function fillSlots() {
    engine.pauseAtToken = 1;
    const chats = [openChat('a', 'one'), openChat('b', 'two')];
    await until(
      () => chats.every(chat => chat.answer.tokens.length === 1),
      'both streams open',
    );
    return chats;
  }

  // Guards against evicting an adapter that a stream uses.
  it('evicts nothing while every slot is in use, then evicts an idle adapter', async () => {
    const chats = await fillSlots();
    const third = openChat('c', 'three');
    await sleep(300);
    assert.equal(evictionCount(), 0);
    assert.equal(served.role.report()?.loadsPending, 1);
    engine.release();
    assert.equal((await third.end).total, 2);
    await Promise.all(chats.map(chat => chat.end));
    assert.equal(evictionCount(), 1);
    assert.equal(engine.evictionsInUse, 0);
    assert.deepEqual(
      engine.orders.map(order => order.fence),
      [1, 2, 3, 4],
    );
  });

  // Guards against evicting an adapter whose generation still runs after its entry
  // has disconnected.
  it('keeps the adapter of a disconnected chat for 5 s, then cancels the chat before evicting', async () => {
    const [first] = await fillSlots();
    first?.connection.abort();
    const third = openChat('c', 'three');
    await sleep(200);
    assert.equal(evictionCount(), 0);
    served.clock.advance(5_000);
    engine.pauseAtToken = Infinity;
    assert.equal((await third.end).total, 2);
    assert.deepEqual(engine.cancelled, ['a']);
    assert.equal(engine.evictionsInUse, 0);
  });

  // Guards against evicting an adapter that a generation of an earlier node process
  // uses; the engine reports only how many generations run.
  it('pins all adapters loaded by an earlier process until its generations end', async () => {
    served.close();
    engine = new FakeEngine();
    for (const adapter of ['one', 'two']) {
      await engine.order({kind: 'load', adapter, version: '1', fence: 7});
      engine.fence = 6;
    }
    engine.fence = 7;
    engine.foreignGenerations = 1;
    await serveEngine();
    const third = openChat('c', 'three');
    await sleep(300);
    assert.equal(evictionCount(), 0);
    engine.foreignGenerations = 0;
    assert.equal((await third.end).total, 2);
    assert.equal(engine.orders.at(-1)?.fence, 9);
  });

  // Guards against losing a running generation when the node process restarts.
  it('resumes a generation of an earlier process when its entry reattaches', async () => {
    await readAll(served.client.chat(chatRequest('r1', 'one')));
    const {client, close} = served;
    await serveEngine();
    const attach = {attach: true, offset: 1};
    const {answer, end} = openChat('r1', 'one', attach);
    await end;
    assert.deepEqual(answer.tokens, ['one@1#1']);
    const missing = await openChat('r2', 'one', attach).end;
    assert.equal(missing.reason, 'not_found');
    assert.ok(client);
    close();
  });

  // Guards against hanging streams and stale slots after an engine restart, and
  // against reporting the lost adapters as evictions by another process.
  it('reloads for queued chats and ends open streams with engine_failed after an engine restart', async () => {
    const [first] = await fillSlots();
    const third = openChat('c', 'three');
    await until(() => served.role.report()?.queued === 1, 'third queued');
    engine.restart();
    const answer = await first?.end;
    assert.equal(answer?.reason, 'engine_failed');
    engine.release();
    assert.equal((await third.end).total, 2);
    assert.equal(served.role.report()?.engineIncarnation, 'engine-1+');
    assert.equal(served.counts.get('foreign_order.vanished'), undefined);
  });

  // Guards against endless retries of a load that keeps failing.
  it('retries a failed load with backoff, then refuses the waiting chats', async () => {
    engine.loadsToFail = 2;
    assert.equal((await openChat('a', 'one').end).total, 2);
    assert.equal(served.counts.get('retried.load_failed'), 2);
    engine.loadsToFail = 3;
    const refused = await Promise.all([
      openChat('b', 'two').end,
      openChat('c', 'two').end,
    ]);
    assert.deepEqual(
      refused.map(answer => answer.reason),
      ['load_failed', 'load_failed'],
    );
    assert.equal(engine.orders.length, 6);
  });

  // Guards against evicting a frequently used adapter that happens to be idle longest.
  it('evicts the least requested adapter rather than the one idle longest', async () => {
    for (const id of ['a', 'b', 'c']) await openChat(id, 'one').end;
    await openChat('d', 'two').end;
    await openChat('e', 'three').end;
    const evicted = engine.orders.filter(order => order.kind === 'evict');
    assert.deepEqual(
      evicted.map(order => order.adapter),
      ['two'],
    );
  });

  // Guards against a load order that reaches the weight store after its permit has
  // expired and so exceeds the rate limit.
  it('takes a second permit when the eviction outlasts the first', async () => {
    served.close();
    let permitsUsed = 0;
    const permits = {
      mayLoad: () => true,
      recordLoadStart: () => void permitsUsed++,
    };
    served = await serve({engine, limits, permits});
    for (const [id, adapter] of Object.entries({a: 'one', b: 'two'})) {
      await openChat(id, adapter).end;
    }
    engine.evictDelayMs = 60;
    assert.equal((await openChat('c', 'three').end).total, 2);
    assert.equal(permitsUsed, 4);
    assert.equal(evictionCount(), 1);
  });

  // Guards against a second load order while the first may still take effect, and
  // against counting the late effect as an order of another process.
  it('gives up a hanging load, sends no second order and records the late effect', async () => {
    engine.isHangingLoads = true;
    assert.equal((await openChat('a', 'one').end).reason, 'load_failed');
    assert.equal((await openChat('b', 'one').end).reason, 'load_failed');
    engine.isHangingLoads = false;
    engine.hangingLoads.forEach(complete => complete());
    assert.equal((await openChat('c', 'one').end).total, 2);
    assert.equal(engine.orders.length, 1);
    assert.equal(served.counts.get('foreign_order.appeared'), undefined);
  });

  // Guards against streaming tokens of an adapter that was not requested.
  it('refuses a generation from another adapter before its first token', async () => {
    engine.reportedAdapter = 'other';
    const {reason, tokens} = await openChat('a', 'one').end;
    assert.deepEqual([reason, tokens], ['wrong_adapter', []]);
    assert.deepEqual(engine.cancelled, ['a']);
  });

  // Guards against lost or repeated tokens when an engine stream breaks.
  it('resumes a broken engine stream without losing a token', async () => {
    engine.streamsToBreak = 2;
    const {tokens} = await openChat('a', 'one', {maxTokens: 4}).end;
    assert.deepEqual(
      tokens,
      [0, 1, 2, 3].map(n => `one@1#${n}`),
    );
  });

  // Guards against resuming without end when the stream breaks before each new token.
  it('ends a chat whose engine stream breaks repeatedly', async () => {
    const [first] = await fillSlots();
    const breakTimer = setInterval(() => engine.breakStreams(), 20);
    const failed = await first?.end;
    clearInterval(breakTimer);
    assert.equal(failed?.reason, 'engine_failed');
    assert.deepEqual(failed?.tokens, ['one@1#0']);
  });

  // Guards against a copy that keeps adapters which another process has evicted.
  it('counts changes by another process, corrects its copy and loads the adapter again', async () => {
    await openChat('a', 'one').end;
    engine.loaded.clear();
    engine.loaded.set('x@1', {
      kind: 'load',
      adapter: 'x',
      version: '1',
      fence: 0,
    });
    assert.equal((await openChat('b', 'one').end).total, 2);
    await until(
      () => served.role.report()?.loaded.length === 2,
      'copy corrected',
    );
    assert.equal(served.counts.get('foreign_order.vanished'), 1);
    assert.equal(served.counts.get('foreign_order.appeared'), 1);
  });

  // Guards against orders based on outdated state after a pause.
  it('refuses queued chats after a pause and reads the state before the next order', async () => {
    await fillSlots();
    const queuedChat = openChat('c', 'three');
    await until(() => served.role.report()?.queued === 1, 'queued');
    served.pauseMs = 2_000;
    assert.equal((await queuedChat.end).reason, 'paused');
    assert.equal((await openChat('d', 'four').end).reason, 'paused');
    // Changes the engine without raising the fencing number.
    engine.loaded.delete('one@1');
    served.pauseMs = 0;
    engine.release();
    assert.equal((await openChat('e', 'five').end).total, 2);
    // An order based on the state before the pause would evict an adapter in use.
    assert.equal(evictionCount(), 0);
    assert.equal(served.counts.get('order_fenced'), undefined);
  });

  // Guards against a paused process that raises the fencing number after the pause
  // and so causes the engine to reject the orders of its successor.
  it('sends no more orders when a successor has sent orders during a pause', async () => {
    await fillSlots();
    const ordersBefore = engine.orders.length;
    served.pauseMs = 2_000;
    engine.fence = 50;
    served.pauseMs = 0;
    engine.release();
    await until(() => served.counts.get('superseded') === 1, 'superseded');
    assert.equal((await openChat('e', 'five').end).reason, 'leaving');
    assert.equal(engine.orders.length, ordersBefore);
    assert.equal(engine.fence, 50);
  });

  // Guards against a planned stop that cuts off open chats.
  it('refuses new chats while leaving, finishes open chats and then stops', async () => {
    let hasStopped = false;
    served.role.stopped$.subscribe(() => (hasStopped = true));
    const chats = await fillSlots();
    served.vms$.next([
      {
        name: 'target-1',
        role: 'target',
        service: 'svc',
        address: '127.0.0.1:1',
        failureDomain: 'a',
        state: 'leaving',
      },
    ]);
    assert.equal((await openChat('c', 'one').end).reason, 'leaving');
    const reattached = openChat('a', 'one', {attach: true, offset: 0});
    await sleep(200);
    assert.equal(hasStopped, false);
    engine.release();
    assert.equal((await reattached.end).tokens.length, 2);
    assert.equal((await chats[1]?.end)?.total, 2);
    await until(() => hasStopped, 'stopped');
  });

  // Guards against an entry that mistakes a slow generation for a dead target.
  it('sends heartbeats on a stream without new tokens', async () => {
    const [first] = await fillSlots();
    await sleep(500);
    const heartbeats = first?.answer.kinds.filter(kind => kind === 'heartbeat');
    assert.ok((heartbeats?.length ?? 0) >= 1);
    engine.release();
  });
});
