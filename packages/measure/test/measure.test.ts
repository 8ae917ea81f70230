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

function figuresOfAllPolicies(
  deployment: Deployment,
  requestsPerSecond: number,
): string {
  const trace = requestTrace(deployment, {
    seed: SEED,
    zipfExponent: 1.1,
    requestsPerSecond,
    endMs: 120_000,
    shift: 'tail',
    shiftAtMs: 60_000,
  });
  const runs = POLICIES.map(policy =>
    figures(
      simulate(deployment, policy, trace, {
        measuredFromMs: 20_000,
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
    arrivalMs: id,
    adapter,
    tokens: 100,
    entry: 0,
    priority: 'interactive',
  }));
}

describe('measure', () => {
  // Fails if a simulation depends on anything but its seed, such as the wall clock
  // or an unseeded random source: figures could then not be reproduced.
  for (const deployment of Object.values(DEPLOYMENTS)) {
    it(`computes the same figures in two runs with one seed for ${deployment.name}`, () => {
      assert.equal(
        figuresOfAllPolicies(deployment, 6),
        figuresOfAllPolicies(deployment, 6),
      );
    });
  }

  describe('floorLoads', () => {
    it('evicts the adapter whose next request is farthest in the future', () => {
      // Least-recently-used eviction needs 5 loads here.
      assert.equal(floorLoads(requests([1, 2, 3, 1, 2]), 2, 0), 4);
    });

    it('does not count loads during the warm-up', () => {
      assert.equal(floorLoads(requests([1, 1, 2]), 2, 2), 1);
    });
  });
});
