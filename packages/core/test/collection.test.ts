import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  isCollectionDue,
  NO_COLLECTION,
  stateAfterCollection,
  type CollectionState,
} from '../src/index.js';

const MEMORY = 200;

describe('a process that collects garbage on its own', () => {
  // Guards against the cost of collections in calm.
  it('does so above about two thirds of the memory of its VM only', () => {
    assert.equal(isCollectionDue(NO_COLLECTION, 130, MEMORY, 0), false);
    assert.equal(isCollectionDue(NO_COLLECTION, 131, MEMORY, 0), true);
    assert.equal(isCollectionDue(NO_COLLECTION, 1e9, Infinity, 0), false);
  });

  // Load: a crowd that makes garbage at once after each collection.
  it('does so again after 60 ms while it frees memory', () => {
    const state = stateAfterCollection(NO_COLLECTION, 180, 120, 1_000);
    assert.equal(isCollectionDue(state, 132, MEMORY, 1_059), false);
    assert.equal(isCollectionDue(state, 132, MEMORY, 1_060), true);
  });

  // Load: large answers that nobody reads, which fill the rest of the VM within 60 ms.
  it('does so again at once when its memory has grown by a sixteenth of the VM', () => {
    const state = stateAfterCollection(NO_COLLECTION, 180, 140, 1_000);
    assert.equal(isCollectionDue(state, 152, MEMORY, 1_001), false);
    assert.equal(isCollectionDue(state, 153, MEMORY, 1_001), true);
  });

  // Guards against collections at each check of a process whose memory in use grows.
  it('does so a few times at most while memory in use grows to that of the VM', () => {
    let state: CollectionState = NO_COLLECTION;
    let collections = 0;
    for (let bytes = 100; bytes < MEMORY; bytes += 0.1) {
      if (!isCollectionDue(state, bytes, MEMORY, 1_000)) continue;
      collections += 1;
      state = stateAfterCollection(state, bytes, bytes, 1_000);
    }
    assert.ok(collections <= 7, `${collections} collections`);
  });

  // Load: a process whose resident memory is in use, which no collection lowers.
  it('does so ever more rarely while it frees little', () => {
    let state: CollectionState = NO_COLLECTION;
    let collections = 0;
    for (let nowMs = 0; nowMs < 600_000; nowMs += 50) {
      if (!isCollectionDue(state, 180, MEMORY, nowMs)) continue;
      collections += 1;
      state = stateAfterCollection(state, 180, 179, nowMs);
    }
    assert.ok(collections < 30, `${collections} collections in 10 minutes`);
  });
});
