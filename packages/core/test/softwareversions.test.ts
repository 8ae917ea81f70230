import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  MAX_LIST_AGE_MS,
  REQUEST_KIND,
  SETTLE_MS,
  VersionHistory,
  streamWindowMs,
  type KnownVersions,
  type RequestKind,
  type RouteTable,
} from '../src/index.js';

const WINDOW_MS = 10_000;

const only: KnownVersions = {kind: 'only', softwareVersion: 'v1'};
const several: KnownVersions = {kind: 'several'};
const unsure: KnownVersions = {kind: 'unsure'};

/** Records the versions of the service `s`. */
function list(
  history: VersionHistory,
  versions: readonly string[],
  nowMs: number,
): void {
  const services = new Map([['s', new Set(versions)]]);
  history.update(versions.length === 0 ? new Map() : services, nowMs);
}

function knownAt(
  history: VersionHistory,
  nowMs: number,
  listAgeMs = 0,
): KnownVersions {
  return history.known('s', {windowMs: WINDOW_MS, listAgeMs, nowMs});
}

describe('the history of software versions', () => {
  it('knows the only version after a whole window', () => {
    const history = new VersionHistory();
    list(history, ['v1'], 0);
    list(history, ['v1'], 5_000);
    assert.deepEqual(knownAt(history, WINDOW_MS), only);
  });

  // Failure: an entry that has just started takes a stream of an earlier version up at the present one.
  it('is unsure before it has followed the list for a window', () => {
    const history = new VersionHistory();
    assert.deepEqual(knownAt(history, 0), unsure);
    list(history, ['v1'], 100);
    assert.deepEqual(knownAt(history, WINDOW_MS + 99), unsure);
    assert.deepEqual(knownAt(history, WINDOW_MS + 100), only);
  });

  // Failure: an entry out of touch with the store does not see that a second version serves.
  it('is unsure while the list is stale', () => {
    const history = new VersionHistory();
    list(history, ['v1'], 0);
    assert.deepEqual(knownAt(history, 20_000, MAX_LIST_AGE_MS), only);
    assert.deepEqual(knownAt(history, 20_000, MAX_LIST_AGE_MS + 1), unsure);
  });

  // Failure: streams of a version whose last server has left are taken up at the next version.
  it('knows several versions until one has been gone for a window', () => {
    const history = new VersionHistory();
    list(history, ['v2'], 0);
    list(history, ['v1', 'v2'], 20_000);
    assert.deepEqual(knownAt(history, 20_000), several);
    list(history, ['v1'], 40_000);
    assert.deepEqual(knownAt(history, 40_000 + WINDOW_MS, 5_000), several);
    assert.deepEqual(knownAt(history, 40_001 + WINDOW_MS), only);
  });

  // Failure: a question about a short window makes the history forget a version that a later question needs.
  it('keeps the versions that a shorter window leaves out', () => {
    const history = new VersionHistory();
    list(history, ['v1', 'v2'], 0);
    list(history, ['v1'], 20_000);
    const nowMs = 25_000;
    assert.deepEqual(
      history.known('s', {windowMs: 2_000, listAgeMs: 0, nowMs}),
      only,
    );
    assert.deepEqual(knownAt(history, nowMs), several);
  });

  it('counts a version that left and came back as listed', () => {
    const history = new VersionHistory();
    list(history, ['v1', 'v2'], 0);
    list(history, ['v1'], 1_000);
    list(history, ['v1', 'v2'], 2_000);
    assert.deepEqual(knownAt(history, 60_000), several);
  });

  it('knows several versions although it has just started', () => {
    const history = new VersionHistory();
    list(history, ['v1', 'v2'], 0);
    assert.deepEqual(knownAt(history, 1), several);
  });

  it('keeps the only version for a window after all servers are gone', () => {
    const history = new VersionHistory();
    list(history, ['v1'], 0);
    list(history, [], 20_000);
    assert.deepEqual(knownAt(history, 20_000 + WINDOW_MS), only);
    assert.deepEqual(knownAt(history, 20_001 + WINDOW_MS), unsure);
  });

  it('is unsure of a service without servers', () => {
    const history = new VersionHistory();
    history.update(new Map([['t', new Set(['v1'])]]), 0);
    list(history, [], 100);
    assert.deepEqual(knownAt(history, 20_000), unsure);
  });

  // Failure: during a split a version came, began streams and left again, and the entry calls the
  // version before and after it the only one.
  it('starts anew after a pause between confirmations', () => {
    const history = new VersionHistory();
    list(history, ['v1'], 0);
    for (let nowMs = 0; nowMs <= 20_000; nowMs += MAX_LIST_AGE_MS) {
      history.confirm(nowMs);
    }
    assert.deepEqual(knownAt(history, 20_000), only);
    history.confirm(25_000);
    assert.deepEqual(knownAt(history, 25_000), unsure);
    for (let nowMs = 26_000; nowMs <= 35_000; nowMs += 1_000) {
      history.confirm(nowMs);
    }
    assert.deepEqual(knownAt(history, 35_000), only);
  });
});

describe('a new version', () => {
  // Failure: an entry begins a stream at a version that was listed at once, and dies; another entry,
  // whose list is two seconds old, takes the stream up at the version before as the only one.
  it('is settled when all fresh lists show it', () => {
    const history = new VersionHistory();
    list(history, ['v1'], 0);
    list(history, ['v1', 'v2'], 10_000);
    list(history, ['v1', 'v2'], 11_000);
    const isSettled = (version: string, nowMs: number) =>
      history.isSettled('s', version, nowMs);
    assert.equal(isSettled('v1', 0), true);
    assert.equal(isSettled('v2', 10_000 + MAX_LIST_AGE_MS), false);
    assert.equal(isSettled('v2', 10_000 + SETTLE_MS), true);
    assert.equal(isSettled('v3', 20_000), false);
    assert.ok(SETTLE_MS > MAX_LIST_AGE_MS);
    list(history, ['v1'], 30_000);
    list(history, ['v1', 'v2'], 60_000);
    assert.equal(isSettled('v2', 60_001), false);
  });
});

describe('the window of streams', () => {
  function tableOf(
    routes: ReadonlyArray<readonly [RequestKind, number]>,
  ): RouteTable {
    return {
      version: 1,
      routes: routes.map(([kind, timeoutMs], n) => ({
        name: `r${n}`,
        host: 'h',
        prefix: `/${n}/`,
        kind,
        timeoutMs,
        latencyObjectiveMs: 100,
        gapObjectiveMs: 0,
        priority: 0,
        maxAttempts: 1,
        resumable: false,
        shares: [],
      })),
      services: new Map(),
      limits: {
        maxHeaderBytes: 0,
        maxBodyBytes: 0,
        headerTimeoutMs: 0,
        idleTimeoutMs: 0,
      },
    };
  }

  it('is the longest timeout of the streaming routes', () => {
    const {safe, streaming} = REQUEST_KIND;
    const table = tableOf([
      [streaming, 12_000],
      [streaming, 30_000],
      [safe, 60_000],
    ]);
    assert.equal(streamWindowMs(table), 30_000);
  });

  it('is at least 10 s', () => {
    assert.equal(streamWindowMs(undefined), 10_000);
    const table = tableOf([[REQUEST_KIND.streaming, 2_000]]);
    assert.equal(streamWindowMs(table), 10_000);
  });
});
