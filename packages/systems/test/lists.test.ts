import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  httpConfigService,
  httpVMList,
  type ConfigService,
  type VM,
} from '@balsamnotch/systems';
import {
  getControl,
  setControl,
  startConfigService,
  startVMList,
  type StandIn,
} from '@balsamnotch/standins';

describe('configuration service client', () => {
  let standIn: StandIn;
  let control: string;
  let url: string;
  let service: ConfigService;

  beforeEach(async () => {
    standIn = await startConfigService({control: {values: {manifest: 'one'}}});
    control = `http://127.0.0.1:${standIn.controlPort}`;
    url = `http://127.0.0.1:${standIn.port}`;
    service = httpConfigService(url);
  });

  afterEach(() => standIn.close());

  const readContent = async () =>
    (await service.read('manifest')).unwrap().content;

  it('ends a watch when the value changes, and without a value after its wait', async () => {
    const {version} = (await service.read('manifest')).unwrap();
    const unchanged = await service.watch('manifest', version, {
      waitMs: 50,
      answerMs: 1_000,
    });
    assert.equal(unchanged.unwrap(), undefined);
    const watch = service.watch('manifest', version, {
      waitMs: 5_000,
      answerMs: 1_000,
    });
    await sleep(20);
    await setControl(control, {values: {manifest: 'two'}});
    assert.equal((await watch).unwrap()?.content, 'two');
    assert.equal((await getControl(control)).counters.watches, 2);
  });

  // A time limit that counted the wait would fail each watch without a change.
  it('allows the response time of a watch in addition to its wait', async () => {
    const {version} = (await service.read('manifest')).unwrap();
    const result = await service.watch('manifest', version, {
      waitMs: 400,
      answerMs: 300,
    });
    assert.equal(result.unwrap(), undefined);
  });

  it('distinguishes an unknown name, an unreachable service and a silent one', async () => {
    assert.equal((await service.read('x')).unwrapErr().kind, 'not_found');
    await setControl(control, {hang: true});
    const shortTimeoutClient = httpConfigService(url, {timeoutMs: 100});
    const silent = await shortTimeoutClient.read('manifest');
    assert.equal(silent.unwrapErr().kind, 'timeout');
    await setControl(control, {refuse: true});
    const unreachable = await service.read('manifest');
    assert.equal(unreachable.unwrapErr().kind, 'unreachable');
    await setControl(control, {refuse: false, hang: false});
    assert.equal(await readContent(), 'one');
  });

  it('returns a stale copy until the fault of the stand-in is removed', async () => {
    await setControl(control, {values: {manifest: 'two'}});
    await setControl(control, {oldCopy: 1});
    assert.equal(await readContent(), 'one');
    await setControl(control, {values: {manifest: 'three'}});
    assert.equal(await readContent(), 'one');
    await setControl(control, {oldCopy: null});
    assert.equal(await readContent(), 'three');
  });

  // The size limit of responses must leave room for escaped characters.
  it('reads a value of 1 MB whose JSON encoding is twice as long', async () => {
    const large = '"'.repeat(1024 * 1024);
    await setControl(control, {values: {manifest: large}});
    assert.equal((await readContent()).length, large.length);
  });
});

describe('VM list client', () => {
  const LAG_MS = 100;
  const vm: VM = {
    name: 'poblado-1',
    role: 'target',
    service: 'assistant',
    address: '127.0.0.1:4000',
    failureDomain: 'poblado',
    state: 'live',
  };

  it('shows changes after the lag of the list, and reports an unreachable list', async () => {
    const standIn = await startVMList({control: {vms: [vm]}});
    const control = `http://127.0.0.1:${standIn.controlPort}`;
    const list = httpVMList(`http://127.0.0.1:${standIn.port}`);
    assert.deepEqual((await list.read()).unwrap(), [vm]);
    await setControl(control, {lagMs: LAG_MS});
    const startMs = performance.now();
    await setControl(control, {vms: [{...vm, state: 'leaving'}]});
    while ((await list.read()).unwrap()[0]?.state !== 'leaving') await sleep(5);
    assert.ok(performance.now() - startMs >= LAG_MS);
    await setControl(control, {refuse: true});
    assert.equal((await list.read()).unwrapErr().kind, 'unreachable');
    await standIn.close();
  });
});
