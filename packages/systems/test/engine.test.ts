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

function generation(changes: Partial<Generation> = {}): Generation {
  return {
    ...ADAPTER,
    id: 'g1',
    messages: [{role: 'user', content: 'hello'}],
    maxTokens: 12,
    prefix: [],
    priority: 'interactive',
    ...changes,
  };
}

function textOf(events: readonly GenerationEvent[]): string {
  return events
    .map(event => (event.kind === 'token' ? event.token : ''))
    .join('');
}

const collect = (events: Observable<GenerationEvent>) =>
  lastValueFrom(events.pipe(toArray()));

async function failureOf(
  events: Observable<GenerationEvent>,
): Promise<EngineError['kind']> {
  try {
    await collect(events);
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

  const load = (fence = 1) => engine.order({kind: 'load', ...ADAPTER, fence});

  it('reports a refused connection as unreachable for each request', async () => {
    await setControl(control, {refuse: true});
    assert.equal((await engine.state()).unwrapErr().kind, 'unreachable');
    assert.equal((await load()).unwrapErr().kind, 'unreachable');
    assert.equal(await failureOf(engine.generate(generation())), 'unreachable');
  });

  it('reports a request that was sent and not answered as broken', async () => {
    await load();
    const limits = {timeoutMs: 100, orderTimeoutMs: 100, silenceMs: 100};
    engine = httpEngine(url, limits);
    await setControl(control, {hang: true});
    assert.equal((await engine.state()).unwrapErr().kind, 'broken');
    assert.equal((await load()).unwrapErr().kind, 'broken');
    assert.equal(await failureOf(engine.generate(generation())), 'broken');
  });

  it('rejects an answer that is not an engine state', async () => {
    const state = await httpEngine(`${url}/v1/events?`).state();
    assert.equal(state.unwrapErr().kind, 'failed');
  });

  it('tells an old fencing number from a failed load', async () => {
    assert.ok((await load(5)).isOk());
    assert.equal((await load(4)).unwrapErr().kind, 'fenced');
    assert.equal((await engine.state()).unwrap().fence, 5);
    await setControl(control, {failLoads: true});
    const other = {
      kind: 'load',
      adapter: 'bo',
      version: '1',
      fence: 5,
    } as const;
    assert.equal((await engine.order(other)).unwrapErr().kind, 'failed');
  });

  it('streams the whole answer with gapless offsets', async () => {
    await load();
    const events = await collect(engine.generate(generation()));
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

  it('continues an answer after a prefix with the same tokens', async () => {
    await load();
    const prefix = [0, 1, 2].map(n => tokenAt(generation(), n));
    const events = await collect(engine.generate(generation({prefix})));
    assert.equal(
      prefix.join('') + textOf(events),
      expectedAnswer(generation(), 12),
    );
    assert.equal((await getControl(control)).counters.wrongPrefix, 0);
  });

  it('refuses a generation for an adapter version that is not loaded', async () => {
    assert.equal(await failureOf(engine.generate(generation())), 'not_loaded');
    assert.equal(await failureOf(engine.resume('g1', 0)), 'not_found');
  });

  it('closes the connection on unsubscribe and reads the rest later', async () => {
    await load();
    const long = generation({maxTokens: 60});
    let last = -1;
    const subscription = engine
      .generate(long)
      .pipe(tap(event => (last = event.kind === 'token' ? event.offset : last)))
      .subscribe();
    while (last < 5) await sleep(2);
    subscription.unsubscribe();
    const seen = last;
    await sleep(20);
    assert.equal((await getControl(control)).openConnections, 0);
    const rest = await collect(engine.resume('g1', seen + 1));
    const expected = expectedAnswer(long, 60);
    assert.equal(expectedAnswer(long, seen + 1) + textOf(rest), expected);
  });

  it('breaks streams and forgets adapters and fence on a restart', async () => {
    await load(7);
    const before = (await engine.state()).unwrap();
    const failed = failureOf(engine.generate(generation({maxTokens: 500})));
    await sleep(20);
    await setControl(control, {restart: true});
    assert.equal(await failed, 'broken');
    const after = (await engine.state()).unwrap();
    assert.notEqual(after.incarnation, before.incarnation);
    assert.deepEqual([after.loaded, after.fence], [[], 0]);
  });

  it('counts an eviction of an adapter in use and breaks its stream', async () => {
    await load();
    const failed = failureOf(engine.generate(generation({maxTokens: 500})));
    await sleep(20);
    await engine.order({kind: 'evict', ...ADAPTER, fence: 1});
    assert.equal(await failed, 'broken');
    assert.equal((await getControl(control)).counters.evictedInUse, 1);
  });

  it('cancels a generation at the engine', async () => {
    await load();
    const failed = failureOf(engine.generate(generation({maxTokens: 500})));
    await sleep(20);
    assert.ok((await engine.cancel('g1')).isOk());
    assert.equal(await failed, 'broken');
    assert.equal((await engine.cancel('g1')).unwrapErr().kind, 'not_found');
    assert.equal((await engine.state()).unwrap().active, 0);
  });
});
