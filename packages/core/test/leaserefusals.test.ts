import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  INITIAL_QUESTIONS,
  MAX_QUESTIONS,
  NO_REFUSALS,
  REFUSAL_SCOPE,
  refusalOf,
  refusedUntilMs,
  withQuestion,
  withQuestioningRequest,
  withRefusal,
  withStatedRoom,
  withoutRefusalsOf,
  type LeaseRefusals,
  type QuestionBudget,
  type RefusableRequest,
  type RefusalScope,
} from '../src/index.js';

const REQUEST: RefusableRequest = {
  model: 'm',
  adapter: 'a',
  isHeld: false,
  rank: 1,
  objectiveMs: 600,
};

/** Returns the refusals after one of `request` that holds until the time 1,000. */
function refusedFor(
  scope: RefusalScope,
  request: RefusableRequest = REQUEST,
): LeaseRefusals {
  const refused = {scope, request, reason: 'r', untilMs: 1_000};
  return withRefusal(NO_REFUSALS, refused, 0);
}

/** Number of requests of an entry in the load below. */
const REQUESTS = 160;

/** Time between two requests of the entry, in milliseconds. */
const REQUEST_INTERVAL_MS = 60;

/**
 * Load: an entry with 16 requests a second, each for another adapter that no engine holds, and
 * `targets` engines that all refuse for the reason `scope` and expect room after `retryAfterMs`.
 * Returns the number of leases that the entry asks for.
 */
function questionsOf(
  targets: number,
  scope: RefusalScope,
  retryAfterMs: number,
): number {
  const refusals = new Array<LeaseRefusals>(targets).fill(NO_REFUSALS);
  let budget: QuestionBudget = INITIAL_QUESTIONS;
  let questions = 0;
  for (let n = 0; n < REQUESTS; n++) {
    const nowMs = n * REQUEST_INTERVAL_MS;
    const request = {...REQUEST, adapter: `a${n}`};
    budget = withQuestioningRequest(budget);
    for (let asked = 0; ; asked++) {
      const target = refusals.findIndex(
        known => refusalOf(known, request, nowMs) === undefined,
      );
      const next = target < 0 ? undefined : withQuestion(budget, asked);
      if (next === undefined) break;
      budget = next;
      questions += 1;
      const untilMs = refusedUntilMs(retryAfterMs, nowMs);
      refusals[target] = withRefusal(
        refusals[target] ?? NO_REFUSALS,
        {scope, request, reason: 'r', untilMs},
        nowMs,
      );
    }
  }
  return questions;
}

describe('questions of an entry for leases', () => {
  // Failure: each request asked all targets, one after another, although they had just refused the
  // request before, so that entries had no time left for anything else (CONFIG).
  it('are at most two a request however many targets refuse', () => {
    for (const targets of [5, 31, 46, 600]) {
      for (const scope of Object.values(REFUSAL_SCOPE)) {
        const questions = questionsOf(targets, scope, 300);
        const allowed = 2 * REQUESTS + INITIAL_QUESTIONS.saved;
        assert.ok(questions <= allowed, `${questions} at ${targets}, ${scope}`);
      }
    }
  });

  // A full queue for a second holds for all requests of that second.
  it('are at most those that the stated times allow', () => {
    const seconds = (REQUESTS * REQUEST_INTERVAL_MS) / 1_000;
    const questions = questionsOf(5, REFUSAL_SCOPE.absent, 1_000);
    assert.ok(questions <= 5 * (seconds + 1), `${questions}`);
  });

  it('are at most four for one request, and one without a saved one', () => {
    const ask = (budget: QuestionBudget) => {
      let asked = 0;
      for (let next: QuestionBudget | undefined = budget; ; asked++) {
        next = withQuestion(next, asked);
        if (next === undefined) return asked;
      }
    };
    assert.equal(ask(INITIAL_QUESTIONS), MAX_QUESTIONS);
    assert.equal(ask({saved: 0}), 1);
  });
});

describe('a refused lease', () => {
  const isRefused = (
    refusals: LeaseRefusals,
    request: Partial<RefusableRequest>,
    nowMs = 500,
  ) => refusalOf(refusals, {...REQUEST, ...request}, nowMs) !== undefined;

  // Failure: a request that the target has room for is refused because of another one.
  it('says nothing of requests that its reason does not hold for', () => {
    const {model, absent, held, adapter, all} = REFUSAL_SCOPE;
    const other = {model: 'm2', adapter: 'a2'};
    assert.equal(isRefused(refusedFor(model), other), false);
    assert.equal(isRefused(refusedFor(adapter), {adapter: 'a2'}), false);
    assert.equal(isRefused(refusedFor(absent), {isHeld: true}), false);
    assert.equal(isRefused(refusedFor(held), {isHeld: false}), false);
    assert.equal(isRefused(refusedFor(all), other), true);
    assert.equal(isRefused(refusedFor(model), {adapter: 'a2'}), true);
    assert.equal(isRefused(refusedFor(absent), {adapter: 'a2'}), true);
  });

  it('does not hold for requests that are served first or can wait longer', () => {
    const refusals = refusedFor(REFUSAL_SCOPE.absent);
    assert.equal(isRefused(refusals, {rank: 0}), false);
    assert.equal(isRefused(refusals, {objectiveMs: 1_000}), false);
    assert.equal(isRefused(refusals, {rank: 2, objectiveMs: 500}), true);
  });

  it('ends at the stated time, after a second at the latest', () => {
    assert.equal(isRefused(refusedFor(REFUSAL_SCOPE.all), {}, 1_000), false);
    fc.assert(
      fc.property(fc.nat(20_000), fc.nat(5_000), (retryAfterMs, nowMs) => {
        const heldMs = refusedUntilMs(retryAfterMs, nowMs) - nowMs;
        assert.ok(heldMs > 0 && heldMs <= 1_000);
      }),
    );
  });

  // Failure: targets that have room again get no requests.
  it('ends with a grant in its scope, and with a report that shows room', () => {
    const {model, absent} = REFUSAL_SCOPE;
    const granted = {...REQUEST, adapter: 'a2', rank: 1};
    const end = (scope: RefusalScope, hasModel: boolean, hasLoads: boolean) =>
      withStatedRoom(refusedFor(scope), {hasModel, hasLoads});
    assert.deepEqual(withoutRefusalsOf(refusedFor(absent), granted), []);
    assert.deepEqual(end(model, true, true), []);
    assert.deepEqual(end(absent, true, false), []);
    assert.equal(end(model, false, false).length, 1);
    assert.equal(end(absent, true, true).length, 1);
  });

  it('takes a bounded memory', () => {
    let refusals = NO_REFUSALS;
    for (let n = 0; n < 500; n++) {
      const request = {...REQUEST, adapter: `a${n}`};
      const scope = REFUSAL_SCOPE.adapter;
      const refused = {scope, request, reason: 'r', untilMs: 1_000};
      refusals = withRefusal(refusals, refused, 0);
    }
    assert.ok(refusals.length <= 16);
    assert.equal(isRefused(refusals, {adapter: 'a499'}), true);
  });

  // Failure: a full queue for the account that asks for most kept the requests of all others from
  // being asked for, although the node had room for them (Starved).
  it('hold for the requests of one account if they depend on its room', () => {
    const ofAccount = (account: string) => ({...REQUEST, account});
    for (const scope of [REFUSAL_SCOPE.absent, REFUSAL_SCOPE.held]) {
      const isHeld = scope === REFUSAL_SCOPE.held;
      const request = {...ofAccount('a'), isHeld};
      const refusals = refusedFor(scope, request);
      const isRefused = (account: string) =>
        refusalOf(refusals, {...ofAccount(account), isHeld}, 500) !== undefined;
      assert.deepEqual(['a', 'b', ''].map(isRefused), [true, false, false]);
      const both = withRefusal(
        refusals,
        {
          scope,
          request: {...request, account: 'b'},
          reason: 'r',
          untilMs: 1_000,
        },
        0,
      );
      assert.equal(both.length, 2);
    }
    const refusals = refusedFor(REFUSAL_SCOPE.model, ofAccount('a'));
    assert.ok(refusalOf(refusals, ofAccount('b'), 500) !== undefined);
  });
});
