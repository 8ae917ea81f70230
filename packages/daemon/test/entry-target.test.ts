import assert from 'node:assert/strict';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import type {VM} from '@balsamnotch/systems';
import {BehaviorSubject} from 'rxjs';
import {Err} from 'ts-results-es';
import {startTarget, type TargetSystems} from '../src/target/index.js';
import {
  parseAnswer,
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
  unlimitedPermits,
  okAnswer,
  until,
} from './targetsupport.js';

/** Starts a target role with its Connect server, as an entry finds it in the VM list. */
async function startTargetNode(
  name: string,
  service: string,
  systems: TargetSystems,
): Promise<ListedNode & {role: ReturnType<typeof startTarget>}> {
  const vms$ = new BehaviorSubject<readonly VM[]>([]);
  const shared = {counters: {}, catchUps: [], vms$};
  const settings = {name, service, role: 'target'} as const;
  const options = {settings, incarnation: `${name}-1`};
  const role = startTarget(contextOf(shared, options), {
    permits: unlimitedPermits,
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

  async function startModelTargets(engines: readonly FakeEngine[]) {
    const targets = await Promise.all(
      engines.map((engine, n) =>
        startTargetNode(`m${n}`, 'assistant', {engine}),
      ),
    );
    harness = await startHarness(targets);
    return targets;
  }

  // Guards against a stream that ends early, or repeats tokens, when an engine restarts.
  it('continues a streamed chat at another target when its engine restarts', async () => {
    const engines = [new FakeEngine(), new FakeEngine()];
    await startModelTargets(engines);
    for (const engine of engines) engine.pauseAtToken = 5;
    const answer = harness.chat({stream: true, max_tokens: 12});
    const engineWithFiveTokens = () =>
      engines.find(({generations}) =>
        [...generations.values()].some(({tokens}) => tokens.length === 5),
      );
    await until(
      () => engineWithFiveTokens() !== undefined,
      'five tokens generated',
    );
    const restartedEngine = engineWithFiveTokens();
    for (const engine of engines) engine.pauseAtToken = Infinity;
    restartedEngine?.restart();
    const {content, done} = readEvents(await (await answer).text());
    assert.equal(content, expectedText(12));
    assert.equal(done, true);
  });

  // Guards against an endless wait on a connection that stays open but delivers
  // nothing: the entry must detect the silence and reattach.
  it('resumes a chat over a new connection when the old one is half-open', async () => {
    const engine = new FakeEngine();
    const target = await startTargetNode('m1', 'assistant', {engine});
    const sockets = new Set<Socket>();
    const proxy = createServer(entrySocket => {
      const targetSocket = connect(
        Number(target.vm.address.split(':')[1]),
        '127.0.0.1',
      );
      for (const socket of [entrySocket, targetSocket]) {
        sockets.add(socket);
        socket.on('error', () => undefined);
        socket.on(
          'close',
          () => (entrySocket.destroy(), targetSocket.destroy()),
        );
      }
      entrySocket.pipe(targetSocket).pipe(entrySocket);
    });
    await new Promise<void>(resolve => proxy.listen(0, '127.0.0.1', resolve));
    const {port} = proxy.address() as AddressInfo;
    const vm = {...target.vm, address: `127.0.0.1:${port}`};
    harness = await startHarness([{vm, close: target.close}]);
    engine.pauseAtToken = 5;
    const answer = harness.chat({stream: true, max_tokens: 12});
    await until(
      () => [...engine.generations.values()][0]?.tokens.length === 5,
      'five tokens generated',
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

  // Guards against a planned stop that breaks running chats or attracts new ones.
  it('finishes the chats of a stopping target and sends new ones to another target', async () => {
    const engines = [new FakeEngine(), new FakeEngine()];
    const targets = await startModelTargets(engines);
    engines.forEach(engine => (engine.tokenMs = 20));
    const running = harness.chat({max_tokens: 20});
    const busyIndex = () =>
      engines.findIndex(({generations}) => generations.size);
    await until(() => busyIndex() >= 0, 'a chat in an engine');
    const stoppingIndex = busyIndex();
    targets[stoppingIndex]!.role.beginStop();
    const later = await parseAnswer(await harness.chat({max_tokens: 4}));
    assert.equal(later.choices[0]?.message.content, expectedText(4));
    assert.equal(engines[stoppingIndex]!.generations.size, 1);
    const answer = await parseAnswer(await running);
    assert.equal(answer.choices[0]?.message.content, expectedText(20));
  });

  // Guards against running a confirmation twice, and against a definite outcome for
  // a call whose answer was lost or has not arrived.
  it('reports the outcome of a confirmation as the target recorded it', async () => {
    const plain = new FakePlain();
    harness = await startHarness([
      await startTargetNode('b1', 'booking', {plain}),
    ]);
    const path = '/v1/services/booking/confirm';
    plain.answer = okAnswer('confirmed');
    const confirmed = await harness.post(path, 'x');
    assert.equal(await confirmed.text(), 'confirmed');
    const ticket = confirmed.headers.get('idempotency-key') ?? '';
    plain.answer = Err({kind: 'broken', message: 'broken'});
    const repeated = await harness.post(path, 'x', {'idempotency-key': ticket});
    assert.equal(await repeated.text(), 'confirmed');
    const lost = await parseAnswer(await harness.post(path, 'y'));
    assert.equal(lost.error.outcome, 'unknown');
    plain.answer = undefined;
    const headers = {'x-deadline-ms': '300'};
    const timedOut = await parseAnswer(await harness.post(path, 'z', headers));
    assert.equal(timedOut.error.outcome, 'unknown');
    assert.equal(plain.calls.length, 3);
  });
});
