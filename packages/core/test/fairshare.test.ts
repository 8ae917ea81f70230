import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ACCOUNT_ROOM,
  NO_SHARES,
  accountRoom,
  fairOrder,
  withGrantedRequest,
  type FairShares,
  type SharedRequest,
} from '../src/index.js';
import {randomOf} from './random.js';

/** A caller's account in a play. */
interface PlayedAccount {
  readonly name: string;
  /** Requests per second at a time of the play, in milliseconds. */
  readonly rateAt: (atMs: number) => number;
  readonly rank: number;
  readonly tokens: number;
}

interface Play {
  readonly accounts: readonly PlayedAccount[];
  /** Share of the requests that the engine has room for. */
  readonly capacity: number;
}

/** A request in the room of the engine. */
interface WaitingRequest extends SharedRequest {
  readonly isFirst: boolean;
}

/** What came of the requests of an account. */
interface Outcome {
  readonly name: string;
  readonly asked: number;
  readonly served: number;
}

const PLAY_MS = 20_000;
const STEP_MS = 10;
const SLOTS = 16;
const ROOM = 16;
const PATIENCE_MS = 800;

/**
 * Plays one engine: requests arrive at random, wait at most {@link PATIENCE_MS} in a room of
 * {@link ROOM}, and take one of {@link SLOTS} slots for a time in proportion to their tokens.
 */
function play({accounts, capacity}: Play, seed: number): readonly Outcome[] {
  const random = randomOf(seed);
  const tokensPerSecond = accounts.reduce((sum, {rateAt, tokens}) => {
    let asked = 0;
    for (let atMs = 0; atMs < PLAY_MS; atMs += 100) asked += rateAt(atMs);
    return sum + (tokens * asked * 100) / PLAY_MS;
  }, 0);
  const msPerToken = (SLOTS * 1_000) / (tokensPerSecond * capacity);
  const asked = new Map<string, number>();
  const served = new Map<string, number>();
  const count = (counts: Map<string, number>, name: string) =>
    counts.set(name, (counts.get(name) ?? 0) + 1);
  let shares: FairShares = NO_SHARES;
  let waiting: readonly WaitingRequest[] = [];
  let slotEnds: readonly number[] = [];
  for (let nowMs = 0; nowMs < PLAY_MS; nowMs += STEP_MS) {
    const oldestMs = nowMs - PATIENCE_MS;
    waiting = waiting.filter(({requestedAtMs}) => requestedAtMs > oldestMs);
    slotEnds = slotEnds.filter(endMs => endMs > nowMs);
    for (const {name, rateAt, rank, tokens} of accounts) {
      if (random() >= (rateAt(nowMs) * STEP_MS) / 1_000) continue;
      count(asked, name);
      const ofAccount = waiting.filter(({account}) => account === name).length;
      const first = waiting.filter(({isFirst}) => isFirst).length;
      const counts = {common: waiting.length - first, first, ofAccount};
      const room = accountRoom(counts, ROOM);
      const isFirst = room === ACCOUNT_ROOM.first;
      if (!isFirst && room !== ACCOUNT_ROOM.common) continue;
      const requestedAtMs = nowMs + random();
      waiting = [
        ...waiting,
        {account: name, rank, tokens, requestedAtMs, isFirst},
      ];
    }
    const free = SLOTS - slotEnds.length;
    for (const request of fairOrder(shares, waiting, free).slice(0, free)) {
      waiting = waiting.filter(other => other !== request);
      shares = withGrantedRequest(shares, request, waiting);
      slotEnds = [...slotEnds, nowMs + request.tokens * msPerToken];
      count(served, request.account);
    }
  }
  return accounts.map(({name}) => ({
    name,
    asked: asked.get(name) ?? 0,
    served: served.get(name) ?? 0,
  }));
}

/** Requests of an account below which chance decides more than the order does. */
const MIN_ASKED = 20;

function sumOf(outcomes: readonly Outcome[]): Outcome {
  return outcomes.reduce(
    (sum, {asked, served}) => ({
      ...sum,
      asked: sum.asked + asked,
      served: sum.served + served,
    }),
    {name: 'several', asked: 0, served: 0},
  );
}

/**
 * Returns the least share of its requests that an account got served, relative to that of all.
 * Those with few requests count as one.
 */
function leastShare(outcomes: readonly Outcome[]): number {
  const all = sumOf(outcomes);
  const small = sumOf(outcomes.filter(({asked}) => asked < MIN_ASKED));
  return [...outcomes, small]
    .filter(({asked}) => asked >= MIN_ASKED)
    .map(({asked, served}) => served / asked / (all.served / all.asked))
    .reduce((least, share) => Math.min(least, share));
}

/** Returns `count` accounts that ask for `rate` requests per second each. */
const steady = (count: number, rate: number): readonly PlayedAccount[] =>
  Array.from({length: count}, (_, n) => ({
    name: `a${n}`,
    rateAt: () => rate,
    rank: n % 2,
    tokens: 400,
  }));

/** Requests of an account whose usual rate is 4 per second. */
const large = (rateAt: (atMs: number) => number, rank = 0): PlayedAccount => ({
  name: 'large',
  rateAt,
  rank,
  tokens: 400,
});

const isIn = (atMs: number, periodMs: number, phase: number) =>
  Math.floor(atMs / periodMs) % 2 === phase;

const LOADS: Readonly<Record<string, readonly PlayedAccount[]>> = {
  'one account at nine times its usual': [
    ...steady(15, 4),
    large(atMs => (atMs > 5_000 ? 36 : 4)),
  ],
  'one account at nine times its usual, of the lowest rank': [
    ...steady(15, 4),
    large(atMs => (atMs > 5_000 ? 36 : 4), 3),
  ],
  'two accounts that alternate': [
    ...steady(4, 4),
    {...large(atMs => (isIn(atMs, 2_000, 0) ? 40 : 0)), name: 'even'},
    {...large(atMs => (isIn(atMs, 2_000, 1) ? 40 : 0)), name: 'odd'},
  ],
  'a thousand small accounts beside a large one': [
    ...steady(1_000, 0.08),
    large(() => 60, 1),
  ],
  'accounts that come and go': Array.from({length: 16}, (_, n) => ({
    name: `a${n}`,
    rateAt: (atMs: number) => (isIn(atMs + n * 700, 1_500, n % 2) ? 12 : 0),
    rank: n % 3,
    tokens: 400,
  })),
  'accounts with long and with short requests': steady(12, 5).map(
    (account, n) => ({...account, tokens: n % 3 === 0 ? 2_000 : 200}),
  ),
};

/** Plays of each load; together with the capacities, thousands. */
const SEEDS = 150;
const CAPACITIES = [0.25, 0.5, 0.8];

describe('fair room among accounts', () => {
  for (const [name, accounts] of Object.entries(LOADS)) {
    // Failure: an account is served less than a quarter as often as all together.
    it(`serves no account under a quarter of what all get: ${name}`, () => {
      const isMany = accounts.length > 100;
      const seeds = isMany ? 5 : SEEDS;
      for (const capacity of CAPACITIES) {
        let least = Infinity;
        for (let seed = 1; seed <= seeds; seed++) {
          const share = leastShare(play({accounts, capacity}, seed));
          least = Math.min(least, share);
        }
        assert.ok(least >= 0.25, `${least} at capacity ${capacity}`);
      }
    });
  }

  const requestOf = (account: string, atMs: number, rank = 0) => ({
    account,
    rank,
    tokens: 100,
    requestedAtMs: atMs,
  });
  /** Grants `count` requests and returns the accounts in the order of the grants. */
  const grant = (
    shares: FairShares,
    requests: readonly SharedRequest[],
    count: number,
  ): {shares: FairShares; order: string} => {
    let waiting = requests;
    let next = shares;
    let order = '';
    for (let n = 0; n < count; n++) {
      const [first] = fairOrder(next, waiting, 1);
      if (first === undefined) break;
      waiting = waiting.filter(request => request !== first);
      next = withGrantedRequest(next, first, waiting);
      order += first.account;
    }
    return {shares: next, order};
  };
  const queueOf = (account: string, count: number, fromMs = 0, rank = 0) =>
    Array.from({length: count}, (_, n) => requestOf(account, fromMs + n, rank));

  // Failure: an account that asked for much first is served until nothing of it is left.
  it('gives an account that comes later every other turn', () => {
    const {order} = grant(
      NO_SHARES,
      [...queueOf('a', 20), ...queueOf('b', 20, 100)],
      12,
    );
    assert.equal(order, 'abababababab');
  });

  // Failure: requests of low rank wait for as long as there are others.
  it('serves a lower rank in turns of arrival and of counters', () => {
    const {order} = grant(
      NO_SHARES,
      [...queueOf('a', 20, 100), ...queueOf('z', 20, 0, 5)],
      8,
    );
    assert.equal(order, 'zazazaza');
  });

  // Failure: an account that idled gets all the room until it has caught up.
  it('lets an account begin with the least counter of those that wait', () => {
    const {shares} = grant(NO_SHARES, queueOf('a', 100), 100);
    const {order} = grant(
      shares,
      [...queueOf('a', 20, 0), ...queueOf('b', 20, 100)],
      12,
    );
    assert.equal([...order].filter(name => name === 'a').length, 6, order);
  });

  // Failure: the memory of a node grows with each account that it has ever served.
  it('keeps the counters only of accounts above the least one', () => {
    let shares = NO_SHARES;
    for (let n = 0; n < 2_000; n++) {
      ({shares} = grant(shares, [requestOf(`a${n}`, n)], 1));
    }
    assert.ok(shares.counters.size <= 2, `${shares.counters.size} counters`);
  });

  it('orders each request once, whatever number is asked for', () => {
    const waiting = [...queueOf('a', 5), ...queueOf('b', 3), ...queueOf('', 2)];
    for (const count of [0, 1, 4, 10, Infinity]) {
      const ordered = fairOrder(NO_SHARES, waiting, count);
      assert.equal(ordered.length, waiting.length);
      assert.equal(new Set(ordered).size, waiting.length);
    }
  });

  describe('for waiting', () => {
    // Failure: one account fills the room, and the others are refused.
    it('is left by an account to others, and bounded', () => {
      const roomOf = (common: number, first: number, ofAccount: number) =>
        accountRoom({common, first, ofAccount}, 16);
      assert.equal(roomOf(15, 0, 15), ACCOUNT_ROOM.common);
      assert.equal(roomOf(16, 0, 16), ACCOUNT_ROOM.full);
      assert.equal(roomOf(9, 0, 8), ACCOUNT_ROOM.accountFull);
      assert.equal(roomOf(9, 0, 7), ACCOUNT_ROOM.common);
      assert.equal(roomOf(16, 0, 0), ACCOUNT_ROOM.first);
      assert.equal(roomOf(16, 0, 1), ACCOUNT_ROOM.full);
      assert.equal(roomOf(16, 8, 0), ACCOUNT_ROOM.full);
      assert.equal(roomOf(15, 8, 1), ACCOUNT_ROOM.common);
    });
  });
});
