import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  completeAnswer,
  type ChatStream,
  type ConfirmationResult,
} from '../src/caller.js';
import {planFaults} from '../src/soak/plan.js';
import {
  findConfirmationViolations,
  findStreamViolations,
} from '../src/soak/promises.js';
import {runSoak} from '../src/soak/run.js';

const DURATION_MS = 20_000;

describe('soak', () => {
  const nodes = {
    entries: ['entry-1', 'entry-2'],
    engineTargets: ['assistant-1', 'assistant-2'],
    plainTargets: ['booking-1', 'booking-2'],
  };

  describe('fault plan', () => {
    // Otherwise a failed soak could not be reproduced from its seed.
    it('depends only on the seed', () => {
      const plan = planFaults(7, nodes, DURATION_MS);
      assert.deepEqual(planFaults(7, nodes, DURATION_MS), plan);
      assert.notDeepEqual(planFaults(8, nodes, DURATION_MS), plan);
    });

    // Guards against plans with too few faults, or none that overlap, from seeds that differ in
    // few bits.
    it('has overlapping faults, even for small seeds', () => {
      for (let seed = 1; seed <= 20; seed++) {
        const plan = planFaults(seed, nodes, DURATION_MS);
        assert.ok(plan.length >= 10, `seed ${seed}: ${plan.length} faults`);
        const overlaps = plan.some((fault, i) => {
          const next = plan[i + 1];
          return next !== undefined && next.atMs < fault.atMs + fault.lengthMs;
        });
        assert.ok(overlaps, `seed ${seed} has no overlap`);
      }
    });
  });

  // A checker that misses a violation would let a faulty build pass the soak.
  describe('checks of guarantees', () => {
    const confirmation = (
      fields: Partial<ConfirmationResult>,
    ): ConfirmationResult => ({
      booking: 'b',
      status: 200,
      durationMs: 10,
      ...fields,
    });
    const countViolations = (
      fields: Partial<ConfirmationResult>,
      effects: number,
    ) =>
      findConfirmationViolations(confirmation(fields), effects, 1_000).length;

    it('accept a confirmation that ran once, was not run, or has an unknown outcome', () => {
      assert.equal(countViolations({}, 1), 0);
      assert.equal(countViolations({status: 503, outcome: 'not_run'}, 0), 0);
      assert.equal(countViolations({status: 0}, 1), 0);
      assert.equal(countViolations({status: 504, outcome: 'unknown'}, 1), 0);
    });

    it('report a second effect, a missing effect, a wrong outcome and a late response', () => {
      assert.equal(countViolations({}, 2), 1);
      assert.equal(countViolations({}, 0), 1);
      assert.equal(countViolations({status: 503, outcome: 'not_run'}, 1), 1);
      assert.equal(countViolations({status: 502, outcome: 'ran'}, 0), 1);
      assert.equal(countViolations({durationMs: 60_000}, 1), 1);
    });

    const plan = {
      adapter: 'style-0001',
      version: 'v1',
      content: 'c',
      tokens: 5,
    };
    const stream = (fields: Partial<ChatStream>): ChatStream => ({
      plan,
      text: completeAnswer(plan, 'v1'),
      model: 'style-0001@v1',
      done: true,
      status: 200,
      ended: Promise.resolve(),
      ...fields,
    });

    it('accept a complete stream and an interrupted one', () => {
      assert.deepEqual(findStreamViolations(stream({})), []);
      const text = completeAnswer(plan, 'v1').slice(0, 4);
      assert.deepEqual(findStreamViolations(stream({text, done: false})), []);
    });

    it('report a wrong adapter, a wrong version, a gap and an early end', () => {
      const faults: Array<Partial<ChatStream>> = [
        {model: 'style-0002@v1'},
        {model: 'style-0001@v2'},
        {text: completeAnswer(plan, 'v1').slice(1)},
        {text: completeAnswer(plan, 'v1').slice(0, 4)},
      ];
      for (const fault of faults) {
        assert.equal(findStreamViolations(stream(fault)).length, 1);
      }
    });
  });

  // Guards the whole system with short runs and fixed seeds, so that every run injects the same faults.
  // When another seed fails, add it here with the cause of the failure.
  describe('real processes', () => {
    for (const seed of [1]) {
      it(
        `keep all guarantees with seed ${seed}`,
        {timeout: 90_000},
        async () => {
          const result = await runSoak(seed, 8_000);
          assert.deepEqual(result.violations, []);
          assert.ok(
            result.confirmationCount > 50,
            `${result.confirmationCount}`,
          );
        },
      );
    }
  });
});
