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

/** Call with defaults, overridden by the given fields. */
function call(overrides: Partial<PlainCall> = {}): PlainCall {
  return {
    requestId: 'r1',
    operation: 'confirm',
    body: Buffer.from('{"booking":1}'),
    timeoutMs: 5_000,
    freshConnection: true,
    ...overrides,
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

  /** Returns the number of calls that took effect in the service. */
  const effectCount = async () => (await getControl(control)).counters.effects;

  /** Waits until `count` calls took effect, because the service may run a call after its client has given up. */
  async function waitForEffects(count: number): Promise<void> {
    while ((await effectCount()) !== count) await sleep(5);
  }

  it('returns status, content type and body of a response', async () => {
    await setControl(control, {status: 418});
    const answer = (await httpPlainService(url).call(call())).unwrap();
    const body = JSON.parse(Buffer.from(answer.body).toString());
    assert.equal(answer.status, 418);
    assert.equal(answer.contentType, 'application/json');
    assert.equal(body.body, '{"booking":1}');
    assert.equal(body.requestId, 'r1');
  });

  // A call that failed as `unreachable` may be repeated, so it must not have run.
  it('reports unreachable when the connection was refused, and nothing ran', async () => {
    await setControl(control, {refuse: true});
    const result = await httpPlainService(url).call(call());
    assert.equal(result.unwrapErr().kind, 'unreachable');
    assert.equal(await effectCount(), 0);
  });

  for (const afterEffect of ['reset', 'silent'] as const) {
    // A call whose response is lost may have run and must not look unsent.
    it(`reports broken when the call ran but its response was lost: ${afterEffect}`, async () => {
      await setControl(control, {afterEffect});
      const result = await httpPlainService(url).call(call({timeoutMs: 300}));
      assert.equal(result.unwrapErr().kind, 'broken');
      await waitForEffects(1);
    });
  }

  it('reports broken, not unreachable, when the service hangs or responds late', async () => {
    await setControl(control, {hang: true});
    const hung = await httpPlainService(url).call(call({timeoutMs: 100}));
    assert.equal(hung.unwrapErr().kind, 'broken');
    await setControl(control, {hang: false, lateMs: 500});
    const late = await httpPlainService(url).call(call({timeoutMs: 300}));
    assert.equal(late.unwrapErr().kind, 'broken');
    await waitForEffects(1);
  });

  // On a reused connection, a failure does not show whether the call was sent.
  it('does not reuse a connection for a call that asks for a fresh one', async () => {
    const service = httpPlainService(url);
    const connections = async () =>
      Number((await getControl(control)).connections);
    await service.call(call({freshConnection: false}));
    await service.call(call({freshConnection: false}));
    assert.equal(await connections(), 1);
    await service.call(call({freshConnection: true}));
    assert.equal(await connections(), 2);
  });

  // A call that was sent twice must show in the counters of the stand-in.
  it('counts repeated request IDs and repeated bodies separately', async () => {
    const service = httpPlainService(url);
    await service.call(call());
    await service.call(call());
    await service.call(call({requestId: 'r2'}));
    const {counters} = await getControl(control);
    assert.equal(counters.repeatedRequests, 1);
    assert.equal(counters.repeatedBodies, 2);
  });
});
