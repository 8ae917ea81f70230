import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  DEPLOYMENTS,
  POLICIES,
  figures,
  floorLoads,
  requestTrace,
  simulate,
  type Deployment,
  type Request,
} from '../src/index.js';

const SEED = Number(process.env.BALSAMNOTCH_SEED ?? 1);

function run(deployment: Deployment, requestsPerSecond: number): string {
  const trace = requestTrace(deployment, {
    seed: SEED,
    zipf: 1.1,
    requestsPerSecond,
    endMs: 120_000,
    shift: 'tail',
    shiftAtMs: 60_000,
  });
  const runs = POLICIES.map(policy =>
    figures(
      simulate(deployment, policy, trace, {
        fromMs: 20_000,
        endMs: 120_000,
        fault: 'restart',
        faultAtMs: 70_000,
      }),
      true,
    ),
  );
  return JSON.stringify(runs);
}

function requests(adapters: readonly number[]): readonly Request[] {
  return adapters.map((adapter, id) => ({
    id,
    atMs: id,
    adapter,
    tokens: 100,
    entry: 0,
    priority: 'interactive',
  }));
}

describe('measure', () => {
  for (const deployment of Object.values(DEPLOYMENTS)) {
    it(`gives the same figures twice for one seed of ${deployment.name}`, () => {
      assert.equal(run(deployment, 6), run(deployment, 6));
    });
  }

  describe('floorLoads', () => {
    it('evicts the adapter that is needed latest', () => {
      // Eviction by last use needs 5 loads here.
      assert.equal(floorLoads(requests([1, 2, 3, 1, 2]), 2, 0), 4);
    });

    it('does not count loads of the warm-up', () => {
      assert.equal(floorLoads(requests([1, 1, 2]), 2, 2), 1);
    });
  });
});
