import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {MAX_ASKED_NODES} from '../src/index.js';
import {playRelease} from './releasemodel.js';
import {
  LARGE_SITE,
  SMALL_SITE,
  emptyOutcome,
  type ModelFault,
  type ReleaseOutcome,
  type ReleasePlay,
} from './releasesite.js';

/** Two releases that overlap, with 2 in 100 messages lost. */
const TWO_RELEASES = {
  site: SMALL_SITE,
  releasesMs: [5_000, 14_000],
  releaseForMs: 12_000,
  endMs: 26_000,
  loss: 0.02,
};

/** Load: 1,300 streams a second at 390 entries and 600 servers, one release. */
const LARGE_RELEASE = {
  site: LARGE_SITE,
  releasesMs: [3_000],
  releaseForMs: 10_000,
  endMs: 12_000,
  loss: 0.02,
};

/** Asserts what holds for all processes, in touch or not. */
function assertKept(outcome: ReleaseOutcome): void {
  assert.deepEqual(outcome.mixes, []);
  assert.ok(outcome.mostTells <= 1, `${outcome.mostTells} messages`);
  assert.equal(outcome.calmTells, 0);
  assert.ok(outcome.mostQuestions <= MAX_ASKED_NODES);
}

/** Asserts that streams that are taken up go on at least half as often as new ones begin. */
function assertGoesOn(outcome: ReleaseOutcome, name: string): void {
  const {begun, started, takenUp, wentOn} = outcome;
  assert.ok(takenUp >= 12, `${name}: ${takenUp} streams were taken up`);
  assert.ok(
    wentOn / takenUp >= begun / started / 2,
    `${name}: ${wentOn} of ${takenUp} went on, ${begun} of ${started} began`,
  );
}

const share = (max: number) => fc.double({min: 0, max, noNaN: true});
const faultTime = fc.integer({min: 4_000, max: 20_000});

const anyFault: fc.Arbitrary<ModelFault> = fc.oneof(
  fc.record({
    kind: fc.constant('kill' as const),
    atMs: faultTime,
    entries: share(0.9),
    nodes: share(0.6),
    servers: share(0.6),
  }),
  fc.record({
    kind: fc.constant('split' as const),
    atMs: faultTime,
    forMs: fc.integer({min: 500, max: 9_000}),
    entries: share(0.7),
    nodes: share(0.7),
  }),
  fc.record({
    kind: fc.constant('roll' as const),
    atMs: faultTime,
    eachMs: fc.integer({min: 200, max: 1_500}),
  }),
);

describe('a stream in a release', () => {
  // Failure: a stream holds events of servers of two software versions.
  // Load: 112 streams a second at 10 entries and 6 nodes, up to five faults that overlap.
  it('goes on only at the version that began it, whatever is lost', () => {
    fc.assert(
      fc.property(
        fc.nat(),
        fc.array(anyFault, {maxLength: 5}),
        fc.integer({min: 500, max: 12_000}),
        fc.integer({min: 50, max: 500}),
        (seed, faults, releaseForMs, listLagMs) => {
          const play = {...TWO_RELEASES, seed, faults, releaseForMs, listLagMs};
          assertKept(playRelease(play));
        },
      ),
      {seed: 41, numRuns: 100},
    );
  });

  // Failure: during a short split an entry whose list is nearly two seconds old calls the version
  // before the release the only one (21 streams in 100 plays before versions had to settle).
  it('goes on at its version when a split hides the start of the release', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const faults: readonly ModelFault[] = [
        {atMs: 4_600, kind: 'split', forMs: 1_900, entries: 0.5, nodes: 0.2},
        {atMs: 6_000, kind: 'kill', entries: 0.5},
      ];
      const play: ReleasePlay = {...TWO_RELEASES, seed, faults, endMs: 12_000};
      assertKept(playRelease(play));
    }
  });

  // Failure: an attempt was sent to one version without an event, its release is lost, it begins at
  // another version, and a split leaves only the node of the first send in touch.
  it('goes on at its version when only the node of an earlier send answers', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const faults: readonly ModelFault[] = [
        {atMs: 10_000, kind: 'split', forMs: 8_000, entries: 0.5, nodes: 0.5},
        {atMs: 13_000, kind: 'kill', entries: 0.5},
        {atMs: 16_000, kind: 'kill', entries: 0.5},
      ];
      assertKept(playRelease({...TWO_RELEASES, seed, faults, endMs: 20_000}));
    }
  });

  // Failure: all servers are replaced before the new version has settled, streams begin at it because
  // no other serves, and an entry with an old list takes them up at a leaving server.
  describe('goes on at its version when all servers are replaced within 0.6 s', () => {
    const playSwaps = (options: Partial<ReleasePlay>) => {
      const faults: readonly ModelFault[] = [
        {atMs: 4_600, kind: 'split', forMs: 1_900, entries: 0.5, nodes: 0.2},
        {atMs: 6_000, kind: 'kill', entries: 0.5},
      ];
      const swap = {...TWO_RELEASES, releasesMs: [5_000], releaseForMs: 600};
      for (let seed = 1; seed <= 40; seed++) {
        const play = {...swap, seed, faults, endMs: 11_000, ...options};
        assertKept(playRelease(play));
      }
    };

    it('and streams begin at the new version at once', () => {
      playSwaps({});
    });

    it('and streams wait until it has settled', () => {
      playSwaps({beginsUnsettled: false});
    });
  });

  it('needs no message on a calm day, and one in a release', () => {
    const calm = playRelease({...TWO_RELEASES, seed: 1, releasesMs: []});
    assert.equal(calm.tells, 0);
    const outcome = playRelease({...TWO_RELEASES, seed: 1});
    assertKept(outcome);
    assert.ok(outcome.tells > 0.9 * outcome.begun);
  });

  // Failure: too few streams go on although servers of their version serve.
  describe('goes on at least half as often as new streams begin', () => {
    /** Plays the loss at a time of the release, and counts the streams from then on. */
    const playLoss = (
      release: Omit<ReleasePlay, 'seed'>,
      seed: number,
      atMs: number,
      lost: {entries: number; nodes?: number; servers?: number},
    ) => {
      const faults = [{atMs, kind: 'kill' as const, ...lost}];
      const outcome = playRelease({
        ...release,
        seed,
        faults,
        countFromMs: atMs,
      });
      assertKept(outcome);
      assertGoesOn(outcome, `seed ${seed} at ${atMs} ms`);
    };

    it('after the loss of 3 of 10 entries', () => {
      for (let seed = 1; seed <= 15; seed++) {
        for (const atMs of [5_010, 8_000, 12_000]) {
          playLoss(TWO_RELEASES, seed, atMs, {entries: 0.3});
        }
      }
    });

    it('after the loss of most entries at once', () => {
      for (let seed = 1; seed <= 15; seed++) {
        for (const atMs of [5_010, 8_000, 12_000]) {
          playLoss(TWO_RELEASES, seed, atMs, {entries: 0.8});
        }
      }
    });

    it('after the loss of a node, and of entries soon after it', () => {
      for (let seed = 1; seed <= 15; seed++) {
        const faults: readonly ModelFault[] = [
          {atMs: 9_000, kind: 'kill', nodes: 0.17},
          {atMs: 9_500, kind: 'kill', entries: 0.5},
        ];
        const countFromMs = 9_000;
        const play = {...TWO_RELEASES, seed, faults, countFromMs};
        const outcome = playRelease(play);
        assertKept(outcome);
        assertGoesOn(outcome, `seed ${seed}`);
      }
    });

    it('while all entries restart in turn', () => {
      for (let seed = 1; seed <= 15; seed++) {
        const faults = [{atMs: 5_000, kind: 'roll' as const, eachMs: 1_000}];
        const outcome = playRelease({...TWO_RELEASES, seed, faults});
        assertKept(outcome);
        assertGoesOn(outcome, `seed ${seed}`);
      }
    });

    it('after the loss of 60 in 100 of all entries and nodes, in each play', () => {
      for (let seed = 1; seed <= 15; seed++) {
        for (const atMs of [5_010, 8_000, 12_000]) {
          playLoss(TWO_RELEASES, seed, atMs, {entries: 0.6, nodes: 0.6});
        }
      }
    });

    it('after the loss of 60 in 100 of all entries and nodes, over 30 plays', () => {
      const sum = emptyOutcome();
      for (let seed = 1; seed <= 15; seed++) {
        for (const atMs of [8_000, 12_000]) {
          const kill = {kind: 'kill', entries: 0.6, nodes: 0.6} as const;
          const faults = [{...kill, atMs}];
          const play = {...TWO_RELEASES, seed, faults, countFromMs: atMs};
          const outcome = playRelease(play);
          sum.started += outcome.started;
          sum.begun += outcome.begun;
          sum.takenUp += outcome.takenUp;
          sum.wentOn += outcome.wentOn;
        }
      }
      assertGoesOn(sum, 'all plays');
    });

    for (const [name, release] of [
      ['a large site', LARGE_RELEASE],
      [
        'a large site whose streams begin beside the nodes that are asked',
        {...LARGE_RELEASE, beginsBeside: true},
      ],
    ] as const) {
      it(`after the loss of 60 in 100 of all processes of ${name}`, () => {
        const lost = {entries: 0.6, nodes: 0.6, servers: 0.6};
        playLoss(release, 1, 8_000, lost);
      });

      it(`after the loss of 3 of 10 entries of ${name} at the start`, () => {
        playLoss(release, 1, 3_010, {entries: 0.3});
      });
    }
  });

  // Load: 1,300 streams a second at 390 entries and 600 servers.
  it('goes on only at its version at a large site that is split', () => {
    const faults: readonly ModelFault[] = [
      {atMs: 4_000, kind: 'split', forMs: 5_000, entries: 0.5, nodes: 0.5},
      {atMs: 7_000, kind: 'kill', entries: 0.5},
      {atMs: 10_000, kind: 'roll', eachMs: 5},
    ];
    assertKept(playRelease({...LARGE_RELEASE, seed: 1, faults}));
  });
});
