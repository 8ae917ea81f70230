import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AgedFrequency, type EngineShape} from '@balsamnotch/core';
import type {EngineState} from '../src/agent/engine.js';
import {
  MAX_PARALLEL_LOADS,
  adapterCapacity,
  planOrder,
  type AdapterDemand,
} from '../src/agent/plan.js';

const shape: EngineShape = {
  models: [{name: 'm', weightsMb: 1_000, adapterMb: 10, loadMs: 2_000}],
  weightsMb: 1_025,
  adapterSlots: 16,
  batchSlots: 64,
};

function state(
  adapters: readonly string[],
  part: Partial<EngineState> = {},
): EngineState {
  return {
    incarnationMs: 1,
    acceptedOrders: 0,
    isBusy: false,
    leaving: false,
    remainingMs: 0,
    running: 0,
    waiting: 0,
    cacheUsed: 0,
    cacheTotal: 1,
    models: [
      {model: 'm', adapters: adapters.map(adapter => ({adapter, version: 1}))},
    ],
    loading: [],
    ...part,
  };
}

function demand(
  adapter: string,
  leases: number,
  waiting: number,
): AdapterDemand {
  return {model: 'm', adapter, version: 0, leases, waiting, waitingSinceMs: 0};
}

function plan(
  engine: EngineState,
  demands: readonly AdapterDemand[],
  {
    newest = 0,
    frequency = new AgedFrequency(),
  }: {newest?: number; frequency?: AgedFrequency} = {},
) {
  return planOrder({
    state: engine,
    shape,
    demands,
    newestVersion: () => newest,
    frequency,
    nowMs: 0,
  });
}

describe('orders of a target node', () => {
  it('counts the memory beside the model (an engine that is ordered to hold more crashes)', () => {
    assert.equal(adapterCapacity(shape, state([]).models), 2);
  });

  it('loads the adapter that most requests wait for', () => {
    const order = plan(state([]), [demand('a', 1, 1), demand('b', 3, 3)]);
    assert.deepEqual(order, {
      kind: 'load',
      model: 'm',
      adapter: 'b',
      version: 0,
    });
  });

  it('unloads the least used adapter without leases, and none that has any', () => {
    const frequency = new AgedFrequency();
    for (let n = 0; n < 3; n++) frequency.record('a@m', 0);
    const wanted = demand('c', 1, 1);
    const held = state(['a', 'b']);
    assert.equal(plan(held, [wanted], {frequency})?.adapter, 'b');
    const bInUse = [wanted, demand('b', 1, 0)];
    assert.equal(plan(held, bInUse, {frequency})?.adapter, 'a');
    assert.equal(
      plan(held, [...bInUse, demand('a', 1, 0)], {frequency}),
      undefined,
    );
  });

  it('counts adapters that are being loaded as held', () => {
    const loading = [{model: 'm', adapter: 'a', version: 1}];
    const engine = state(['b'], {loading});
    assert.equal(
      plan(engine, [demand('c', 1, 1), demand('b', 1, 0)]),
      undefined,
    );
    assert.equal(plan(engine, [demand('a', 1, 1)]), undefined);
  });

  it('loads no more at once than the engine takes', () => {
    const loading = Array.from({length: MAX_PARALLEL_LOADS}, (_, n) => ({
      model: 'm',
      adapter: `x${n}`,
      version: 1,
    }));
    assert.equal(plan(state([], {loading}), [demand('c', 1, 1)]), undefined);
  });

  it('loads the model into an engine that started empty, and nothing while it is busy', () => {
    const empty = state([], {models: []});
    assert.deepEqual(plan(empty, [demand('a', 1, 1)]), {
      kind: 'load',
      model: 'm',
      version: 0,
    });
    assert.equal(
      plan({...empty, isBusy: true}, [demand('a', 1, 1)]),
      undefined,
    );
  });

  it('replaces an adapter when a newer version is declared', () => {
    assert.deepEqual(plan(state(['a']), [], {newest: 2}), {
      kind: 'load',
      model: 'm',
      adapter: 'a',
      version: 2,
    });
  });
});
