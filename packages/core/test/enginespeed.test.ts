import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ADAPTER_STATE,
  UNKNOWN_HEALTH,
  rankEngines,
  type PlacementCandidate,
} from '../src/index.js';

/** Prompt tokens per millisecond of most engines, and of those that are four times slower. */
const SPEED = {usual: 40, slow: 10} as const;

/** Tokens of a short prompt and of one that is read in 230 ms at the usual speed. */
const PROMPT = {short: 650, long: 9_190} as const;

function engine(
  id: string,
  promptTokensPerMs: number,
  inProgress = 4,
): PlacementCandidate {
  return {
    id,
    rankName: id,
    isLocal: true,
    isPossiblyGone: false,
    health: UNKNOWN_HEALTH,
    inProgress,
    waiting: 0,
    slots: 24,
    loads: 0,
    modelReadyMs: 0,
    limitWaitMs: 0,
    promptTokensPerMs,
    adapter: ADAPTER_STATE.loaded,
  };
}

const firstOf = (
  candidates: readonly PlacementCandidate[],
  promptTokens: number,
) => rankEngines('m/a1', candidates, 0, {promptTokens})[0]?.id;

/** Load: engines of which some are four times slower than their peers, equally busy. */
describe('engines of different speeds', () => {
  const peers = ['b', 'c', 'd'].map(id => engine(id, SPEED.usual, 14));

  // Failure: long requests of a low rate went to the engines that many short ones left, slow or not,
  // and four of ten were late.
  it('gives a long prompt to a fast engine, although a slow one is less busy', () => {
    const slow = engine('a', SPEED.slow, 1);
    assert.notEqual(firstOf([slow, ...peers], PROMPT.long), 'a');
    assert.equal(firstOf([slow, ...peers], PROMPT.short), 'a');
  });

  // Failure: engines that were four times slower had twice the mean of requests in progress.
  it('counts the requests in progress at a slow engine as more work', () => {
    const equallyBusy = engine('a', SPEED.slow, 14);
    assert.notEqual(firstOf([equallyBusy, ...peers], PROMPT.short), 'a');
    const chosenAt = [2, 3, 5, 8, 12].filter(
      inProgress =>
        firstOf([engine('a', SPEED.slow, inProgress), ...peers], 0) === 'a',
    );
    assert.deepEqual(chosenAt, [2, 3]);
  });

  // Failure: a replaced or added engine, with the initial estimate, looked half as fast as its peers
  // and got no long requests.
  it('takes an engine of unknown speed for one of the median speed', () => {
    const added = engine('a', 0, 13);
    for (const tokens of [PROMPT.short, PROMPT.long]) {
      assert.equal(firstOf([added, ...peers], tokens), 'a');
    }
  });

  // Failure: without observations the order must not depend on the length of the prompt.
  it('ranks engines as without speeds while none is known', () => {
    const unknown = peers.map(peer => ({...peer, promptTokensPerMs: 0}));
    const order = (tokens: number) =>
      rankEngines('m/a1', unknown, 0, {promptTokens: tokens}).map(({id}) => id);
    assert.deepEqual(order(PROMPT.long), order(0));
  });
});
