import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  enqueue,
  nextWork,
  splitExpired,
  type WorkPriority,
  type QueuedWork,
} from '@balsamnotch/core';

const work = (priority: WorkPriority, deadlineMs = 100): QueuedWork => ({
  priority,
  deadlineMs,
});

describe('queue', () => {
  it('sheds batch work at half of the bound, interactive work at the bound and confirmations above it', () => {
    const queueOf = (length: number) =>
      Array.from({length}, () => work('interactive'));
    const isAccepted = (length: number, priority: WorkPriority) =>
      enqueue(queueOf(length), work(priority), 8).isOk();
    const priorities = ['batch', 'interactive', 'confirmation'] as const;
    const accepted = (length: number) =>
      priorities.filter(priority => isAccepted(length, priority));
    assert.deepEqual(accepted(3), ['batch', 'interactive', 'confirmation']);
    assert.deepEqual(accepted(4), ['interactive', 'confirmation']);
    assert.deepEqual(accepted(8), ['confirmation']);
    assert.deepEqual(accepted(10), []);
  });

  it('starts ready work by priority, then by arrival', () => {
    const [batch, first, second] = [
      work('batch'),
      work('interactive'),
      work('interactive'),
    ];
    const queue = [batch, first, second];
    assert.equal(
      nextWork(queue, () => true),
      first,
    );
    assert.equal(
      nextWork(queue, item => item !== first),
      second,
    );
    assert.equal(
      nextWork(queue, () => false),
      undefined,
    );
  });

  it('expires work only after its deadline has passed', () => {
    const queue = [work('batch', 10), work('batch', 11)];
    const {kept, expired} = splitExpired(queue, 11);
    assert.deepEqual([kept, expired], [[queue[1]], [queue[0]]]);
  });
});
