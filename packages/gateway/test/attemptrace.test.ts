import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ATTEMPT_END, type AttemptEnd} from '@balsamnotch/core';
import {notSentResult, type AttemptResult} from '../src/entry/attempt.js';
import {raceAttempts, type SentAttempt} from '../src/entry/attemptrace.js';

const LATE_MS = 30;

/** An attempt that the test ends. */
interface FakeAttempt {
  readonly sent: SentAttempt;
  readonly end: (end: AttemptEnd, status?: number) => void;
  readonly cancelled: string[];
}

function fakeAttempt(isSecond: boolean): FakeAttempt {
  let resolve: (result: AttemptResult) => void = () => undefined;
  const cancelled: string[] = [];
  const result = new Promise<AttemptResult>(done => (resolve = done));
  const end = (how: AttemptEnd, status?: number) =>
    resolve({
      ...notSentResult(''),
      end: how,
      answer:
        status === undefined
          ? undefined
          : {status, rawHeaders: [], body: [], isFramed: true},
    });
  const cancel = (detail: string) => {
    cancelled.push(detail);
    end(ATTEMPT_END.broken);
  };
  return {
    sent: {
      target: {} as SentAttempt['target'],
      attempt: {result, cancel, resume: () => undefined},
      startedAtMs: 0,
      isSecond,
    },
    end,
    cancelled,
  };
}

/** Starts a race; its second attempt is sent at the check with this number, from 1 on. */
function startRace(sentAtCheck = 1) {
  const first = fakeAttempt(false);
  const second = fakeAttempt(true);
  const failed: SentAttempt[] = [];
  const outrun: boolean[] = [];
  let checks = 0;
  let markSent: () => void = () => undefined;
  const isSent = new Promise<void>(resolve => (markSent = resolve));
  const race = raceAttempts(first.sent, {
    lateAfterMs: LATE_MS,
    openSecond: () => {
      checks += 1;
      if (checks !== sentAtCheck) return undefined;
      markSent();
      return second.sent;
    },
    onFailed: ended => failed.push(ended),
    onOutrun: ({isSecond}) => outrun.push(isSecond),
  });
  return {race, first, second, failed, outrun, isSent, checks: () => checks};
}

describe('an attempt with a second one beside it', () => {
  // Failure: the second attempt was sent although the answer was there, or late checks went on.
  it('has none if it is answered in time', async () => {
    const {race, first, checks} = startRace();
    first.end(ATTEMPT_END.answered, 200);
    assert.equal((await race.ended).isSecond, false);
    await new Promise(resolve => setTimeout(resolve, 3 * LATE_MS));
    assert.equal(checks(), 0);
  });

  // Failure: a request got none at all when the first check withheld it.
  it('gets one at a later check if the first ones withhold it', async () => {
    const {race, second, first, outrun, isSent} = startRace(3);
    await isSent;
    second.end(ATTEMPT_END.answered, 200);
    assert.equal((await race.ended).isSecond, true);
    assert.equal(first.cancelled.length, 1);
    assert.deepEqual(outrun, [false]);
  });

  // Failure: a target worked on after the other one had answered, or its end counted as a failure.
  it('cancels the other one when the first answer is there', async () => {
    const {race, first, second, failed, outrun, isSent} = startRace();
    await isSent;
    first.end(ATTEMPT_END.answered, 200);
    assert.equal((await race.ended).isSecond, false);
    assert.equal(second.cancelled.length, 1);
    await new Promise(resolve => setTimeout(resolve, LATE_MS));
    assert.deepEqual([failed.length, outrun], [0, [true]]);
  });

  // Failure: a refusal without a promise hid the answer of the first target from the caller.
  it('takes no refusal for an answer while the other one goes on', async () => {
    for (const status of [408, 429, 503]) {
      const {race, first, second, isSent} = startRace();
      await isSent;
      second.end(ATTEMPT_END.answered, status);
      await new Promise(setImmediate);
      first.end(ATTEMPT_END.answered, 200);
      const ended = await race.ended;
      assert.equal(ended.result.answer?.status, 200);
      assert.equal(ended.isRecorded, false);
    }
  });

  // Failure: the caller got 502 in place of the status of a target that had answered.
  it('returns an answer that reports a failure if the other one brings none', async () => {
    const {race, first, second, failed, isSent} = startRace();
    await isSent;
    first.end(ATTEMPT_END.failed, 500);
    await new Promise(setImmediate);
    second.end(ATTEMPT_END.broken);
    const ended = await race.ended;
    assert.equal(ended.result.answer?.status, 500);
    // Both have been recorded, so the decisive one must not be recorded again.
    assert.equal(failed.length, 2);
    assert.equal(ended.isRecorded, true);
  });

  // Failure: an attempt went on without its caller.
  it('ends with all attempts when it is cancelled', async () => {
    const {race, first, second, isSent} = startRace();
    await isSent;
    race.attempt.cancel('caller left');
    assert.equal((await race.ended).result.end, ATTEMPT_END.broken);
    assert.deepEqual(first.cancelled, ['caller left']);
    assert.deepEqual(second.cancelled, ['caller left']);
  });
});
