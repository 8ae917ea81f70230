import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {createStartQueue, type StartQueue} from '../src/entry/startqueue.js';

/** Resolves after the turn of the event loop in progress. */
const turn = () => new Promise(resolve => setImmediate(resolve));

describe('requests that an entry has read', () => {
  const clock = {ms: 0};
  let queue: StartQueue;
  let started: string[];
  let refused: string[];

  beforeEach(() => {
    clock.ms = 1_000;
    started = [];
    refused = [];
    queue = createStartQueue({monotonicMs: () => clock.ms, wallMs: () => 0});
  });

  const add = (id: string, isPresent = () => true, hasEnded = () => false) =>
    queue.add({
      isCallerPresent: isPresent,
      hasCallerEnded: hasEnded,
      start: () => started.push(id),
      refuse: () => refused.push(id),
    });

  it('start in the turn in which they are read, the newest first', async () => {
    for (const id of ['a', 'b', 'c']) add(id);
    await turn();
    assert.deepEqual(started, ['c', 'b', 'a']);
  });

  // Failure: an entry that was late spent its share on requests whose callers had left.
  it('are dropped if their callers have left', async () => {
    add('left', () => false);
    add('present');
    await turn();
    assert.deepEqual([started, refused], [['present'], []]);
  });

  it('wait for the next turn, which reads the ends of connections, if a turn is late', async () => {
    add('a');
    await turn();
    clock.ms += 300;
    add('b');
    await turn();
    assert.deepEqual(started, ['a']);
    await turn();
    assert.deepEqual(started, ['a', 'b']);
  });

  // Failure: connections that are accepted in every turn held requests back without end.
  it('wait while connections are accepted, for 25 ms at most', async () => {
    add('a');
    await turn();
    add('b');
    for (let n = 0; n < 30 && started.length < 2; n++) {
      queue.recordConnection();
      await turn();
      clock.ms += 1;
    }
    assert.deepEqual(started, ['a', 'b']);
    assert.ok(clock.ms <= 1_000 + 27, `${clock.ms - 1_000} ms`);
  });

  // Failure: that connections waited for seconds to be accepted could not be told from any figure.
  it('state in how many turns in a row a connection was accepted', async () => {
    for (let n = 0; n < 7; n++) {
      queue.recordConnection();
      await turn();
    }
    await turn();
    await turn();
    queue.recordConnection();
    await turn();
    assert.equal(queue.status()['accepts_in_row_max'], 7);
    await turn();
    assert.ok(Number(queue.status()['accepts_in_row_max']) <= 1);
  });

  // Failure: more requests than can be started wait until their callers give up.
  it('are each started or refused, the refused after 150 ms', async () => {
    const ids = Array.from({length: 200}, (_, n) => `r${n}`);
    for (const id of ids) add(id);
    while (queue.status()['starts_waiting']! > 0) {
      await turn();
      clock.ms += 60;
    }
    await turn();
    assert.equal(new Set([...started, ...refused]).size, ids.length);
    assert.equal(started.length + refused.length, ids.length);
    assert.ok(refused.length > 0 && clock.ms < 1_000 + 400);
  });
});
