import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {longestWaitMs, withSample, type LoopSamples} from '../src/index.js';

/** A turn of an event loop: it waits for input, reads its sockets, and does other work. */
const turn = fc.record({
  idleMs: fc.nat(200),
  readMs: fc.nat(300),
  workMs: fc.nat(300),
});

/** Load: an event loop with turns of any length, of which any number is sampled. */
describe('the longest time for which input waits in its socket', () => {
  // Failure: a late process did not count the time before it read a request, and granted the request a
  // whole time-out from then on (CONFIG).
  it('is never less than the actual one', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(turn, fc.boolean()), {minLength: 1}),
        turn,
        fc.nat(1_000),
        (turns, last, arrival) => {
          let nowMs = 0;
          let idleMs = 0;
          let samples: LoopSamples = [];
          /** Time from which on input has not been read by the end of the turn. */
          let unreadFromMs = 0;
          let isFirst = true;
          for (const [{readMs, workMs, ...waiting}, isSampled] of turns) {
            nowMs += waiting.idleMs;
            idleMs += waiting.idleMs;
            unreadFromMs = nowMs;
            nowMs += readMs;
            // A process samples its first turn as it starts.
            if (isSampled || isFirst) {
              samples = withSample(samples, {atMs: nowMs, idleMs});
            }
            isFirst = false;
            nowMs += workMs;
          }
          const waitingFromMs = nowMs;
          nowMs += last.idleMs;
          idleMs += last.idleMs;
          const readAtMs = nowMs + last.readMs;
          const arrivedAtMs = Math.min(nowMs, unreadFromMs + arrival);
          // Input that arrives while the process waits ends the wait.
          const endsWait = arrivedAtMs > waitingFromMs;
          const actualMs = readAtMs - (endsWait ? nowMs : arrivedAtMs);
          const now = {atMs: readAtMs, idleMs};
          const wasIdle = last.idleMs > 0 && !endsWait;
          // Input that had arrived before would have left no time to wait.
          if (wasIdle || samples.length < 2) return;
          assert.ok(longestWaitMs(samples, now) >= actualMs);
        },
      ),
    );
  });

  it('is none at a process that only waits', () => {
    const samples = [
      {atMs: 0, idleMs: 0},
      {atMs: 100, idleMs: 100},
    ];
    assert.equal(longestWaitMs(samples, {atMs: 900, idleMs: 900}), 0);
  });

  it('is that of the work of two turns at a process that has no time to wait', () => {
    let samples: LoopSamples = [];
    for (let n = 0; n < 50; n++) {
      samples = withSample(samples, {atMs: 80 * n, idleMs: 0});
    }
    assert.equal(longestWaitMs(samples, {atMs: 80 * 50, idleMs: 0}), 160);
  });
});
