import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  httpEngine,
  type Engine,
  type EngineError,
  type Generation,
  type GenerationEvent,
} from '@balsamnotch/systems';
import {
  expectedAnswer,
  getControl,
  setControl,
  startEngine,
  tokenAt,
  type StandIn,
} from '@balsamnotch/standins';
import {lastValueFrom, tap, toArray, type Observable} from 'rxjs';

const ADAPTER = {adapter: 'ana', version: '1'};

/** Generation request with defaults, overridden by the given fields. */
function generation(overrides: Partial<Generation> = {}): Generation {
  return {
    ...ADAPTER,
    id: 'g1',
    messages: [{role: 'user', content: 'hello'}],
    maxTokens: 12,
    prefix: [],
    priority: 'interactive',
    ...overrides,
  };
}

function textOf(events: readonly GenerationEvent[]): string {
  return events
    .map(event => (event.kind === 'token' ? event.token : ''))
    .join('');
}

const collectEvents = (events: Observable<GenerationEvent>) =>
  lastValueFrom(events.pipe(toArray()));

/** Returns the kind of the error with which the stream fails. */
async function streamFailure(
  events: Observable<GenerationEvent>,
): Promise<EngineError['kind']> {
  try {
    await collectEvents(events);
  } catch (error) {
    return (error as EngineError).kind;
  }
  throw new Error('the stream did not fail');
}

describe('engine client', () => {
  let standIn: StandIn;
  let engine: Engine;
  let control: string;
  let url: string;

  beforeEach(async () => {
    standIn = await startEngine({control: {tokenMs: 2, slots: 2}});
    control = `http://127.0.0.1:${standIn.controlPort}`;
    url = `http://127.0.0.1:${standIn.port}`;
    engine = httpEngine(url);
  });

  afterEach(() => standIn.close());

  const orderLoad = (fence = 1) =>
    engine.order({kind: 'load', ...ADAPTER, fence});

  // A request that failed as `unreachable` may be repeated, because nothing was sent.
  it('reports a refused connection as unreachable for each request', async () => {
    await setControl(control, {refuse: true});
    assert.equal((await engine.state()).unwrapErr().kind, 'unreachable');
    assert.equal((await orderLoad()).unwrapErr().kind, 'unreachable');
    assert.equal(
      await streamFailure(engine.generate(generation())),
      'unreachable',
    );
  });

  // The engine may have run a request that it did not answer.
  it('reports a request that was sent but not answered as broken', async () => {
    await orderLoad();
    const limits = {timeoutMs: 100, orderTimeoutMs: 100, eventTimeoutMs: 100};
    engine = httpEngine(url, limits);
    await setControl(control, {hang: true});
    assert.equal((await engine.state()).unwrapErr().kind, 'broken');
    assert.equal((await orderLoad()).unwrapErr().kind, 'broken');
    assert.equal(await streamFailure(engine.generate(generation())), 'broken');
  });

  it('rejects an answer that is not an engine state', async () => {
    const state = await httpEngine(`${url}/v1/events?`).state();
    assert.equal(state.unwrapErr().kind, 'failed');
  });

  it('distinguishes an outdated fencing number from a failed load', async () => {
    assert.ok((await orderLoad(5)).isOk());
    assert.equal((await orderLoad(4)).unwrapErr().kind, 'fenced');
    assert.equal((await engine.state()).unwrap().fence, 5);
    await setControl(control, {failLoads: true});
    const otherAdapterLoad = {
      kind: 'load',
      adapter: 'bo',
      version: '1',
      fence: 5,
    } as const;
    assert.equal(
      (await engine.order(otherAdapterLoad)).unwrapErr().kind,
      'failed',
    );
  });

  it('streams the whole answer with consecutive offsets', async () => {
    await orderLoad();
    const events = await collectEvents(engine.generate(generation()));
    assert.equal(textOf(events), expectedAnswer(generation(), 12));
    const offsets = events.flatMap(event =>
      event.kind === 'token' ? [event.offset] : [],
    );
    assert.deepEqual(offsets, [...Array(12).keys()]);
    assert.deepEqual(events.at(-1), {
      kind: 'end',
      total: 12,
      finishReason: 'length',
    });
  });

  // An answer resumed on another engine must not differ from an uninterrupted one.
  it('continues an answer after a prefix with the same tokens', async () => {
    await orderLoad();
    const prefix = [0, 1, 2].map(n => tokenAt(generation(), n));
    const events = await collectEvents(engine.generate(generation({prefix})));
    assert.equal(
      prefix.join('') + textOf(events),
      expectedAnswer(generation(), 12),
    );
    assert.equal((await getControl(control)).counters.wrongPrefix, 0);
  });

  it('refuses a generation for an adapter version that is not loaded', async () => {
    assert.equal(
      await streamFailure(engine.generate(generation())),
      'not_loaded',
    );
    assert.equal(await streamFailure(engine.resume('g1', 0)), 'not_found');
  });

  // A subscriber that has left must not hold a connection or stop the generation.
  it('closes the connection on unsubscribe and resumes the stream later', async () => {
    await orderLoad();
    const long = generation({maxTokens: 60});
    let lastOffset = -1;
    const subscription = engine
      .generate(long)
      .pipe(
        tap(
          event =>
            (lastOffset = event.kind === 'token' ? event.offset : lastOffset),
        ),
      )
      .subscribe();
    while (lastOffset < 5) await sleep(2);
    subscription.unsubscribe();
    const receivedOffset = lastOffset;
    await sleep(20);
    assert.equal((await getControl(control)).openConnections, 0);
    const rest = await collectEvents(engine.resume('g1', receivedOffset + 1));
    const expected = expectedAnswer(long, 60);
    assert.equal(
      expectedAnswer(long, receivedOffset + 1) + textOf(rest),
      expected,
    );
  });

  it('breaks streams and loses adapters and fencing number on a restart', async () => {
    await orderLoad(7);
    const before = (await engine.state()).unwrap();
    const failed = streamFailure(engine.generate(generation({maxTokens: 500})));
    await sleep(20);
    await setControl(control, {restart: true});
    assert.equal(await failed, 'broken');
    const after = (await engine.state()).unwrap();
    assert.notEqual(after.incarnation, before.incarnation);
    assert.deepEqual([after.loaded, after.fence], [[], 0]);
  });

  it('breaks the stream of an adapter that is evicted while in use, and counts the eviction', async () => {
    await orderLoad();
    const failed = streamFailure(engine.generate(generation({maxTokens: 500})));
    await sleep(20);
    await engine.order({kind: 'evict', ...ADAPTER, fence: 1});
    assert.equal(await failed, 'broken');
    assert.equal((await getControl(control)).counters.evictedInUse, 1);
  });

  it('cancels a generation at the engine', async () => {
    await orderLoad();
    const failed = streamFailure(engine.generate(generation({maxTokens: 500})));
    await sleep(20);
    assert.ok((await engine.cancel('g1')).isOk());
    assert.equal(await failed, 'broken');
    assert.equal((await engine.cancel('g1')).unwrapErr().kind, 'not_found');
    assert.equal((await engine.state()).unwrap().active, 0);
  });
});
