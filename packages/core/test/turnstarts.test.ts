import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  INITIAL_STARTS,
  MAX_START_WAIT_MS,
  nextStarts,
  planStarts,
} from '../src/index.js';

/** Processor time of the parts of one request, in milliseconds. */
const COSTS = {read: 0.35, start: 0.9, connected: 0.2, end: 0.3, refuse: 0.15};

/** Time that a target takes for a request, in milliseconds. */
const SERVICE_MS = 20;

/** Time after which a caller leaves, in milliseconds. */
const PATIENCE_MS = 400;

const RUN_MS = 6_000;

interface ModelRequest {
  readonly arrivedAtMs: number;
  readonly readAtMs: number;
  readonly hasEnded: boolean;
}

/** Number of requests of a second that an entry with a share of a core serves if it gets no more. */
function capacity(share: number): number {
  const {read, start, connected, end} = COSTS;
  return (1_000 * share) / (read + start + connected + end);
}

/**
 * Load: requests at an even rate, each on a new connection, whose callers leave after
 * {@link PATIENCE_MS}. A turn reads all that arrived during the turn before, writes the requests
 * whose connections are open, ends those that targets have answered, and starts others as planned;
 * it takes the processor time of that divided by the share. Returns the answers in time per second.
 */
function play(rate: number, share: number, isBounded: boolean): number {
  let nowMs = 0;
  let arrivals = 0;
  let answered = 0;
  let limit = INITIAL_STARTS;
  let waiting: readonly ModelRequest[] = [];
  let opening: ModelRequest[] = [];
  let running: Array<{request: ModelRequest; endsAtMs: number}> = [];
  const isPresent = ({arrivedAtMs}: ModelRequest) =>
    nowMs - arrivedAtMs < PATIENCE_MS;
  while (nowMs < RUN_MS) {
    const startedAtMs = nowMs;
    let costMs = 0.05;
    const due = Math.floor((rate * nowMs) / 1_000);
    const read: ModelRequest[] = [];
    for (; arrivals < due; arrivals++) {
      const arrivedAtMs = (1_000 * arrivals) / rate;
      read.push({arrivedAtMs, readAtMs: nowMs, hasEnded: false});
      costMs += COSTS.read;
    }
    const ended = running.filter(({endsAtMs}) => endsAtMs <= nowMs);
    running = running.filter(({endsAtMs}) => endsAtMs > nowMs);
    costMs += COSTS.end * ended.length;
    for (const request of opening.filter(isPresent)) {
      running.push({request, endsAtMs: nowMs + SERVICE_MS});
      costMs += COSTS.connected;
    }
    const present = [...waiting, ...read].filter(isPresent);
    const plan = isBounded
      ? planStarts(present, limit, nowMs)
      : {started: present, refused: [], waiting: []};
    waiting = plan.waiting;
    opening = [...plan.started];
    costMs += COSTS.start * plan.started.length;
    costMs += COSTS.refuse * plan.refused.length;
    nowMs += Math.max(1, costMs / share);
    answered += ended.filter(({request}) => isPresent(request)).length;
    limit = nextStarts(limit, {
      turnMs: nowMs - startedAtMs,
      left: waiting.length,
    });
  }
  return (1_000 * answered) / RUN_MS;
}

describe('starts of requests in the turns of an event loop', () => {
  // Failure: each turn started all that had arrived, so above its rate an entry answered a
  // tenth of what it serves: turns grew until every caller had left.
  it('keep most answers in time above the rate that the entry serves', () => {
    for (const share of [0.17, 0.351, 1]) {
      const rate = 1.5 * capacity(share);
      const bounded = play(rate, share, true);
      assert.ok(play(rate, share, false) < 0.3 * capacity(share));
      assert.ok(
        bounded >= 0.7 * capacity(share),
        `${bounded} of ${capacity(share)} a second with a share of ${share}`,
      );
    }
  });

  it('are not held back below the rate that the entry serves', () => {
    for (const share of [0.17, 0.351, 1]) {
      const rate = 0.8 * capacity(share);
      assert.ok(play(rate, share, true) >= 0.95 * rate);
    }
  });

  const waitingRequests = fc
    .array(
      fc.record({
        readAtMs: fc.integer({min: 0, max: 1_000}),
        hasEnded: fc.boolean(),
      }),
      {maxLength: 200},
    )
    .map(requests => requests.sort((a, b) => a.readAtMs - b.readAtMs));

  // Failure: a request that is neither started nor answered.
  it('leave out no request, and refuse only those that have waited for too long', () => {
    fc.assert(
      fc.property(waitingRequests, fc.nat(64), (requests, limit) => {
        const {started, refused, waiting} = planStarts(requests, limit, 1_000);
        assert.deepEqual(
          new Set([...started, ...refused, ...waiting]),
          new Set(requests),
        );
        assert.equal(
          started.length + refused.length + waiting.length,
          requests.length,
        );
        assert.equal(started.length, Math.min(limit, requests.length));
        for (const {readAtMs} of refused) {
          assert.ok(1_000 - readAtMs > MAX_START_WAIT_MS);
        }
        for (const {readAtMs} of waiting) {
          assert.ok(1_000 - readAtMs <= MAX_START_WAIT_MS);
        }
      }),
    );
  });

  it('take the newest first, and those whose callers may have left last', () => {
    const requests = [
      {readAtMs: 1, hasEnded: false},
      {readAtMs: 2, hasEnded: true},
      {readAtMs: 3, hasEnded: false},
    ];
    const {started, waiting} = planStarts(requests, 2, 10);
    assert.deepEqual(
      started.map(({readAtMs}) => readAtMs),
      [3, 1],
    );
    assert.deepEqual(waiting, [{readAtMs: 2, hasEnded: true}]);
  });

  // Failure: one start a turn while other work took half a second of each, so nearly all were refused.
  it('go on in turns that are long because of other work', () => {
    let limit = INITIAL_STARTS;
    for (let n = 0; n < 20; n++) {
      limit = nextStarts(limit, {turnMs: 480, left: 10});
    }
    assert.equal(limit, 30);
  });

  it('recover from one long turn within a few turns', () => {
    let limit = nextStarts(INITIAL_STARTS, {turnMs: 2_000, left: 10});
    for (let n = 0; n < 20; n++) {
      limit = nextStarts(limit, {turnMs: 5, left: 1});
    }
    assert.ok(limit >= INITIAL_STARTS);
  });
});
