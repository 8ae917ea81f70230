import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  wholeAnswer,
  type ReadStream,
  type ToldConfirmation,
} from '../src/caller.js';
import {planFaults} from '../src/soak/plan.js';
import {
  confirmationViolations,
  streamViolations,
} from '../src/soak/promises.js';
import {runSoak} from '../src/soak/run.js';

const LENGTH_MS = 20_000;

describe('soak', () => {
  const nodes = {
    entries: ['entry-1', 'entry-2'],
    engines: ['assistant-1', 'assistant-2'],
    plain: ['booking-1', 'booking-2'],
  };

  describe('faults', () => {
    it('are the same for a seed (a failure could not be repeated)', () => {
      const plan = planFaults(7, nodes, LENGTH_MS);
      assert.deepEqual(planFaults(7, nodes, LENGTH_MS), plan);
      assert.notDeepEqual(planFaults(8, nodes, LENGTH_MS), plan);
    });

    it('overlap and come in series, from small seeds too', () => {
      for (let seed = 1; seed <= 20; seed++) {
        const plan = planFaults(seed, nodes, LENGTH_MS);
        assert.ok(plan.length >= 10, `seed ${seed}: ${plan.length} faults`);
        const overlaps = plan.some((fault, i) => {
          const next = plan[i + 1];
          return next !== undefined && next.atMs < fault.atMs + fault.forMs;
        });
        assert.ok(overlaps, `seed ${seed} has no overlap`);
      }
    });
  });

  describe('promises', () => {
    const told = (part: Partial<ToldConfirmation>): ToldConfirmation => ({
      booking: 'b',
      status: 200,
      ms: 10,
      ...part,
    });
    const broken = (part: Partial<ToldConfirmation>, effects: number) =>
      confirmationViolations(told(part), effects, 1_000).length;

    it('holds of a confirmation that ran once, or was refused and did not run', () => {
      assert.equal(broken({}, 1), 0);
      assert.equal(broken({status: 503, outcome: 'not_run'}, 0), 0);
      assert.equal(broken({status: 0}, 1), 0);
      assert.equal(broken({status: 504, outcome: 'unknown'}, 1), 0);
    });

    it('is broken by a second effect, a lost one, a false outcome and a long wait', () => {
      assert.equal(broken({}, 2), 1);
      assert.equal(broken({}, 0), 1);
      assert.equal(broken({status: 503, outcome: 'not_run'}, 1), 1);
      assert.equal(broken({status: 502, outcome: 'ran'}, 0), 1);
      assert.equal(broken({ms: 60_000}, 1), 1);
    });

    const plan = {
      adapter: 'style-0001',
      version: 'v1',
      content: 'c',
      tokens: 5,
    };
    const stream = (part: Partial<ReadStream>): ReadStream => ({
      plan,
      text: wholeAnswer(plan, 'v1'),
      model: 'style-0001@v1',
      done: true,
      status: 200,
      ended: Promise.resolve(),
      ...part,
    });

    it('holds of a whole stream and of one that broke off', () => {
      assert.deepEqual(streamViolations(stream({})), []);
      const text = wholeAnswer(plan, 'v1').slice(0, 4);
      assert.deepEqual(streamViolations(stream({text, done: false})), []);
    });

    it('is broken by another adapter, another version, a gap and an early end', () => {
      const faults: Array<Partial<ReadStream>> = [
        {model: 'style-0002@v1'},
        {model: 'style-0001@v2'},
        {text: wholeAnswer(plan, 'v1').slice(1)},
        {text: wholeAnswer(plan, 'v1').slice(0, 4)},
      ];
      for (const fault of faults) {
        assert.equal(streamViolations(stream(fault)).length, 1);
      }
    });
  });

  // Short runs with fixed seeds, so that the verdict is the same each time.
  // A seed that ever failed is added with its cause.
  describe('real processes', () => {
    for (const seed of [1]) {
      it(`keep all promises with seed ${seed}`, {timeout: 90_000}, async () => {
        const result = await runSoak(seed, 8_000);
        assert.deepEqual(result.violations, []);
        assert.ok(result.confirmations > 50, `${result.confirmations}`);
      });
    }
  });
});
