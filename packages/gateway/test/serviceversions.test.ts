import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {BehaviorSubject, Subject} from 'rxjs';
import {Ok} from 'ts-results-es';
import {
  REQUEST_KIND,
  type Clock,
  type RegisteredTarget,
  type Registry,
  type RouteTable,
} from '@balsamnotch/core';
import {createDirectory, type Directory} from '../src/node/directory.js';
import type {DirectorySource} from '../src/node/directorysource.js';
import {
  EMPTY_DIRECTORY,
  type DirectoryState,
} from '../src/node/directorystate.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {
  createServiceVersions,
  type ServiceVersions,
} from '../src/node/serviceversions.js';
import {QUIET_LOG, at, tableOf, waitUntil} from './support.js';

const WINDOW_MS = 12_000;

function target(
  id: string,
  softwareVersion: string,
  service = 's',
): RegisteredTarget {
  return {
    id,
    service,
    address: `10.0.0.1:${id.length}`,
    failureDomain: 'd1',
    softwareVersion,
    slots: 1,
    leaving: false,
    incarnationMs: 0,
    models: [],
  };
}

/** A table with a streaming route to the service `s`. */
function streamingTable(): RouteTable {
  const route = {
    name: 'r',
    host: 'h',
    prefix: '/',
    kind: REQUEST_KIND.streaming,
    timeoutMs: WINDOW_MS,
    latencyObjectiveMs: 1_000,
    gapObjectiveMs: 0,
    priority: 0,
    maxAttempts: 2,
    resumable: true,
    shares: [{service: 's', weight: 1}],
  };
  return {...tableOf(1), routes: [route]};
}

describe('the software versions of the services', () => {
  let nowMs: number;
  let confirmedAtMs: number | undefined;
  let state$: BehaviorSubject<DirectoryState>;
  let targetsConfirmed$: Subject<number>;
  let versions: ServiceVersions;

  const list = (...targets: RegisteredTarget[]) => {
    const registry: Registry = new Map(
      targets.map(listed => [listed.id, {target: listed, missingUntilMs: 0}]),
    );
    state$.next({...EMPTY_DIRECTORY, registry, table: streamingTable()});
  };
  const confirm = () => {
    confirmedAtMs = nowMs;
    targetsConfirmed$.next(nowMs);
  };
  /** Lets time pass in which the store confirms the list each second. */
  const follow = (ms: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1_000) {
      nowMs += 1_000;
      confirm();
    }
  };

  beforeEach(() => {
    nowMs = 1_000;
    confirmedAtMs = undefined;
    state$ = new BehaviorSubject(EMPTY_DIRECTORY);
    targetsConfirmed$ = new Subject();
    versions = createServiceVersions({
      clock: {monotonicMs: () => nowMs, wallMs: () => 0},
      directory: {
        state$,
        current: () => state$.value,
        targetsConfirmed$,
        targetsAgeMs: () =>
          confirmedAtMs === undefined ? Infinity : nowMs - confirmedAtMs,
      },
    });
  });
  afterEach(() => versions.close());

  it('are known once they have been followed for the longest time of a stream', () => {
    list(target('a', 'v1'));
    confirm();
    follow(WINDOW_MS - 1_000);
    assert.deepEqual(versions.known('s'), {kind: 'unsure'});
    follow(1_000);
    const only = {kind: 'only', softwareVersion: 'v1'};
    assert.deepEqual(versions.known('s'), only);
    assert.deepEqual(versions.known('other'), {kind: 'unsure'});
  });

  // Failure: the time with the list of a peer, which may be old, counts as followed.
  it('are not followed before the store has confirmed the list', () => {
    list(target('a', 'v1'));
    nowMs += WINDOW_MS;
    confirm();
    assert.deepEqual(versions.known('s'), {kind: 'unsure'});
  });

  // Failure: while the store does not answer, a new version may begin streams unseen.
  it('are unsure while the list is not confirmed, and for a window afterwards', () => {
    list(target('a', 'v1'));
    confirm();
    follow(WINDOW_MS);
    nowMs += 2_500;
    assert.deepEqual(versions.known('s'), {kind: 'unsure'});
    confirm();
    assert.deepEqual(versions.known('s'), {kind: 'unsure'});
    follow(WINDOW_MS);
    assert.equal(versions.known('s').kind, 'only');
  });

  it('include those of leaving servers, and of servers that have left', () => {
    list(target('a', 'v1'), {...target('b', 'v2'), leaving: true});
    confirm();
    follow(WINDOW_MS);
    assert.deepEqual(versions.known('s'), {kind: 'several'});
    list(target('a', 'v1'));
    follow(WINDOW_MS);
    assert.deepEqual(versions.known('s'), {kind: 'several'});
    follow(1_000);
    assert.equal(versions.known('s').kind, 'only');
  });

  it('are those of the service alone', () => {
    list(target('a', 'v1'), target('b', 'v2', 'other'));
    confirm();
    follow(WINDOW_MS);
    assert.equal(versions.known('s').kind, 'only');
  });

  it('notice a server that starts again under its id with another version', () => {
    list(target('a', 'v1'));
    confirm();
    follow(WINDOW_MS);
    list(target('a', 'v2'));
    assert.deepEqual(versions.known('s'), {kind: 'several'});
  });

  // Failure: a stream begins at a version that other entries do not know yet, and they take it up at the one before.
  it('are settled once every entry with a fresh list has seen them', () => {
    list(target('a', 'v1'));
    confirm();
    assert.equal(versions.isSettled('s', 'v1'), true);
    list(target('a', 'v1'), target('b', 'v2'));
    follow(2_000);
    assert.equal(versions.isSettled('s', 'v2'), false);
    follow(1_000);
    assert.equal(versions.isSettled('s', 'v2'), true);
  });

  it('are stated of the services with streams, as far as they are known', () => {
    list(target('a', 'v1'), target('b', 'v2', 'other'));
    confirm();
    assert.deepEqual(versions.statements(), []);
    follow(WINDOW_MS);
    nowMs += 300;
    const statement = {
      service: 's',
      hasSeveral: false,
      onlyVersion: 'v1',
      ageMs: 300,
      windowMs: WINDOW_MS - 300,
    };
    assert.deepEqual(versions.statements(), [statement]);
    list(target('a', 'v1'), target('c', 'v3'));
    const severalVersions = {hasSeveral: true, onlyVersion: ''};
    assert.deepEqual(versions.statements(), [
      {...statement, ...severalVersions},
    ]);
  });

  // Failure: the statement after an outage covers a window of negative length, which a message cannot carry.
  it('are stated with an age of at most the window', () => {
    list(target('a', 'v1'), target('c', 'v3'));
    confirm();
    nowMs += 5 * WINDOW_MS;
    assert.deepEqual(
      versions.statements().map(({ageMs, windowMs}) => [ageMs, windowMs]),
      [[WINDOW_MS, 0]],
    );
  });
});

describe('the age of the list of targets', () => {
  let nowMs: number;
  let directory: Directory;
  let confirmed: number[];
  /** Ends the open watch: no change within its wait. */
  let endWatch: (() => void) | undefined;

  const clock: Clock = {monotonicMs: () => nowMs, wallMs: () => 0};
  const open = (listsTargets: boolean) => {
    const position = at(1);
    const changes = [{kind: 'routes' as const, table: tableOf(1)}];
    const source: DirectorySource = {
      listsTargets,
      read: async () => Ok({changes, position}),
      watch: (_after, {waitMs}) =>
        new Promise(resolve => {
          endWatch = () =>
            resolve(Ok({changes: [], position, waitedMs: waitMs}));
        }),
    };
    directory = createDirectory({
      source,
      clock,
      log: QUIET_LOG,
      metrics: createGatewayMetrics(),
      timing: {
        minCallIntervalMs: 0,
        waitMs: 1_200,
        answerTimeoutMs: 360,
        initialRetryMs: 80,
        maxRetryMs: 600,
        minHintedCallIntervalMs: 0,
      },
    });
    directory.targetsConfirmed$.subscribe(asOfMs => confirmed.push(asOfMs));
  };

  beforeEach(() => {
    nowMs = 5_000;
    confirmed = [];
    endWatch = undefined;
  });
  afterEach(() => directory.close());

  // Failure: an open watch counts as a confirmation although its answer may be lost.
  it('grows while a watch waits, and ends with its answer', async () => {
    open(true);
    assert.equal(directory.targetsAgeMs(), Infinity);
    await waitUntil(() => endWatch !== undefined, 'no watch is opened');
    assert.equal(directory.targetsAgeMs(), 0);
    nowMs += 1_250;
    assert.equal(directory.targetsAgeMs(), 1_250);
    endWatch?.();
    await waitUntil(() => confirmed.length === 2, 'nothing is confirmed');
    // The store waited for 1,200 ms, so the answer may have taken 50 ms to arrive.
    assert.equal(directory.targetsAgeMs(), 50);
    assert.deepEqual(confirmed, [5_000, 6_200]);
  });

  // Failure: a node that reads the operator's changes alone takes a peer's list of targets for confirmed.
  it('is infinite for a source that does not list targets', async () => {
    open(false);
    await waitUntil(() => endWatch !== undefined, 'no watch is opened');
    assert.equal(directory.targetsAgeMs(), Infinity);
    assert.deepEqual(confirmed, []);
  });
});
