import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {httpPlainService, type PlainCall} from '@balsamnotch/systems';
import {
  getControl,
  setControl,
  startPlain,
  type StandIn,
} from '@balsamnotch/standins';

function call(changes: Partial<PlainCall> = {}): PlainCall {
  return {
    requestId: 'r1',
    operation: 'confirm',
    body: Buffer.from('{"booking":1}'),
    timeoutMs: 5_000,
    freshConnection: true,
    ...changes,
  };
}

describe('plain service client', () => {
  let standIn: StandIn;
  let control: string;
  let url: string;

  beforeEach(async () => {
    standIn = await startPlain();
    url = `http://127.0.0.1:${standIn.port}`;
    control = `http://127.0.0.1:${standIn.controlPort}`;
  });

  afterEach(() => standIn.close());

  const effects = async () => (await getControl(control)).counters.effects;

  /** A call whose client gave up takes effect when the service gets to it. */
  async function untilEffects(count: number): Promise<void> {
    while ((await effects()) !== count) await sleep(5);
  }

  it('passes status, type and body of an answer', async () => {
    await setControl(control, {status: 418});
    const answer = (await httpPlainService(url).call(call())).unwrap();
    const body = JSON.parse(Buffer.from(answer.body).toString());
    assert.equal(answer.status, 418);
    assert.equal(answer.contentType, 'application/json');
    assert.equal(body.body, '{"booking":1}');
    assert.equal(body.requestId, 'r1');
  });

  it('reports unreachable only when the connect was refused and nothing ran', async () => {
    await setControl(control, {refuse: true});
    const result = await httpPlainService(url).call(call());
    assert.equal(result.unwrapErr().kind, 'unreachable');
    assert.equal(await effects(), 0);
  });

  for (const afterEffect of ['reset', 'silent'] as const) {
    it(`reports broken when the call ran and the answer is lost: ${afterEffect}`, async () => {
      await setControl(control, {afterEffect});
      const result = await httpPlainService(url).call(call({timeoutMs: 300}));
      assert.equal(result.unwrapErr().kind, 'broken');
      await untilEffects(1);
    });
  }

  it('reports broken, never unreachable, when the service hangs or answers late', async () => {
    await setControl(control, {hang: true});
    const hung = await httpPlainService(url).call(call({timeoutMs: 100}));
    assert.equal(hung.unwrapErr().kind, 'broken');
    await setControl(control, {hang: false, lateMs: 500});
    const late = await httpPlainService(url).call(call({timeoutMs: 300}));
    assert.equal(late.unwrapErr().kind, 'broken');
    await untilEffects(1);
  });

  it('does not send a fresh call on a kept connection', async () => {
    const service = httpPlainService(url);
    const connections = async () =>
      Number((await getControl(control)).connections);
    await service.call(call({freshConnection: false}));
    await service.call(call({freshConnection: false}));
    assert.equal(await connections(), 1);
    await service.call(call({freshConnection: true}));
    assert.equal(await connections(), 2);
  });

  it('counts a repeated request and a repeated body apart', async () => {
    const service = httpPlainService(url);
    await service.call(call());
    await service.call(call());
    await service.call(call({requestId: 'r2'}));
    const {counters} = await getControl(control);
    assert.equal(counters.repeatedRequests, 1);
    assert.equal(counters.repeatedBodies, 2);
  });
});
