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
import {engineState} from './support.js';

const shape: EngineShape = {
  models: [{name: 'm', weightsMb: 1_000, adapterMb: 10, loadMs: 2_000}],
  weightsMb: 1_025,
  adapterSlots: 16,
  batchSlots: 64,
};

function demand(
  adapter: string,
  leases: number,
  waiting: number,
): AdapterDemand {
  return {model: 'm', adapter, version: 0, leases, waiting, waitingSinceMs: 0};
}

function planFor(
  engine: EngineState,
  demands: readonly AdapterDemand[],
  {
    newestVersion = 0,
    frequency = new AgedFrequency(),
  }: {newestVersion?: number; frequency?: AgedFrequency} = {},
) {
  return planOrder({
    state: engine,
    shape,
    demands,
    newestVersion: () => newestVersion,
    frequency,
    nowMs: 0,
  });
}

describe('orders of a target node', () => {
  // An engine that is ordered to hold more adapters than fit into its memory crashes.
  it('limits the adapters to the memory left by the model', () => {
    assert.equal(adapterCapacity(shape, engineState([]).models), 2);
  });

  it('loads the adapter for which most requests wait', () => {
    const order = planFor(engineState([]), [
      demand('a', 1, 1),
      demand('b', 3, 3),
    ]);
    assert.deepEqual(order, {
      kind: 'load',
      model: 'm',
      adapter: 'b',
      version: 0,
    });
  });

  it('unloads the least used adapter without leases, and never one with leases', () => {
    const frequency = new AgedFrequency();
    for (let n = 0; n < 3; n++) frequency.record('a@m', 0);
    const waitingDemand = demand('c', 1, 1);
    const held = engineState(['a', 'b']);
    assert.equal(planFor(held, [waitingDemand], {frequency})?.adapter, 'b');
    const bInUse = [waitingDemand, demand('b', 1, 0)];
    assert.equal(planFor(held, bInUse, {frequency})?.adapter, 'a');
    assert.equal(
      planFor(held, [...bInUse, demand('a', 1, 0)], {frequency}),
      undefined,
    );
  });

  // Otherwise an adapter is ordered twice, or more adapters than the engine has slots.
  it('counts adapters with a load in progress as held', () => {
    const loading = [{model: 'm', adapter: 'a', version: 1}];
    const engine = engineState(['b'], {loading});
    assert.equal(
      planFor(engine, [demand('c', 1, 1), demand('b', 1, 0)]),
      undefined,
    );
    assert.equal(planFor(engine, [demand('a', 1, 1)]), undefined);
  });

  it('plans no load beyond the maximum number of parallel loads', () => {
    const loading = Array.from({length: MAX_PARALLEL_LOADS}, (_, n) => ({
      model: 'm',
      adapter: `x${n}`,
      version: 1,
    }));
    assert.equal(
      planFor(engineState([], {loading}), [demand('c', 1, 1)]),
      undefined,
    );
  });

  it('loads the base model into an empty engine, and nothing while the engine is busy', () => {
    const empty = engineState([], {models: []});
    assert.deepEqual(planFor(empty, [demand('a', 1, 1)]), {
      kind: 'load',
      model: 'm',
      version: 0,
    });
    assert.equal(
      planFor({...empty, isBusy: true}, [demand('a', 1, 1)]),
      undefined,
    );
  });

  // The engine would otherwise keep serving the old version of a loaded adapter.
  it('reloads a held adapter when a newer version is declared', () => {
    assert.deepEqual(planFor(engineState(['a']), [], {newestVersion: 2}), {
      kind: 'load',
      model: 'm',
      adapter: 'a',
      version: 2,
    });
  });
});
