import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import fc from 'fast-check';
import type {KnownVersions, OriginAnswer} from '@balsamnotch/core';
import {
  HoldRequestSchema,
  HoldResponseSchema,
  RequestEnd,
  type HoldRequest,
} from '@balsamnotch/wire';
import {ORIGIN_WAIT_MS} from '../src/entry/originquestions.js';
import type {EndedRequest} from '../src/entry/requestend.js';
import {
  ARRIVES,
  LOST,
  Pair,
  SERVICE,
  STEP_MS,
  STREAM,
  answerOf,
  ask,
  leaseRequest,
} from './nodepair.js';

const WINDOW_MS = 10_000;

const streamRequest = {
  ...leaseRequest,
  stream: STREAM,
  softwareVersion: 'v1',
};

const ANSWERED: EndedRequest = {
  end: RequestEnd.ANSWERED,
  firstByteMs: 42,
  brokenRequest: '',
};

/** The head of the answer came, but no event. */
const NO_EVENT: EndedRequest = {...ANSWERED, end: RequestEnd.UNKNOWN};

const unsure: KnownVersions = {kind: 'unsure'};
const UNKNOWN: OriginAnswer = {versions: unsure};
const begunAt = (softwareVersion: string): OriginAnswer => ({
  origin: {softwareVersion, stage: 'begun'},
  versions: unsure,
});
const GRANTED: OriginAnswer = {
  origin: {softwareVersion: 'v1', stage: 'granted'},
  versions: unsure,
};

function deliver(
  pair: Pair,
  message: MessageInitShape<typeof HoldRequestSchema>,
): void {
  const request: HoldRequest = create(HoldRequestSchema, {
    entry: 'entry',
    session: 7,
    ...message,
  });
  pair.entryLink.handleRequest(request, '10.0.0.1:7000');
}

function events(pair: Pair, event: string): Pair['lines'] {
  return pair.lines.filter(line => line.event === event);
}

describe('the origin of a stream', () => {
  let pair: Pair;

  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout', 'setInterval']});
    pair = new Pair();
  });
  afterEach(() => {
    pair.close();
    mock.timers.reset();
  });

  describe('of a lease', () => {
    it('is known as granted while the lease lasts', async () => {
      pair.link.acquire(streamRequest);
      await pair.advance(20);
      assert.deepEqual(await answerOf(pair), GRANTED);
    });

    it('is remembered after a release with a first event', async () => {
      const lease = pair.link.acquire(streamRequest);
      await pair.advance(20);
      lease.release(ANSWERED);
      await pair.advance(20);
      assert.deepEqual(await answerOf(pair), begunAt('v1'));
    });

    // Failure: the head of a refusal counts as an event, and the stream that then began elsewhere has two origins.
    it('is forgotten after a release without an event', async () => {
      const lease = pair.link.acquire(streamRequest);
      await pair.advance(20);
      lease.release(NO_EVENT);
      await pair.advance(20);
      assert.deepEqual(await answerOf(pair), UNKNOWN);
      assert.equal(pair.origins.size(), 0);
    });

    // Failure: a refused lease whose release is lost names a version that never ran the stream.
    it('is forgotten when the node refuses the lease', async () => {
      pair.close();
      pair = new Pair(() => false);
      pair.link.acquire(streamRequest);
      await pair.advance(20);
      assert.equal(pair.origins.size(), 1);
      pair.held.get(0)?.answer('adapter_not_in_time', 0);
      assert.equal(pair.origins.size(), 0);
    });

    // Failure: an entry that assumed the grant has begun a stream of which the node knows nothing.
    it('is remembered if the stream began in spite of a refusal', async () => {
      pair.close();
      pair = new Pair(() => false);
      const lease = pair.link.acquire(streamRequest);
      await pair.advance(20);
      pair.held.get(0)?.answer('adapter_not_in_time', 0);
      lease.release(ANSWERED);
      await pair.advance(20);
      assert.deepEqual(await answerOf(pair), begunAt('v1'));
    });

    // Failure: the release of the first attempt ends the record of the second, whose lease arrived before it.
    it('stays while another lease holds the stream', async () => {
      const first = pair.link.acquire(streamRequest);
      await pair.advance(20);
      pair.fates = [[40]];
      first.release(NO_EVENT);
      pair.link.acquire(streamRequest);
      await pair.advance(60);
      assert.deepEqual(await answerOf(pair), GRANTED);
    });

    // Failure: a refusal and the release that follows it count as two ends, of which one is another lease's.
    it('stays when another lease was refused and released', async () => {
      pair.close();
      pair = new Pair(() => false);
      pair.link.acquire(streamRequest);
      const refused = pair.link.acquire(streamRequest);
      await pair.advance(20);
      pair.held.get(1)?.answer('adapter_not_in_time', 0);
      refused.release();
      await pair.advance(20);
      assert.deepEqual(await answerOf(pair), GRANTED);
    });

    it('is recorded once from repeated datagrams', async () => {
      pair.fates = [[1, 10]];
      const lease = pair.link.acquire(streamRequest);
      await pair.advance(20);
      pair.fates = [[1, 10]];
      lease.release(NO_EVENT);
      await pair.advance(20);
      assert.equal(pair.origins.size(), 0);
    });

    // Failure: an entry that is killed takes the origins of its streams with it.
    it('outlives the session of its entry', async () => {
      pair.link.acquire(streamRequest);
      const lease = pair.link.acquire({...streamRequest, stream: 'stream-2'});
      await pair.advance(20);
      lease.release(ANSWERED);
      await pair.advance(20);
      pair.link.close();
      pair.entryLink.close();
      pair.entryLink = pair.openEntryLink(8);
      pair.link = pair.openLink(8);
      assert.deepEqual(await answerOf(pair), GRANTED);
      assert.deepEqual(await answerOf(pair, 'stream-2'), begunAt('v1'));
    });

    it('outlives a lease whose release is lost', async () => {
      const lease = pair.link.acquire({...streamRequest, holdMs: 800});
      await pair.advance(20);
      pair.fates = [LOST];
      lease.release(ANSWERED);
      await pair.advance(1_200);
      assert.equal(pair.held.size, 0);
      assert.deepEqual(await answerOf(pair), GRANTED);
    });

    it('is not recorded for a request that is no stream', async () => {
      pair.link.acquire(leaseRequest);
      await pair.advance(20);
      assert.equal(pair.origins.size(), 0);
    });
  });

  describe('at a node that was told', () => {
    it('is answered', async () => {
      pair.link.tellBegun(STREAM, 'v2');
      await pair.advance(20);
      assert.equal(pair.sent, 1);
      assert.deepEqual(await answerOf(pair), begunAt('v2'));
    });

    it('may be a server without a version', async () => {
      pair.link.tellBegun(STREAM, '');
      await pair.advance(20);
      assert.deepEqual(await answerOf(pair), begunAt(''));
    });

    // Failure: a second origin replaces the first, and nobody learns that the stream was mixed.
    it('stays the first one, and the log shows another', async () => {
      pair.link.tellBegun(STREAM, 'v1');
      pair.link.tellBegun(STREAM, 'v2');
      await pair.advance(20);
      assert.deepEqual(await answerOf(pair), begunAt('v1'));
      assert.deepEqual(events(pair, 'origin_conflict'), [
        {
          event: 'origin_conflict',
          stream: STREAM,
          version: 'v1',
          other_version: 'v2',
        },
      ]);
    });

    it('is forgotten after the longest time of a stream', async () => {
      pair.link.tellBegun(STREAM, 'v1');
      await pair.advance(20);
      await pair.advance(WINDOW_MS + 20);
      assert.deepEqual(await answerOf(pair), UNKNOWN);
    });
  });

  describe('in a question', () => {
    it('is logged with what the node knows', async () => {
      pair.link.tellBegun(STREAM, 'v1');
      await pair.advance(100);
      await answerOf(pair);
      await answerOf(pair, 'stream-2');
      assert.deepEqual(events(pair, 'origin_asked'), [
        {
          event: 'origin_asked',
          entry: 'entry',
          stream: STREAM,
          known: true,
          stage: 'begun',
          version: 'v1',
          age_ms: 100,
        },
        {
          event: 'origin_asked',
          entry: 'entry',
          stream: 'stream-2',
          known: false,
        },
      ]);
    });

    it('takes two messages', async () => {
      await answerOf(pair);
      assert.equal(pair.sent, 2);
    });

    it('is asked for once by two callers at the same time', async () => {
      const questions = [ask(pair), ask(pair)];
      await pair.advance(20);
      assert.ok(questions.every(({answer}) => answer !== undefined));
      assert.equal(pair.sent, 2);
    });

    it('is asked for again when the question or the answer is lost', async () => {
      pair.link.tellBegun(STREAM, 'v1');
      await pair.advance(20);
      for (const fates of [[LOST], [ARRIVES, LOST], [LOST, ARRIVES, LOST]]) {
        pair.fates = fates;
        assert.deepEqual(await answerOf(pair), begunAt('v1'));
      }
    });

    // Failure: an entry that was late gave up questions whose answers had arrived, so that streams that
    // were taken up could not go on.
    it('is answered although the entry reads the answer late', async () => {
      pair = new Pair();
      pair.link.tellBegun(STREAM, 'v1');
      await pair.advance(20);
      const question = ask(pair);
      for (let n = 0; n < 4 && !question.isEnded; n++) {
        await pair.advanceLate(300);
      }
      assert.equal(question.answer?.origin?.softwareVersion, 'v1');
    });

    it('has no answer when the node does not answer in time', async () => {
      pair.isCut = true;
      const question = ask(pair);
      await pair.advance(ORIGIN_WAIT_MS - STEP_MS);
      assert.equal(question.isEnded, false);
      await pair.advance(2 * STEP_MS);
      assert.deepEqual(question, {isEnded: true, answer: undefined});
    });

    it('has no answer at once when the node is lost', async () => {
      pair.isCut = true;
      pair.link.probe(400, 0);
      await pair.advance(600);
      assert.equal(pair.link.isLost(), true);
      const question = ask(pair);
      await pair.advance(STEP_MS);
      assert.equal(question.isEnded, true);
    });

    it('has no answer at once when the node stops or the link closes', async () => {
      pair.link.probe(400, 0);
      await pair.advance(20);
      pair.isCut = true;
      const stopped = ask(pair);
      pair.link.handleResponse(
        create(HoldResponseSchema, {stopping: true, session: 7}),
      );
      await pair.advance(STEP_MS);
      assert.equal(stopped.isEnded, true);
      pair.link = pair.openLink(7);
      const closed = ask(pair);
      pair.link.close();
      await pair.advance(STEP_MS);
      assert.equal(closed.isEnded, true);
    });

    // Failure: a node of the release before, which answers everything else, counts as lost.
    it('has no answer from a node of the release before', async () => {
      pair.rewrite = response => {
        response.streamAnswers = [];
        return response;
      };
      assert.equal(await answerOf(pair), undefined);
      await pair.advance(1_000);
      assert.equal(pair.link.isLost(), false);
    });

    // Failure: an answer that comes after its wait is taken for the answer to a later question.
    it('ends once, with the right answer or none, whatever is lost', async () => {
      const fate = fc.array(fc.integer({min: 1, max: 400}), {maxLength: 2});
      await fc.assert(
        fc.asyncProperty(fc.array(fate, {maxLength: 12}), async fates => {
          const tried = new Pair();
          tried.link.tellBegun('stream-0', 'v0');
          tried.link.tellBegun('stream-2', 'v2');
          await tried.advance(20);
          tried.fates = [...fates];
          for (const n of [0, 1, 2, 0]) {
            const question = ask(tried, `stream-${n}`);
            await tried.advance(ORIGIN_WAIT_MS + STEP_MS);
            assert.equal(question.isEnded, true);
            if (question.answer === undefined) continue;
            const version = question.answer.origin?.softwareVersion;
            assert.equal(version, n === 1 ? undefined : `v${n}`);
          }
          tried.close();
        }),
        {numRuns: 40},
      );
    });
  });

  describe('in messages of bad form', () => {
    const long = 'x'.repeat(1_000);

    // Failure: a sender fills the memory of the node with keys of any size, or with many.
    it('is not recorded, and the message is reported', () => {
      deliver(pair, {
        begunStreams: [
          {stream: '', softwareVersion: 'v1'},
          {stream: long, softwareVersion: 'v1'},
          {stream: STREAM, softwareVersion: long},
        ],
        askedStreams: [
          {stream: long, service: SERVICE},
          {stream: STREAM, service: long},
        ],
        serviceVersions: [{service: long, onlyVersion: 'v1', windowMs: 1}],
        acquire: [
          {...streamRequest, id: 1, stream: long},
          {...streamRequest, id: 2, softwareVersion: long},
        ],
      });
      assert.equal(pair.origins.size(), 0);
      assert.deepEqual(events(pair, 'origin_asked'), []);
      assert.deepEqual(
        events(pair, 'origin_message_invalid').map(({field, count}) => [
          field,
          count,
        ]),
        [
          ['service_versions', 1],
          ['begun_streams', 3],
          ['asked_streams', 2],
        ],
      );
    });

    it('does not hide the others of the same message', async () => {
      deliver(pair, {
        begunStreams: [
          {stream: '', softwareVersion: 'v1'},
          {stream: STREAM, softwareVersion: 'v1'},
        ],
      });
      assert.deepEqual(await answerOf(pair), begunAt('v1'));
    });

    it('takes a bounded memory, of which the latest records stay', async () => {
      for (let n = 0; n < 200; n++) pair.link.tellBegun(`stream-${n}`, 'v1');
      await pair.advance(20);
      assert.equal(pair.origins.size(), 50);
      assert.deepEqual(await answerOf(pair, 'stream-199'), begunAt('v1'));
      assert.deepEqual(await answerOf(pair, 'stream-0'), UNKNOWN);
    });

    it('in an answer that nobody asked for is ignored', async () => {
      pair.link.handleResponse(
        create(HoldResponseSchema, {
          session: 7,
          streamAnswers: [{stream: STREAM, hasOrigin: true}, {}],
        }),
      );
      assert.deepEqual(await answerOf(pair), UNKNOWN);
    });
  });
});
