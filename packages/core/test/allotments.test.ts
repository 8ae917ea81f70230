import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  AccountTotals,
  EntryAllotments,
  NO_USE,
  TotalNodes,
  admittedFraction,
  allotmentAmount,
  decideAllotment,
  statementUrgency,
  withTolerance,
  withTotal,
  type AccountUse,
  type Allotment,
} from '@balsamnotch/core';
import fc from 'fast-check';
import {
  mostAdmitted,
  playAllotments,
  sumOf,
  type AllotmentPlay,
  type PlayedStep,
} from './allotmentmodel.js';
import {randomOf} from './random.js';

const seed = Number(process.env['BALSAMNOTCH_SEED'] ?? 1);
/** Plays of each load. */
const numRuns = Number(process.env['BALSAMNOTCH_RUNS'] ?? 12);

/** Allotment of the largest accounts of a deployment, in tokens. */
const RATE = 262_757;
const ALLOTMENT: Allotment = {
  unit: 'tokens',
  perSecond: RATE,
  burst: RATE,
  defaultTokens: 200,
};

/** Bound of that deployment on the tokens that run in 8 s. */
const WINDOW_MS = 8_000;
const WINDOW_BOUND = (RATE * 8 + RATE) * 1.25 + 110_000;

const END_MS = 14_000;

/** Bookings, chats and long digests, in the proportions of that deployment. */
function usualAmount(random: number): number {
  if (random < 0.35) return 200;
  return random < 0.985 ? 716 : 9_250;
}

/** Deployments with messages that are late and lost. */
const anyDeployment = fc.record({
  entries: fc.integer({min: 3, max: 43}),
  nodes: fc.integer({min: 3, max: 8}),
  lossShare: fc.double({min: 0, max: 0.1, noNaN: true}),
  maxDelayMs: fc.integer({min: 10, max: 60}),
  playSeed: fc.nat(),
});

type Deployment =
  typeof anyDeployment extends fc.Arbitrary<infer T> ? T : never;
type Parts = Pick<AllotmentPlay, 'loads'> & Partial<AllotmentPlay>;

/** Plays one account named `hot`. */
function playHot(
  {playSeed, ...deployment}: Deployment,
  play: Parts,
): readonly PlayedStep[] {
  const {steps} = playAllotments({
    ...deployment,
    durationMs: END_MS,
    amountOf: usualAmount,
    random: randomOf(playSeed),
    ...play,
  });
  return steps.get('hot') ?? [];
}

/** Loads of an account that comes to all entries alike; `timesRate` is its total. */
function evenLoad(
  entries: number,
  timesRate: (atMs: number) => number,
  allotment: (atMs: number) => Allotment = () => ALLOTMENT,
): AllotmentPlay['loads'] {
  return (_entry, atMs) => [
    {
      name: 'hot',
      allotment: allotment(atMs),
      perSecond: (timesRate(atMs) * RATE) / entries,
    },
  ];
}

function assertWithinBound(steps: readonly PlayedStep[]): void {
  const most = mostAdmitted(steps, WINDOW_MS);
  assert.ok(most <= WINDOW_BOUND, `${most / WINDOW_BOUND} of the bound`);
}

/** Asserts that from `fromMs` on, the account gets its rate and not more. */
function assertAtRate(
  steps: readonly PlayedStep[],
  fromMs: number,
  toMs = END_MS,
): void {
  const {admitted} = sumOf(steps, fromMs, toMs);
  const share = (admitted * 1_000) / (toMs - fromMs) / RATE;
  assert.ok(share > 0.8 && share < 1.2, `${share} of the rate`);
}

function refusedShare(
  steps: readonly PlayedStep[],
  fromMs: number,
  toMs = END_MS,
): number {
  const {asked, admitted} = sumOf(steps, fromMs, toMs);
  return 1 - admitted / asked;
}

/** Plays many deployments with a load. */
function forAny<T>(
  others: fc.Arbitrary<T>,
  check: (deployment: Deployment, other: T) => void,
): void {
  fc.assert(fc.property(anyDeployment, others, check), {seed, numRuns});
}

const nothing = fc.constant(undefined);

describe('the allotment of an account at all entries', () => {
  // Failure: requests below the limit got 429.
  it('refuses nothing while the account asks for four fifths of its rate', () => {
    forAny(nothing, deployment => {
      const steps = playHot(deployment, {
        loads: evenLoad(deployment.entries, () => 0.8),
      });
      const share = refusedShare(steps, 1_000);
      assert.ok(share < 0.002, `${share} were refused`);
    });
  });

  // Failure: an account at nine times its usual went over its limit at all entries together.
  it('grants the rate to one account at nine times its usual', () => {
    forAny(
      fc.double({min: 0.2, max: 0.8, noNaN: true}),
      (deployment, usual) => {
        const loads = evenLoad(
          deployment.entries,
          atMs => usual * (atMs < 4_000 ? 1 : 9),
        );
        const steps = playHot(deployment, {loads});
        assertWithinBound(steps);
        assertAtRate(steps, 7_000);
      },
    );
  });

  // Failure: an account was refused long after it asked for less again.
  it('refuses nothing from one and a half seconds after a surge on', () => {
    forAny(fc.double({min: 2, max: 7, noNaN: true}), (deployment, surge) => {
      const loads = evenLoad(deployment.entries, atMs =>
        atMs >= 2_000 && atMs < 9_000 ? surge : 0.7,
      );
      const steps = playHot(deployment, {loads});
      assertWithinBound(steps);
      const share = refusedShare(steps, 10_500);
      assert.ok(share < 0.02, `${share} were refused`);
    });
  });

  // Failure: an allotment without a burst was used up between two statements.
  it('refuses little below the rate of an allotment without a burst', () => {
    forAny(fc.boolean(), (deployment, isSpread) => {
      const {entries} = deployment;
      const allotment = {...ALLOTMENT, burst: 0};
      const perSecond = (isSpread ? 0.7 / entries : 0.7) * RATE;
      const steps = playHot(deployment, {
        amountOf: () => 200,
        loads: entry => [
          {
            name: 'hot',
            allotment,
            perSecond: isSpread || entry === 0 ? perSecond : 0,
          },
        ],
      });
      const share = refusedShare(steps, 1_000);
      assert.ok(share < 0.01, `${share} were refused`);
    });
  });

  // Failure: one account's surge changed what another one was granted.
  it('keeps two accounts apart that surge by turns', () => {
    forAny(fc.integer({min: 1_000, max: 3_000}), (deployment, turnMs) => {
      const {playSeed, entries, ...rest} = deployment;
      const isTurn = (atMs: number, turn: number) =>
        Math.floor(atMs / turnMs) % 2 === turn;
      const {steps} = playAllotments({
        ...rest,
        entries,
        durationMs: END_MS,
        amountOf: usualAmount,
        random: randomOf(playSeed),
        loads: (_entry, atMs) =>
          [0, 1].map(turn => ({
            name: `account-${turn}`,
            allotment: ALLOTMENT,
            perSecond: ((isTurn(atMs, turn) ? 5 : 0.1) * RATE) / entries,
          })),
      });
      for (const played of steps.values()) {
        assertWithinBound(played);
        const {admitted} = sumOf(played, 0, END_MS);
        // Half of the time at the rate, and what a turn leaves of the burst.
        assert.ok(admitted > (END_MS / 1_000) * RATE * 0.45, 'too little');
      }
    });
  });

  // Failure: an equal share for each entry refused an account whose callers came to one of them.
  it('grants the rate to an account whose callers all come to one entry', () => {
    forAny(fc.constantFrom(0.8, 3), (deployment, timesRate) => {
      const steps = playHot(deployment, {
        loads: entry => [
          {
            name: 'hot',
            allotment: ALLOTMENT,
            perSecond: entry === 0 ? timesRate * RATE : 0,
          },
        ],
      });
      assertWithinBound(steps);
      if (timesRate > 1) assertAtRate(steps, 2_000);
      else assert.ok(refusedShare(steps, 1_000) < 0.01);
    });
  });

  // Failure: each entry that callers moved to granted the rate anew, or refused them.
  it('follows callers that move from entry to entry', () => {
    const anyMove = fc.record({
      stayMs: fc.integer({min: 1_000, max: 3_000}),
      timesRate: fc.constantFrom(0.7, 3),
    });
    forAny(anyMove, (deployment, {stayMs, timesRate}) => {
      const steps = playHot(deployment, {
        loads: (entry, atMs) => {
          const place = Math.floor(atMs / stayMs) % deployment.entries;
          const perSecond = place === entry ? timesRate * RATE : 0;
          return [{name: 'hot', allotment: ALLOTMENT, perSecond}];
        },
      });
      assertWithinBound(steps);
      if (timesRate > 1) assertAtRate(steps, 2_000);
      else assert.ok(refusedShare(steps, 1_000) < 0.06);
    });
  });

  // Failure: each process that started granted a new burst.
  it('holds while entries and target nodes are killed and start again', () => {
    const anyKills = fc.record({
      herdAtMs: fc.integer({min: 2, max: 10}).map(s => s * 1_000),
      lifeMs: fc.integer({min: 40, max: 120}).map(n => n * 100),
    });
    forAny(anyKills, (deployment, {herdAtMs, lifeMs}) => {
      const steps = playHot(deployment, {
        loads: evenLoad(deployment.entries, () => 3),
        restartsEntry: (entry, atMs) =>
          atMs === herdAtMs ||
          (atMs > 0 && atMs % lifeMs === (entry * 300) % lifeMs),
        restartsNode: (node, atMs) =>
          atMs === herdAtMs || (atMs === 12_000 && node === 0),
      });
      assertWithinBound(steps);
      assertAtRate(steps, 4_000);
    });
  });

  // Failure: a limit that was lowered far below the use was passed for as long as before.
  it('holds a limit that is lowered to a tenth, within two seconds', () => {
    forAny(fc.double({min: 0.5, max: 3, noNaN: true}), (deployment, use) => {
      const lowered = {...ALLOTMENT, perSecond: RATE / 10, burst: RATE / 10};
      const loads = evenLoad(
        deployment.entries,
        () => use,
        atMs => (atMs < 4_000 ? ALLOTMENT : lowered),
      );
      const steps = playHot(deployment, {loads});
      const {admitted} = sumOf(steps, 6_000, END_MS);
      assert.ok(admitted < (RATE / 10) * 9 * 1.25 + 110_000);
      assert.ok(
        admitted > (RATE / 10) * 8 * 0.5,
        'hardly anything was granted',
      );
    });
  });

  // Failure: entries that reached no target node granted without a limit, or nothing.
  it('holds while entries are cut off from all target nodes', () => {
    const anyCut = fc.record({
      cutShare: fc.constantFrom(0.1, 0.4, 1),
      timesRate: fc.constantFrom(0.6, 3, 7),
    });
    forAny(anyCut, (deployment, {cutShare, timesRate}) => {
      const cut = Math.ceil(cutShare * deployment.entries);
      const steps = playHot(deployment, {
        loads: evenLoad(deployment.entries, () => timesRate),
        isCut: (entry, _node, atMs) => atMs >= 4_000 && entry < cut,
      });
      assertWithinBound(steps);
      const refused = refusedShare(steps, 5_000);
      // If all are cut off, they grant two fifths of the rate.
      const owed = timesRate > 1 ? 1 - 0.35 / timesRate : 0.1;
      assert.ok(refused < owed, `${refused} were refused`);
    });
  });

  // Failure: entries that had never reached a target node divided the limit by too few.
  it('gives each entry an equal share on a deployment without target nodes', () => {
    forAny(nothing, deployment => {
      const steps = playHot(deployment, {
        nodes: 0,
        loads: evenLoad(deployment.entries, () => 3),
      });
      assertWithinBound(steps);
      assertAtRate(steps, 3_000);
    });
  });

  // Failure: with 200 entries, a surge was found only after the bound was passed.
  it('holds with 200 entries', () => {
    const loads = evenLoad(200, atMs => (atMs < 4_000 ? 0.5 : 4.5));
    const steps = playHot(
      {entries: 200, nodes: 8, lossShare: 0.02, maxDelayMs: 30, playSeed: seed},
      {loads},
    );
    assertWithinBound(steps);
    assertAtRate(steps, 10_000);
  });

  // Failure: an account that surged for some seconds was refused half of what its window still held.
  it('holds with the burst that the tolerance adds, and grants that in a surge', () => {
    const tolerant = withTolerance(ALLOTMENT, {
      windowMs: WINDOW_MS,
      overShare: 0.25,
    });
    const surge = {fromMs: 5_000, toMs: 8_000} as const;
    const loadsOf = (entries: number, allotment: Allotment) =>
      evenLoad(
        entries,
        atMs => (atMs < surge.fromMs ? 0.4 : 2),
        () => allotment,
      );
    const admittedOf = (steps: readonly PlayedStep[]) =>
      sumOf(steps, surge.fromMs, surge.toMs).admitted;
    forAny(nothing, deployment => {
      const {entries} = deployment;
      const steps = playHot(deployment, {loads: loadsOf(entries, tolerant)});
      assertWithinBound(steps);
      const strict = playHot(deployment, {loads: loadsOf(entries, ALLOTMENT)});
      assert.ok(admittedOf(steps) > admittedOf(strict) + 0.3 * RATE);
    });
    forAny(nothing, deployment => {
      const loads = evenLoad(
        deployment.entries,
        atMs => (atMs < surge.fromMs ? 0.8 : 7.2),
        () => tolerant,
      );
      assertWithinBound(playHot(deployment, {loads}));
    });
  });

  // Failure: statements about a thousand accounts filled datagrams and took the processors.
  it('bounds the messages about a thousand small accounts beside a large one', () => {
    const entries = 8;
    const endMs = 8_000;
    const small = {...ALLOTMENT, perSecond: 4_000, burst: 4_000};
    const smallLoads = Array.from({length: 1_000}, (_, n) => ({
      name: `small-${n}`,
      allotment: small,
      perSecond: 1_000 / entries,
    }));
    const hot = {name: 'hot', allotment: ALLOTMENT};
    const loads = [...smallLoads, {...hot, perSecond: (3 * RATE) / entries}];
    const {steps, statements, largestStatement} = playAllotments({
      entries,
      nodes: 4,
      durationMs: endMs,
      amountOf: () => 500,
      random: randomOf(seed),
      loads: () => loads,
    });
    const perEntry = statements / entries / (endMs / 1_000);
    assert.ok(perEntry <= 10.5, `${perEntry} statements a second`);
    assert.ok(largestStatement <= 24);
    const played = steps.get('hot') ?? [];
    assertWithinBound(played);
    assertAtRate(played, 3_000, endMs);
    const others = [...steps]
      .filter(([name]) => name !== 'hot')
      .map(([, smallSteps]) => sumOf(smallSteps, 1_000, endMs));
    const asked = others.reduce((sum, other) => sum + other.asked, 0);
    const admitted = others.reduce((sum, other) => sum + other.admitted, 0);
    assert.ok(admitted > 0.99 * asked, `${1 - admitted / asked} were refused`);
  });
});

describe('a request of an account', () => {
  it('counts as its tokens, as the default, or as one', () => {
    const stated = {promptTokens: 646, outputTokens: 70};
    const none = {promptTokens: 0, outputTokens: 0};
    assert.equal(allotmentAmount(ALLOTMENT, stated), 716);
    assert.equal(allotmentAmount(ALLOTMENT, none), 200);
    assert.equal(allotmentAmount({...ALLOTMENT, unit: 'requests'}, stated), 1);
  });

  // Failure: the caller was told to come back at once, and was refused again.
  it('is refused with the time until the allotment holds it', () => {
    const total = {account: 1, level: -RATE, askedPerSecond: 4 * RATE};
    const state = withTotal(NO_USE, 'node', total, 0);
    const terms = {allotment: ALLOTMENT, entries: 43, nowMs: 100};
    const {isAdmitted, retryAfterMs} = decideAllotment(state, 716, terms, 0.9);
    assert.equal(isAdmitted, false);
    assert.ok(retryAfterMs > 3_900 && retryAfterMs < 4_200, `${retryAfterMs}`);
  });

  // Failure: requests larger than an entry's share of the burst were never admitted.
  it('is admitted without totals if it is larger than the reserve', () => {
    const terms = {allotment: ALLOTMENT, entries: 200, nowMs: 100};
    const first = decideAllotment(NO_USE, 9_250, terms, 0);
    assert.equal(first.isAdmitted, true);
    const second = decideAllotment(first.state, 9_250, terms, 0);
    assert.equal(second.isAdmitted, true);
    const third = decideAllotment(second.state, 9_250, terms, 0);
    assert.equal(third.isAdmitted, false);
    const later = {...terms, nowMs: terms.nowMs + third.retryAfterMs};
    assert.equal(
      decideAllotment(third.state, 9_250, later, 0).isAdmitted,
      true,
    );
  });

  it('is admitted whatever the draw while the account asks for less than its rate', () => {
    const known = {level: 0, askedPerSecond: 0.99 * RATE};
    assert.equal(admittedFraction(known, ALLOTMENT, 43), 1);
  });

  // Failure: an account that was refused did not come back to its rate until it asked for more.
  it('makes a statement due while the account is limited', () => {
    const total = {account: 1, level: 0, askedPerSecond: 4 * RATE};
    const terms = {allotment: ALLOTMENT, entries: 43, nowMs: 100};
    const state = withTotal(NO_USE, 'node', total, 0);
    const asked = decideAllotment(state, 1, terms, 0.9);
    assert.ok(statementUrgency(asked.state, terms) >= 1);
  });

  // Failure: what was never sent to a target counted against the account.
  it('gives its amount back if it was not sent', () => {
    const allotments = new EntryAllotments();
    const account = {name: 'hot', allotment: ALLOTMENT};
    const request = {amount: 700, entries: 43, nowMs: 0, draw: 0};
    allotments.decide(account, request);
    allotments.giveBack('hot', 700);
    const [use] = allotments.takeStatement(0);
    assert.equal(use?.asked, 700);
    assert.equal(use?.admitted, 0);
  });
});

describe('the target nodes that an entry states use to', () => {
  const reached = ['n1', 'n2', 'n3', 'n4'];

  // Failure: while both preferred nodes were gone and not yet known to be, no totals came.
  it('are others once the preferred ones are silent, and the same after an answer', () => {
    const nodes = new TotalNodes();
    for (const atMs of [0, 300, 600]) {
      assert.deepEqual(nodes.choose(reached, atMs), ['n1', 'n2']);
      for (const node of ['n1', 'n2']) nodes.recordStatement(node, atMs);
    }
    assert.deepEqual(nodes.choose(reached, 601), ['n3', 'n4']);
    nodes.recordAnswer('n2');
    assert.deepEqual(nodes.choose(reached, 700), ['n2', 'n3']);
    assert.deepEqual(nodes.choose(reached, 5_600), ['n1', 'n2']);
    assert.deepEqual(nodes.choose(['n4'], 5_700), ['n4']);
  });
});

describe('the totals of a target node', () => {
  const times = {intervalMs: 200, nowMs: 0};
  const useOf = (admitted: number): AccountUse => ({
    account: 5,
    asked: admitted,
    admitted,
    perSecond: 1_000,
    burst: 1_000,
  });

  // Failure: a statement that was lost, repeated or late changed the total for good.
  it('do not depend on lost, repeated and overtaken statements', () => {
    const amounts = fc.array(fc.nat(400), {minLength: 2, maxLength: 12});
    fc.assert(
      fc.property(amounts, fc.infiniteStream(fc.nat(9)), (added, draws) => {
        const totals = new AccountTotals();
        totals.record(1, useOf(0), times);
        let sum = 0;
        const cumulative = added.map(amount => (sum += amount));
        for (const amount of cumulative) {
          const draw = draws.next().value ?? 0;
          if (draw < 3) continue;
          totals.record(1, useOf(amount), times);
          if (draw > 7) totals.record(1, useOf(Math.max(0, amount - 9)), times);
        }
        const {level} = totals.record(1, useOf(sum), times);
        assert.equal(level, Math.max(-2_000, 250 - sum));
      }),
      {seed, numRuns: 300},
    );
  });

  // Failure: the first statement of an entry that had run for days used up the allotment.
  it('count nothing for the first statement of a process', () => {
    const totals = new AccountTotals();
    const {level} = totals.record(1, useOf(1e9), times);
    assert.equal(level, 250);
  });

  // Failure: accounts that were never heard of again took memory for good.
  it('are forgotten a minute after the last statement', () => {
    const totals = new AccountTotals();
    totals.record(1, useOf(1), times);
    totals.record(1, {...useOf(1), account: 6}, {...times, nowMs: 61_000});
    assert.equal(totals.size, 1);
  });
});
