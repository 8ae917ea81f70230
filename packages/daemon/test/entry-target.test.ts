import assert from 'node:assert/strict';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import type {VM} from '@balsamnotch/systems';
import {BehaviorSubject} from 'rxjs';
import {Err} from 'ts-results-es';
import {startTarget, type TargetSystems} from '../src/target/index.js';
import {
  answerOf,
  contextOf,
  listen,
  readEvents,
  startHarness,
  vmOf,
  type Harness,
  type ListedNode,
} from './entry-harness.js';
import {
  FakeEngine,
  FakePlain,
  freePermits,
  okAnswer,
  until,
} from './targetsupport.js';

/** A target role with its connect server. */
async function realTarget(
  name: string,
  service: string,
  systems: TargetSystems,
): Promise<ListedNode & {role: ReturnType<typeof startTarget>}> {
  const vms$ = new BehaviorSubject<readonly VM[]>([]);
  const shared = {counters: {}, catchUps: [], vms$};
  const settings = {name, service, role: 'target'} as const;
  const options = {settings, incarnation: `${name}-1`};
  const role = startTarget(contextOf(shared, options), {
    permits: freePermits,
    ...systems,
  });
  const {address, close} = await listen(router => role.routes(router));
  await role.start(address);
  return {vm: vmOf(name, service, address), close, role};
}

function expectedText(tokens: number): string {
  return Array.from({length: tokens}, (_, n) => `veil@v2#${n}`).join('');
}

describe('entry with target nodes', () => {
  let harness: Harness;
  afterEach(() => harness.close());

  async function models(engines: readonly FakeEngine[]) {
    const targets = await Promise.all(
      engines.map((engine, n) => realTarget(`m${n}`, 'assistant', {engine})),
    );
    harness = await startHarness(targets);
    return targets;
  }

  it('continues a streamed chat at the other target when its engine restarts', async () => {
    const engines = [new FakeEngine(), new FakeEngine()];
    await models(engines);
    for (const engine of engines) engine.holdAt = 5;
    const answer = harness.chat({stream: true, max_tokens: 12});
    const holding = () =>
      engines.find(({generations}) =>
        [...generations.values()].some(({tokens}) => tokens.length === 5),
      );
    await until(() => holding() !== undefined, 'five tokens');
    const first = holding();
    for (const engine of engines) engine.holdAt = Infinity;
    first?.restart();
    const {content, done} = readEvents(await (await answer).text());
    assert.equal(content, expectedText(12));
    assert.equal(done, true);
  });

  it('resumes a chat whose connection went half-open, over a new one', async () => {
    const engine = new FakeEngine();
    const target = await realTarget('m1', 'assistant', {engine});
    const sockets = new Set<Socket>();
    const proxy = createServer(near => {
      const far = connect(Number(target.vm.address.split(':')[1]), '127.0.0.1');
      for (const socket of [near, far]) {
        sockets.add(socket);
        socket.on('error', () => undefined);
        socket.on('close', () => (near.destroy(), far.destroy()));
      }
      near.pipe(far).pipe(near);
    });
    await new Promise<void>(resolve => proxy.listen(0, '127.0.0.1', resolve));
    const {port} = proxy.address() as AddressInfo;
    const vm = {...target.vm, address: `127.0.0.1:${port}`};
    harness = await startHarness([{vm, close: target.close}]);
    engine.holdAt = 5;
    const answer = harness.chat({stream: true, max_tokens: 12});
    await until(
      () => [...engine.generations.values()][0]?.tokens.length === 5,
      'five tokens',
    );
    for (const socket of sockets) socket.unpipe().pause();
    engine.release();
    const {content, done} = readEvents(await (await answer).text());
    assert.equal(content, expectedText(12));
    assert.equal(done, true);
    assert.equal(harness.counters['retried.silent'], 1);
    for (const socket of sockets) socket.destroy();
    proxy.close();
  });

  it('finishes the chats of a target that is stopped and sends new ones elsewhere', async () => {
    const engines = [new FakeEngine(), new FakeEngine()];
    const targets = await models(engines);
    engines.forEach(engine => (engine.tokenMs = 20));
    const running = harness.chat({max_tokens: 20});
    const busy = () => engines.findIndex(({generations}) => generations.size);
    await until(() => busy() >= 0, 'a chat in an engine');
    const stopped = busy();
    targets[stopped]!.role.beginStop();
    const later = await answerOf(await harness.chat({max_tokens: 4}));
    assert.equal(later.choices[0]?.message.content, expectedText(4));
    assert.equal(engines[stopped]!.generations.size, 1);
    const answer = await answerOf(await running);
    assert.equal(answer.choices[0]?.message.content, expectedText(20));
  });

  it('tells the outcome of a confirmation as the target recorded it', async () => {
    const plain = new FakePlain();
    harness = await startHarness([await realTarget('b1', 'booking', {plain})]);
    const path = '/v1/services/booking/confirm';
    plain.answer = okAnswer('confirmed');
    const done = await harness.post(path, 'x');
    assert.equal(await done.text(), 'confirmed');
    const ticket = done.headers.get('idempotency-key') ?? '';
    plain.answer = Err({kind: 'broken', message: 'broken'});
    const again = await harness.post(path, 'x', {'idempotency-key': ticket});
    assert.equal(await again.text(), 'confirmed');
    const lost = await answerOf(await harness.post(path, 'y'));
    assert.equal(lost.error.outcome, 'unknown');
    plain.answer = undefined;
    const headers = {'x-deadline-ms': '300'};
    const hung = await answerOf(await harness.post(path, 'z', headers));
    assert.equal(hung.error.outcome, 'unknown');
    assert.equal(plain.calls.length, 3);
  });
});
