import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  NO_SECOND_ATTEMPTS,
  SECOND_OUTCOME,
  SECOND_WITHHELD,
  UNKNOWN_HEALTH,
  afterOutrun,
  afterSilence,
  afterSuccess,
  isControlBlock,
  lateAfterMs,
  maySendSecond,
  secondUse,
  secondWithheld,
  withSecondOutcome,
  withSecondRefusal,
  withSecondRequest,
  withSecondStart,
  withSecondTime,
  withoutSecondStart,
  type LateRequest,
  type PlacementCandidate,
  type SecondAttempts,
} from '../src/index.js';
import {playSeconds, type SecondPlay} from './secondmodel.js';

const LATE: LateRequest = {
  remainingMs: 5_000,
  inProgress: 1,
  slots: 100,
  retries: {used: 0, limit: 100},
  share: 0.1,
  hasTarget: true,
};

/** Returns the state after `count` requests that targets a and b answered in `ms`. */
function afterAnswers(count: number, ms: number, nowMs = 0): SecondAttempts {
  let state = NO_SECOND_ATTEMPTS;
  for (let n = 0; n < count; n++) {
    state = withSecondRequest(state, nowMs);
    state = withSecondTime(state, n % 2 === 0 ? 'a' : 'b', ms, nowMs);
  }
  return state;
}

describe('second attempts', () => {
  describe('of one kind of request', () => {
    // Failure: an answer was taken for late by too few others, or by those of its own target.
    it('are sent by the times of the other targets, once these are known', () => {
      assert.equal(lateAfterMs(afterAnswers(30, 100), 'a', 0), undefined);
      let state = afterAnswers(60, 100);
      for (let n = 0; n < 40; n++) state = withSecondTime(state, 'c', 900, 0);
      const lateMs = lateAfterMs(state, 'c', 0) ?? 0;
      assert.ok(lateMs >= 125 && lateMs < 140, `${lateMs} ms`);
      assert.ok((lateAfterMs(state, 'a', 0) ?? 0) > 900);
    });

    // Failure: times of a load that is over decided what is late.
    it('forget old times', () => {
      assert.equal(lateAfterMs(afterAnswers(100, 100), 'c', 60_000), undefined);
    });

    // Failure: the limit that the operators set was exceeded, or its unused parts were lost.
    it('stay within the share, of which a part is used until they have served', () => {
      let state = afterAnswers(400, 100);
      assert.equal(secondUse(state, 0.1, 0).limit, 10);
      for (let n = 0; n < 10; n++) {
        assert.equal(secondWithheld(state, LATE, 0), undefined);
        state = withSecondStart(state, 0);
      }
      assert.equal(secondWithheld(state, LATE, 0), SECOND_WITHHELD.share);
      const givenBack = withoutSecondStart(state, 0);
      assert.equal(secondWithheld(givenBack, LATE, 0), undefined);
      for (let n = 0; n < 16; n++) {
        state = withSecondOutcome(state, SECOND_OUTCOME.won, 0);
      }
      assert.equal(secondUse(state, 0.1, 0).limit, 40);
    });

    // Failure: work was added where there is no room, no time or no budget for it.
    it('are withheld without room, time, budget or target', () => {
      const state = afterAnswers(400, 100);
      const cases: ReadonlyArray<[Partial<LateRequest>, string]> = [
        [{inProgress: 70}, SECOND_WITHHELD.full],
        [{remainingMs: 110}, SECOND_WITHHELD.time],
        [{share: 0}, SECOND_WITHHELD.share],
        [{retries: {used: 50, limit: 100}}, SECOND_WITHHELD.budget],
        [{hasTarget: false}, SECOND_WITHHELD.noTarget],
      ];
      for (const [changed, reason] of cases) {
        assert.equal(secondWithheld(state, {...LATE, ...changed}, 0), reason);
      }
      const refused = withSecondRefusal(state, 0);
      assert.equal(secondWithheld(refused, LATE, 1_999), SECOND_WITHHELD.full);
      assert.equal(secondWithheld(refused, LATE, 2_001), undefined);
    });

    // Failure: second attempts that only cost went on, or never came back after a bad minute.
    it('are switched off when they do not win, for longer each time, and come back in part', () => {
      let state = afterAnswers(400, 100);
      const lose = (nowMs: number) => {
        for (let n = 0; n < 16; n++) {
          state = withSecondOutcome(state, SECOND_OUTCOME.lost, nowMs);
        }
      };
      lose(0);
      assert.equal(
        secondWithheld(state, LATE, 19_000),
        SECOND_WITHHELD.switchedOff,
      );
      assert.equal(state.offUntilMs, 20_000);
      lose(20_000);
      assert.equal(state.offUntilMs, 60_000);
      assert.ok(state.isProbing);
      for (let n = 0; n < 16; n++) {
        state = withSecondOutcome(state, SECOND_OUTCOME.won, 61_000);
      }
      assert.ok(!state.isProbing);
      lose(62_000);
      assert.ok(state.offUntilMs - 62_000 <= 20_000);
    });

    // Failure: second attempts won, while their load made all answers slower.
    it('are switched off when answers take longer with them than without', () => {
      const controlMs = [...Array(100).keys()]
        .map(n => n * 1_000)
        .find(isControlBlock);
      assert.ok(controlMs !== undefined);
      let state = afterAnswers(100, 100, controlMs);
      const activeMs = controlMs + 6_000;
      assert.ok(!isControlBlock(activeMs));
      assert.equal(
        secondWithheld(state, LATE, controlMs),
        SECOND_WITHHELD.control,
      );
      for (let n = 0; n < 100; n++) {
        state = withSecondTime(state, 'a', 150, activeMs);
      }
      state = withSecondOutcome(state, SECOND_OUTCOME.won, activeMs);
      assert.ok(state.offUntilMs > activeMs);
    });
  });

  describe('at a target', () => {
    const candidate: PlacementCandidate = {
      id: 'a',
      rankName: 'a',
      isLocal: true,
      isPossiblyGone: false,
      health: UNKNOWN_HEALTH,
      inProgress: 2,
      waiting: 0,
      slots: 8,
      loads: 0,
      modelReadyMs: 0,
      limitWaitMs: 0,
    };
    const state = {entries: 2, isLimited: false};

    // Failure: a second attempt went to a target that is full, avoided, limited or leaving.
    it('are sent only if it has room, is sound and states no limit', () => {
      assert.ok(maySendSecond(candidate, state, 0));
      const avoided = afterSilence(UNKNOWN_HEALTH, 0);
      const others: ReadonlyArray<Partial<PlacementCandidate>> = [
        {inProgress: 3},
        {isPossiblyGone: true},
        {health: avoided},
      ];
      for (const changed of others) {
        assert.ok(!maySendSecond({...candidate, ...changed}, state, 0));
      }
      assert.ok(!maySendSecond(candidate, {...state, isLimited: true}, 0));
    });

    // Failure: a slow target whose answers were always cut off looked as fast as before.
    it('let the one that was slower count as at least that slow', () => {
      const known = afterSuccess(UNKNOWN_HEALTH, 100, 0);
      assert.ok(afterOutrun(known, 1_000, 0).latencyMs > 200);
      assert.equal(afterOutrun(known, 50, 0).latencyMs, 100);
      assert.equal(afterOutrun(known, 1_000, 0).failuresInRow, 0);
    });
  });

  describe('in a model of a service', () => {
    const usualMs = (random: () => number) => 100 * (0.8 + 0.4 * random());
    const isSlow = (random: () => number) => random() < 1 / 50;
    const service: Omit<SecondPlay, 'seed' | 'share'> = {
      durationMs: 60_000,
      requestsPerS: 80,
      targets: 6,
      slots: 8,
      runMs: ({random}) => usualMs(random) * (isSlow(random) ? 10 : 1),
    };
    const SEEDS = [1, 2, 3, 4, 5];

    // Failure: the slowest answers stayed, or the load grew by more than the share.
    it('cut the slowest answers where 1 in 50 is slow', () => {
      for (const seed of SEEDS) {
        const without = playSeconds({...service, seed, share: 0});
        const figures = playSeconds({...service, seed, share: 0.05});
        const name = `seed ${seed}: ${without.p99Ms} and ${figures.p99Ms} ms`;
        assert.ok(figures.p99Ms < 0.6 * without.p99Ms, name);
        assert.ok(figures.seconds <= 0.05 * figures.requests, name);
        const workOf = ({workMs, requests}: typeof figures) =>
          workMs / requests;
        assert.ok(workOf(figures) <= 1.05 * workOf(without), name);
      }
    });

    // Failure: second attempts at a full service caused more refusals.
    it('do no harm where the service is full', () => {
      const full = {
        ...service,
        durationMs: 20_000,
        requestsPerS: 450,
        queue: 4,
      };
      for (const seed of SEEDS) {
        const without = playSeconds({...full, seed, share: 0});
        const figures = playSeconds({...full, seed, share: 0.2});
        const name = `seed ${seed}: ${figures.seconds} second attempts`;
        assert.ok(without.refused > 0, name);
        assert.ok(figures.seconds <= 0.002 * figures.requests, name);
        const refusedShare = ({refused, requests}: typeof figures) =>
          refused / requests;
        assert.ok(refusedShare(figures) < refusedShare(without) + 0.02, name);
      }
    });

    // Failure: requests that are slow at each target were all run twice.
    it('are switched off where some requests are slow everywhere', () => {
      // The time depends on the request: the number of the run is not part of it.
      const large = {
        ...service,
        durationMs: 120_000,
        runMs: ({largeRequest}: {largeRequest: boolean}) =>
          largeRequest ? 1_000 : 100,
        largeShare: 1 / 30,
      };
      for (const seed of SEEDS.slice(0, 3)) {
        const figures = playSeconds({...large, seed, share: 0.05});
        const name = `seed ${seed}: ${figures.seconds} second attempts`;
        assert.ok(
          (figures.withheld.get(SECOND_WITHHELD.switchedOff) ?? 0) > 0,
          name,
        );
        assert.ok(figures.seconds < 0.015 * figures.requests, name);
      }
    });

    // Failure: a service that becomes slow as a whole got up to the share of additional load.
    it('are few where all targets become slow at once', () => {
      const runMs: SecondPlay['runMs'] = ({random, atMs}) =>
        usualMs(random) * (atMs > 30_000 ? 3 : 1);
      for (const seed of SEEDS) {
        const play = {...service, requestsPerS: 50, runMs, seed, share: 0.05};
        const figures = playSeconds(play);
        assert.ok(figures.seconds <= 0.01 * figures.requests, `seed ${seed}`);
      }
    });

    // Failure: a single slow target was not outrun, since its own times made it look usual.
    it('outrun one slow target within the share', () => {
      const runMs: SecondPlay['runMs'] = ({random, target}) =>
        usualMs(random) * (target === 0 ? 10 : 1);
      for (const seed of SEEDS) {
        const figures = playSeconds({...service, runMs, seed, share: 0.05});
        assert.ok(figures.won > 0.8 * figures.seconds, `seed ${seed}`);
        assert.ok(figures.seconds > 0.02 * figures.requests, `seed ${seed}`);
        assert.ok(figures.seconds <= 0.05 * figures.requests, `seed ${seed}`);
      }
    });
  });
});
