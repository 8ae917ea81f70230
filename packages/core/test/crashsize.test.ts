import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  assessCrashes,
  assessmentPauseMs,
  requestPart,
  type CrashRecord,
} from '../src/index.js';
import {randomOf} from './random.js';

/** Shared parts of a prompt. */
const PARTS_PER_PROMPT = 15;

/** Unrelated crashes of targets that were at work on requests with many shared parts. */
function unrelatedCrashes(
  crashes: number,
  differentParts: number,
): readonly CrashRecord[] {
  const random = randomOf(1);
  return Array.from({length: crashes}, (_, n) => {
    const suspects = Array.from({length: 32}, (_unused, k) => ({
      session: `s${n}/${k}`,
      parts: [
        ...Array.from(
          {length: PARTS_PER_PROMPT},
          () => `p${Math.floor(random() * differentParts)}`,
        ),
        requestPart(`${n}/${k}`),
      ],
    }));
    const parts = new Set(suspects.flatMap(suspect => suspect.parts));
    const count = Math.round((1_000 * PARTS_PER_PROMPT) / differentParts);
    return {
      key: `e${n % 4}/${n}`,
      version: 1,
      atMs: 2_000 * n,
      suspects,
      hasBegun: false,
      answers: 1_000,
      partAnswers: new Map(
        [...parts].map(part => [part, {count, lastAtMs: 2_000 * n}]),
      ),
    };
  });
}

/** Returns the least processor time of three assessments, in milliseconds. */
function processorMs(records: readonly CrashRecord[]): number {
  const times = [1, 2, 3].map(() => {
    const before = process.cpuUsage();
    assessCrashes(records, 128_000);
    const {user, system} = process.cpuUsage(before);
    return (user + system) / 1_000;
  });
  return Math.min(...times);
}

describe('the assessment of unrelated crashes with 32 requests each', () => {
  // Failure: one assessment took 2.5 s of a core with 15 shared parts, since each part was looked for
  // in each suspect of each crash, and an entry answered nothing meanwhile.
  it('takes time in proportion to the parts that are named', () => {
    processorMs(unrelatedCrashes(16, 100));
    const fewMs = processorMs(unrelatedCrashes(16, 100));
    const manyMs = processorMs(unrelatedCrashes(64, 400));
    assert.ok(manyMs <= 8 * fewMs + 20, `${fewMs} ms, ${manyMs} ms`);
  });

  it('confirms no part', () => {
    const {parts} = assessCrashes(unrelatedCrashes(64, 393), 128_000);
    assert.deepEqual(
      parts.filter(({isConfirmed}) => isConfirmed),
      [],
    );
  });
});

describe('the pause between assessments', () => {
  it('leaves nine tenths of the time to other work', () => {
    assert.equal(assessmentPauseMs(0), 0);
    assert.equal(assessmentPauseMs(20), 180);
  });

  it('is at most half a second, so that a confirmed part is stopped in time', () => {
    assert.equal(assessmentPauseMs(10_000), 500);
  });
});
