import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  MAX_ASKED_NODES,
  ORIGIN_OUTCOME,
  ORIGIN_STAGE,
  StreamOrigins,
  decideOrigin,
  isDecided,
  keeperOf,
  nodesToAsk,
  rankTargets,
  type KnownVersions,
  type OriginAnswer,
  type OriginStage,
} from '../src/index.js';

const {granted, begun} = ORIGIN_STAGE;
const {known, unknown, conflicting} = ORIGIN_OUTCOME;

function originsOf(maxRecords?: number): StreamOrigins {
  return new StreamOrigins({maxAgeMs: () => 1_000, maxRecords});
}

function answerOf(
  stage: OriginStage,
  softwareVersion: string,
  versions: KnownVersions = {kind: 'unsure'},
): OriginAnswer {
  return {origin: {softwareVersion, stage}, versions};
}

const only = (softwareVersion: string): OriginAnswer => ({
  versions: {kind: 'only', softwareVersion},
});
const several: OriginAnswer = {versions: {kind: 'several'}};
const unsure: OriginAnswer = {versions: {kind: 'unsure'}};

describe('the records of stream origins', () => {
  // Failure: the records of a day of load fill the memory.
  it('are bounded, and the oldest go first', () => {
    const origins = originsOf(3);
    for (const [n, stream] of ['a', 'b', 'c'].entries()) {
      origins.recordBegun(stream, 'v1', n);
    }
    origins.recordBegun('a', 'v1', 4);
    origins.recordGranted('d', 'v1', 5);
    assert.equal(origins.size, 3);
    assert.equal(origins.find('b', 5), undefined);
    assert.equal(origins.find('a', 5)?.atMs, 4);
  });

  it('hold 16,384 streams by default', () => {
    const origins = originsOf();
    for (let n = 0; n < 20_000; n++) origins.recordGranted(`${n}`, 'v1', 0);
    assert.equal(origins.size, 16_384);
  });

  // Failure: a stream is taken up by a record of another stream of long ago.
  it('expire after the maximum age, which may change', () => {
    let maxAgeMs = 1_000;
    const origins = new StreamOrigins({maxAgeMs: () => maxAgeMs});
    origins.recordBegun('a', 'v1', 0);
    origins.recordBegun('b', 'v1', 500);
    assert.equal(origins.find('a', 1_000)?.softwareVersion, 'v1');
    assert.equal(origins.find('a', 1_001), undefined);
    assert.equal(origins.size, 1);
    maxAgeMs = 400;
    assert.equal(origins.find('b', 1_001), undefined);
    assert.equal(origins.size, 0);
  });

  // Failure: the record of a stream that goes on for long expires before the stream ends.
  it('are held longer after another lease or event of the stream', () => {
    const origins = originsOf();
    origins.recordBegun('a', 'v1', 0);
    origins.recordGranted('a', 'v1', 900);
    assert.deepEqual(origins.find('a', 1_900), {
      softwareVersion: 'v1',
      stage: begun,
      atMs: 900,
    });
    origins.recordBegun('a', 'v1', 1_900);
    assert.equal(origins.find('a', 2_900)?.atMs, 1_900);
  });

  // Failure: an attempt at a second version hides where the stream began.
  it('keep the version that began the stream', () => {
    const origins = originsOf();
    origins.recordGranted('a', 'v1', 0);
    origins.recordBegun('a', 'v2', 1);
    origins.recordGranted('a', 'v1', 2);
    origins.recordBegun('a', 'v1', 3);
    origins.forgetGranted('a');
    assert.deepEqual(origins.find('a', 4), {
      softwareVersion: 'v2',
      stage: begun,
      atMs: 1,
    });
  });

  it('name the last version that was granted while none has begun', () => {
    const origins = originsOf();
    origins.recordGranted('a', 'v1', 0);
    origins.recordGranted('a', '', 1);
    assert.deepEqual(origins.find('a', 1), {
      softwareVersion: '',
      stage: granted,
      atMs: 1,
    });
    origins.forgetGranted('a', 'v1');
    assert.equal(origins.find('a', 1)?.softwareVersion, '');
    origins.forgetGranted('a');
    assert.equal(origins.find('a', 1), undefined);
    origins.forgetGranted('a');
  });

  // Failure: an entry dies after the first events, an attempt to take the stream up ends without an
  // event, and its release makes the node forget where the stream began.
  it('outlive a later lease that ends without an event', () => {
    const origins = originsOf();
    origins.recordGranted('a', 'v1', 0);
    origins.recordGranted('a', 'v1', 500);
    origins.forgetGranted('a');
    assert.equal(origins.find('a', 600)?.softwareVersion, 'v1');
  });
});

describe('the nodes of a stream', () => {
  const nodes = Array.from({length: 390}, (_, n) => `n${n}`);

  it('to be asked are eight, or all of fewer', () => {
    assert.equal(new Set(nodesToAsk('a', nodes)).size, MAX_ASKED_NODES);
    const few = nodes.slice(0, 6);
    assert.deepEqual([...nodesToAsk('a', few)].sort(), few);
    assert.deepEqual(nodesToAsk('a', []), []);
  });

  // Failure: the node beside the server keeps the only record, and is lost together with the server;
  // or the record is at a node that nobody asks.
  it('include the keeper, which is not the node beside the server', () => {
    for (let n = 0; n < 200; n++) {
      const stream = `stream${n}`;
      const asked = nodesToAsk(stream, nodes);
      for (const own of asked) {
        const keeper = keeperOf(stream, nodes, own);
        assert.notEqual(keeper, own);
        assert.ok(keeper !== undefined && asked.includes(keeper));
      }
    }
    assert.equal(keeperOf('a', ['n1'], 'n1'), undefined);
    assert.equal(keeperOf('a', [], 'n1'), undefined);
  });

  it('are the first of the rendezvous order', () => {
    for (const stream of ['a', 'b', 'c', 'd']) {
      const targets = nodes.map(name => ({name, weight: 1}));
      const ranked = rankTargets(stream, targets).map(({name}) => name);
      assert.deepEqual(nodesToAsk(stream, nodes), ranked.slice(0, 8));
      assert.equal(keeperOf(stream, nodes, ranked[1] ?? ''), ranked[0]);
      assert.equal(keeperOf(stream, nodes, ranked[0] ?? ''), ranked[1]);
    }
  });

  // Failure: one entry tells a node that another entry, with its nodes in another order, does not ask.
  it('do not depend on the order of the list', () => {
    const reversed = [...nodes].reverse();
    assert.deepEqual(nodesToAsk('a', nodes), nodesToAsk('a', reversed));
  });

  // Failure: the loss of one node loses the origins of a large part of the streams.
  it('share the streams evenly', () => {
    const counts = new Map<string | undefined, number>();
    for (let n = 0; n < 19_500; n++) {
      const keeper = keeperOf(`stream${n}`, nodes, 'n0');
      counts.set(keeper, (counts.get(keeper) ?? 0) + 1);
    }
    const largest = Math.max(...counts.values());
    assert.ok(largest < 90, `${largest} of 19,500 streams at one node`);
  });
});

describe('the decision on an origin', () => {
  const decisions: ReadonlyArray<
    readonly [string, readonly OriginAnswer[], ReturnType<typeof decideOrigin>]
  > = [
    ['no answer', [], {outcome: unknown}],
    ['answers that know nothing', [unsure, unsure], {outcome: unknown}],
    [
      'a begun record',
      [unsure, answerOf(begun, 'v1')],
      {outcome: known, softwareVersion: 'v1', stage: begun},
    ],
    [
      'two begun records of one version',
      [answerOf(begun, 'v1'), answerOf(begun, 'v1')],
      {outcome: known, softwareVersion: 'v1', stage: begun},
    ],
    [
      'begun records of two versions',
      [answerOf(begun, 'v1'), answerOf(begun, 'v2')],
      {outcome: conflicting},
    ],
    [
      'a begun record beside granted ones',
      [answerOf(granted, 'v2'), answerOf(begun, 'v1'), answerOf(granted, 'v3')],
      {outcome: known, softwareVersion: 'v1', stage: begun},
    ],
    [
      'a begun record without a version',
      [answerOf(begun, ''), only('v2')],
      {outcome: known, softwareVersion: '', stage: begun},
    ],
    [
      'granted records of one version',
      [answerOf(granted, 'v1'), answerOf(granted, 'v1'), several],
      {outcome: known, softwareVersion: 'v1', stage: granted},
    ],
    [
      'granted records of two versions',
      [answerOf(granted, 'v1'), answerOf(granted, 'v2')],
      {outcome: conflicting},
    ],
    [
      'a granted record beside another only version',
      [answerOf(granted, 'v1'), only('v2')],
      {outcome: known, softwareVersion: 'v1', stage: granted},
    ],
    [
      'one only version beside nodes that are unsure',
      [unsure, only('v1'), only('v1')],
      {outcome: known, softwareVersion: 'v1', stage: 'only'},
    ],
    [
      'an only version that is empty',
      [only('')],
      {outcome: known, softwareVersion: '', stage: 'only'},
    ],
    ['different only versions', [only('v1'), only('v2')], {outcome: unknown}],
    ['only and several', [only('v1'), several], {outcome: unknown}],
    ['several', [several, unsure], {outcome: unknown}],
  ];
  for (const [name, answers, decision] of decisions) {
    it(`with ${name}`, () => {
      assert.deepEqual(decideOrigin(answers), decision);
      assert.deepEqual(decideOrigin([...answers].reverse()), decision);
    });
  }

  it('needs no further answers after a begun record', () => {
    assert.equal(isDecided([unsure, answerOf(begun, 'v1')]), true);
    assert.equal(isDecided([answerOf(granted, 'v1'), only('v1')]), false);
    assert.equal(isDecided([]), false);
  });
});
