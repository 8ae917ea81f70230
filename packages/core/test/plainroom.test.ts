import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {
  OPEN_ROOM,
  UNKNOWN_PACE,
  afterPacedAnswer,
  afterPlainAnswer,
  bestPaceMs,
  expectedPaceMs,
  sendProbability,
  withArrival,
  type Arrivals,
  type RankedRequest,
  type ServiceRoom,
} from '../src/index.js';
import {
  playPlainModel,
  type ModelOptions,
  type ModelResult,
} from './plainmodel.js';
import {
  sendsAll,
  sendsAllByPace,
  sendsShare,
  type EntryFactory,
} from './plainpolicies.js';

type Load = Pick<ModelOptions, 'rate' | 'hotShare' | 'speeds'>;

const EQUAL = [1, 1, 1];

/** Requests per second that rise and fall by 15% in 11 s. */
function waves(perSecond: number): (atMs: number) => number {
  return atMs => perSecond * (1 + 0.15 * Math.sin(atMs / 1_750));
}

const usual = {hotShare: () => 0.2};

/** An account at several times its rate for 6.5 s. */
function hotAccount(speeds: readonly number[]): Load {
  const isHot = (atMs: number) => atMs > 8_000 && atMs < 14_500;
  return {
    speeds,
    rate: atMs => waves(232)(atMs) * (isHot(atMs) ? 2.3 : 1),
    hotShare: atMs => (isHot(atMs) ? 0.65 : 0.2),
  };
}

/** Plays a load and returns the result, averaged over some seeds. */
function play(load: Load, create: EntryFactory, entries: number): ModelResult {
  const slots = 6;
  const objectiveMs = 199;
  const results = [1, 2, 3].map(seed =>
    playPlainModel({
      seed,
      entries,
      slots,
      queue: 24,
      workMs: 43,
      objectiveMs,
      deadlineMs: 1_030,
      lengthMs: 20_000,
      accounts: 16,
      ...load,
      createEntry: random =>
        create({servers: load.speeds.length, slots, objectiveMs, random}),
    }),
  );
  const mean = (valueOf: (result: ModelResult) => number) =>
    results.reduce((sum, result) => sum + valueOf(result), 0) / results.length;
  return {
    asked: mean(({asked}) => asked),
    inAim: mean(({inAim}) => inAim),
    late: mean(({late}) => late),
    unserved: mean(({unserved}) => unserved),
    worth: mean(({worth}) => worth),
    othersWorth: mean(({othersWorth}) => othersWorth),
    sends: mean(({sends}) => sends),
    refusedByServers: mean(({refusedByServers}) => refusedByServers),
    needlessRefusals: mean(({needlessRefusals}) => needlessRefusals),
    medianMs: mean(({medianMs}) => medianMs),
  };
}

function compare(test: TestContext, load: Load, entries = 43) {
  const compared = {
    before: play(load, sendsAll, entries),
    byPace: play(load, sendsAllByPace, entries),
    now: play(load, sendsShare, entries),
  };
  for (const [name, result] of Object.entries(compared)) {
    const figures = Object.entries(result)
      .filter(([key]) => key !== 'asked')
      .map(([key, value]: [string, number]) => `${key} ${value.toFixed(3)}`);
    test.diagnostic(`${name}: ${figures.join(', ')}`);
  }
  return compared;
}

describe('room at plain targets', () => {
  describe('in a model of servers of 6 slots', () => {
    it('is used fully where the servers are not short (requests would be refused or late for nothing)', test => {
      for (const perSecond of [60, 120, 232]) {
        const load = {...usual, speeds: EQUAL, rate: waves(perSecond)};
        const {before, now} = compare(test, load);
        assert.ok(now.worth > before.worth - 0.005);
        assert.ok(now.needlessRefusals < 0.001);
        assert.ok(now.medianMs < before.medianMs + 5);
      }
    });

    it('goes to requests that are still in time if more come than the servers hold (all would be late)', test => {
      for (const speeds of [EQUAL, [0.55, 1, 1.2], [0.25, 1, 1]]) {
        const load = {...usual, speeds, rate: waves(500)};
        const {before, now} = compare(test, load);
        assert.ok(now.worth > before.worth * 1.4);
        assert.ok(now.refusedByServers < before.refusedByServers / 4);
        assert.ok(now.sends < 1);
        assert.ok(now.needlessRefusals < 0.05);
      }
    });

    it('is found by few entries as by many (each would answer the same queue with larger changes)', test => {
      const load = {...usual, speeds: EQUAL, rate: waves(500)};
      const {before, now} = compare(test, load, 4);
      assert.ok(now.worth > before.worth * 1.4);
    });

    it('is found again after a server is lost (two servers would stay full of late requests)', test => {
      const load = {...usual, speeds: [1, 1], rate: waves(330)};
      const {before, now} = compare(test, load);
      assert.ok(now.worth > before.worth * 1.4);
    });

    it('is not taken by an account that asks for several times as much as usual (the others would be refused alike)', test => {
      for (const speeds of [EQUAL, [1, 1]]) {
        const {before, now} = compare(test, hotAccount(speeds));
        assert.ok(now.worth > before.worth + 0.03);
        assert.ok(now.othersWorth > before.othersWorth + 0.05);
      }
    });

    it('does not shrink for long where the work alone takes as long as the objective (slow servers would stand idle)', test => {
      const load = {...usual, speeds: [0.25, 0.25, 0.25], rate: waves(40)};
      const {before, now} = compare(test, load);
      assert.ok(now.worth > before.worth - 0.1);
    });
  });

  describe('of a service', () => {
    const answer = (latencyMs: number | undefined, bestMs: number) => ({
      latencyMs,
      bestMs,
      objectiveMs: 200,
    });
    const after = (count: number, latencyMs: number, from = OPEN_ROOM) =>
      Array.from({length: count}).reduce<ServiceRoom>(
        room =>
          afterPlainAnswer(room, answer(latencyMs, latencyMs), room.atMs + 200),
        from,
      );

    it('falls while answers take most of the objective, and is restored by short ones', () => {
      const crowded = after(30, 190, after(5, 40));
      assert.ok(crowded.sentShare < 0.5);
      assert.equal(after(20, 40, crowded).sentShare, 1);
    });

    it('falls with each refusal by a full target (it would be sent the next one at once)', () => {
      const full = answer(undefined, 120);
      const once = afterPlainAnswer(OPEN_ROOM, full, 0);
      const twice = afterPlainAnswer(once, full, 1_000);
      assert.ok(once.sentShare < 1);
      assert.ok(twice.sentShare < once.sentShare);
      assert.equal(afterPlainAnswer(once, full, 50), once);
    });

    it('does not fall for refusals of one target while another answers fast (the others would stand idle)', () => {
      const refused = answer(undefined, 40);
      assert.equal(afterPlainAnswer(OPEN_ROOM, refused, 0).sentShare, 1);
      const unknown = answer(undefined, 0);
      assert.ok(afterPlainAnswer(OPEN_ROOM, unknown, 0).sentShare < 1);
    });

    it('never closes (no answer would tell that there is room again)', () => {
      assert.ok(after(500, 400).sentShare > 0);
    });
  });

  describe('by value and account', () => {
    const request = (rank: number, account: string): RankedRequest => ({
      rank,
      account,
    });
    const arrivalsOf = (requests: readonly RankedRequest[]) =>
      requests.reduce<Arrivals>(withArrival, []);
    const cycle = (requests: readonly RankedRequest[], rounds: number) =>
      arrivalsOf(Array.from({length: rounds}).flatMap(() => requests));
    const room = (sentShare: number): ServiceRoom => ({
      ...OPEN_ROOM,
      sentShare,
    });

    it('sends all requests while nothing is short', () => {
      const arrivals = cycle([request(0, 'a'), request(3, 'b')], 20);
      assert.equal(sendProbability(room(1), arrivals, request(3, 'b')), 1);
    });

    it('refuses requests of a lower rank first (those in time would go with late ones)', () => {
      const arrivals = cycle([request(0, 'a'), request(1, 'a')], 20);
      assert.ok(sendProbability(room(0.6), arrivals, request(0, 'a')) > 0.99);
      assert.ok(sendProbability(room(0.6), arrivals, request(1, 'a')) < 0.3);
    });

    it('sends some of each rank (a kind of request would never be served)', () => {
      const arrivals = cycle([request(0, 'a'), request(1, 'a')], 20);
      assert.ok(sendProbability(room(0.2), arrivals, request(1, 'a')) > 0);
    });

    it('refuses those of the account that asks for most (small accounts would lose as much)', () => {
      const [hot, small] = [request(0, 'hot'), request(0, 'small')];
      const arrivals = cycle([hot, hot, hot, hot, small], 12);
      assert.ok(sendProbability(room(0.5), arrivals, small) > 0.99);
      assert.ok(sendProbability(room(0.5), arrivals, hot) < 0.5);
    });

    it('remembers few arrivals (many accounts would fill the memory)', () => {
      const many = Array.from({length: 5_000}, (_, n) => request(0, `a${n}`));
      assert.ok(arrivalsOf(many).length < 200);
    });
  });

  describe('at a target', () => {
    it('follows its last answers (a full queue would be seen seconds later)', () => {
      const slow = [300, 300, 300].reduce(
        (pace, latencyMs) => afterPacedAnswer(pace, latencyMs, 1_000),
        afterPacedAnswer(UNKNOWN_PACE, 50, 0),
      );
      assert.ok(expectedPaceMs(slow, 50, 1_000) > 200);
    });

    it('comes back to the others of its service while it is not used (a slow server would never get work again)', () => {
      const slow = afterPacedAnswer(UNKNOWN_PACE, 400, 0);
      const atMs = (ms: number) => expectedPaceMs(slow, 50, ms);
      assert.ok(atMs(1_500) < 250);
      assert.ok(atMs(10_000) < 60);
      assert.equal(expectedPaceMs(UNKNOWN_PACE, 50, 0), 50);
    });

    it('that no longer answers does not tell how fast its service is (the others would seem to have room)', () => {
      const gone = afterPacedAnswer(UNKNOWN_PACE, 45, 0);
      const full = afterPacedAnswer(UNKNOWN_PACE, 220, 5_000);
      assert.equal(bestPaceMs([gone, full], 5_000), 220);
      assert.equal(bestPaceMs([gone, UNKNOWN_PACE], 5_000), 45);
    });
  });
});
