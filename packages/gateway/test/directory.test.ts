import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Err, Ok, type Result} from 'ts-results-es';
import type {RegisteredTarget, StorePosition} from '@balsamnotch/core';
import {createDirectory, type Directory} from '../src/node/directory.js';
import type {
  DirectoryAnswer,
  DirectoryChange,
  DirectoryError,
} from '../src/node/directorysource.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {decodeChanges, encodeChanges} from '../src/node/peers.js';
import {at, QUIET_LOG, tableOf, waitUntil} from './support.js';

function target(id: string): RegisteredTarget {
  return {
    id,
    service: 's',
    address: `127.0.0.1:${id.charCodeAt(0)}`,
    failureDomain: 'd',
    softwareVersion: 'v1',
    slots: 1,
    leaving: false,
    incarnationMs: 1,
    models: [],
  };
}

const listed = (id: string): DirectoryChange => ({
  kind: 'target',
  id,
  target: target(id),
});

const routes = (version: number): DirectoryChange => ({
  kind: 'routes',
  table: tableOf(version),
});

type Answer = Result<DirectoryAnswer, DirectoryError>;

const unavailable: Answer = Err({kind: 'unavailable', message: 'down'});

/** A source that returns answers from the test in order, and records its calls. */
class ScriptedSource {
  readonly calls: Array<number | 'all'> = [];
  private readonly answers: Answer[] = [];
  private readonly pendingCalls: Array<(answer: Answer) => void> = [];

  /** Number of next answers that raise an exception in place of the answer. */
  exceptions = 0;

  answerWith(...answers: readonly Answer[]): void {
    for (const answer of answers) {
      const next = this.pendingCalls.shift();
      if (next !== undefined) next(answer);
      else this.answers.push(answer);
    }
  }

  private nextAnswer(): Promise<Answer> {
    if (this.exceptions > 0) {
      this.exceptions -= 1;
      return Promise.reject(new Error('exception of a test'));
    }
    const ready = this.answers.shift();
    if (ready !== undefined) return Promise.resolve(ready);
    return new Promise(resolve => this.pendingCalls.push(resolve));
  }

  read(): Promise<Answer> {
    this.calls.push('all');
    return this.nextAnswer();
  }

  watch({revision}: StorePosition): Promise<Answer> {
    this.calls.push(revision);
    return this.nextAnswer();
  }
}

async function withDirectory(
  options: Partial<Parameters<typeof createDirectory>[0]>,
  check: (
    directory: Directory,
    source: ScriptedSource,
    clock: {ms: number},
  ) => Promise<void>,
): Promise<void> {
  const source = new ScriptedSource();
  const time = {ms: 0};
  const directory = createDirectory({
    source,
    clock: {monotonicMs: () => time.ms, wallMs: () => 0},
    log: QUIET_LOG,
    metrics: createGatewayMetrics(),
    random: () => 0,
    changeBoundMs: 20,
    ...options,
  });
  try {
    await check(directory, source, time);
  } finally {
    directory.close();
    source.answerWith(unavailable);
  }
}

describe('directory', () => {
  // A full read may return an older route table than the one in force.
  it('never returns to an earlier configuration, even after a full read', () =>
    withDirectory({}, async (directory, source) => {
      source.answerWith(Ok({changes: [routes(5)], position: at(10)}));
      await waitUntil(
        () => directory.current().table?.version === 5,
        'version 5',
      );
      source.answerWith(Err({kind: 'no_history', message: 'gone'}));
      source.answerWith(
        Ok({changes: [routes(4), listed('later')], position: at(12)}),
      );
      await waitUntil(
        () => directory.current().registry.size === 1,
        'full read applied',
      );
      assert.equal(directory.current().table?.version, 5);
    }));

  // Failure: an exception ended the loop that follows the source, so the node kept its state for good.
  it('goes on after an exception', () =>
    withDirectory({}, async (directory, source) => {
      source.exceptions = 2;
      source.answerWith(Ok({changes: [routes(1)], position: at(1)}));
      await waitUntil(
        () => directory.current().table?.version === 1,
        'the first read is repeated',
      );
      source.exceptions = 1;
      source.answerWith(unavailable);
      source.answerWith(Ok({changes: [routes(2)], position: at(2)}));
      await waitUntil(
        () => directory.current().table?.version === 2,
        'the source is read again',
      );
    }));

  // Entries of running targets can lapse during an outage of the store.
  it('keeps a target whose entry lapsed in an outage for a grace period, and drops one that left without an outage', () =>
    withDirectory({}, async (directory, source, clock) => {
      const all = [routes(1), listed('a'), listed('b')];
      source.answerWith(Ok({changes: all, position: at(1)}));
      await waitUntil(
        () => directory.current().registry.size === 2,
        'a and b are listed',
      );
      clock.ms = 100;
      source.answerWith(
        Ok({changes: [{kind: 'target', id: 'b'}], position: at(2)}),
        unavailable,
      );
      await waitUntil(
        () => directory.current().registry.size === 1,
        'b has left',
      );
      clock.ms = 5_000;
      source.answerWith(
        Ok({changes: [{kind: 'target', id: 'a'}], position: at(3)}),
      );
      await waitUntil(
        () => (directory.current().registry.get('a')?.missingUntilMs ?? 0) > 0,
        'a is missing',
      );
      clock.ms = 20_000;
      await waitUntil(
        () => directory.current().registry.size === 0,
        'a is gone',
      );
    }));

  it('adopts a later state from a peer while the source does not answer, and continues from its revision', () => {
    const fromPeer = {changes: [routes(3), listed('a')], position: at(30)};
    const fetchPeerSnapshot = ({revision}: StorePosition) =>
      Promise.resolve(revision < 30 ? fromPeer : undefined);
    return withDirectory({fetchPeerSnapshot}, async (directory, source) => {
      source.answerWith(unavailable);
      await waitUntil(
        () => directory.current().table?.version === 3,
        'the configuration is adopted',
      );
      assert.equal(directory.current().registry.has('a'), true);
      await waitUntil(
        () => source.calls.includes(30),
        'the node watches the store from revision 30',
      );
      assert.equal(directory.snapshot()?.position.revision, 30);
    });
  });

  // A node that started while the store did not answer refused every request
  // until its first call had failed.
  it('asks all peers at the start while the source has not answered', () => {
    const urgencies: boolean[] = [];
    const fetchPeerSnapshot = (_after: StorePosition, isUrgent: boolean) => {
      urgencies.push(isUrgent);
      return Promise.resolve({
        changes: [routes(3), listed('a')],
        position: at(30),
      });
    };
    return withDirectory({fetchPeerSnapshot}, async directory => {
      await waitUntil(
        () => directory.current().table?.version === 3,
        'the configuration is adopted',
      );
      assert.deepEqual(urgencies, [true]);
    });
  });

  // A peer that had left kept the node from calling the store for 0.6 s after each failed call.
  it('calls the source again while a peer has not answered', () => {
    const fetchPeerSnapshot = () => new Promise<undefined>(() => undefined);
    return withDirectory({fetchPeerSnapshot}, async (directory, source) => {
      source.answerWith(
        unavailable,
        Ok({changes: [routes(2)], position: at(2)}),
      );
      await waitUntil(
        () => directory.current().table?.version === 2,
        'the configuration is adopted',
      );
    });
  });

  it('ignores an answer of the source that is older than a state received from a peer in the meantime', () => {
    const later = {changes: [routes(3), listed('a')], position: at(30)};
    const fetchPeerSnapshot = () => Promise.resolve(later);
    return withDirectory({fetchPeerSnapshot}, async (directory, source) => {
      await waitUntil(
        () => directory.current().registry.size === 1,
        'the state of the peer is adopted',
      );
      source.answerWith(
        Ok({changes: [routes(2), listed('b')], position: at(20)}),
      );
      await waitUntil(
        () => source.calls.includes(30),
        'the node watches the store from revision 30',
      );
      assert.equal(directory.current().registry.has('b'), false);
    });
  });

  // A node that needed a full read adopted the state of a peer that was behind.
  it('does not adopt an older state from a peer after the source has lost its history', () => {
    const leaving: DirectoryChange = {
      kind: 'target',
      id: 'a',
      target: {...target('a'), leaving: true},
    };
    const older = {changes: [routes(1), listed('a')], position: at(8)};
    let requestCount = 0;
    const fetchPeerSnapshot = () => {
      requestCount += 1;
      return Promise.resolve(older);
    };
    return withDirectory({fetchPeerSnapshot}, async (directory, source) => {
      source.answerWith(Ok({changes: [routes(1), leaving], position: at(10)}));
      await waitUntil(
        () => directory.current().registry.size === 1,
        'a is listed',
      );
      source.answerWith(
        Err({kind: 'no_history', message: 'gone'}),
        unavailable,
      );
      await waitUntil(() => requestCount > 0, 'a peer is asked');
      await new Promise(resolve => setTimeout(resolve, 20));
      assert.equal(directory.current().registry.get('a')?.target.leaving, true);
    });
  });

  // A peer listed a lapsed target permanently, because its removal preceded the
  // revision of the snapshot.
  it('leaves a lapsed target out of the snapshot for a peer', () =>
    withDirectory({}, async (directory, source, clock) => {
      const all = [routes(1), listed('a'), listed('b')];
      source.answerWith(Ok({changes: all, position: at(1)}), unavailable);
      await waitUntil(
        () => directory.current().registry.size === 2,
        'a and b are listed',
      );
      clock.ms = 5_000;
      source.answerWith(
        Ok({changes: [{kind: 'target', id: 'a'}], position: at(3)}),
      );
      const isMissing = () =>
        (directory.current().registry.get('a')?.missingUntilMs ?? 0) > 0;
      await waitUntil(isMissing, 'a is missing');
      const targets = directory
        .snapshot()
        ?.changes.filter(({kind}) => kind === 'target');
      assert.deepEqual(targets, [listed('b')]);
    }));

  // A peer that adopted a snapshot without routes would answer 404.
  it('has no snapshot for a peer before it knows a configuration', () =>
    withDirectory({}, async (directory, source) => {
      source.answerWith(Ok({changes: [listed('a')], position: at(1)}));
      await waitUntil(
        () => directory.current().registry.size === 1,
        'a is listed',
      );
      assert.equal(directory.snapshot(), undefined);
    }));

  it('preserves all changes when they are encoded and decoded for a peer', () => {
    const changes = [routes(7), listed('a')];
    assert.deepEqual(decodeChanges(encodeChanges(changes)), changes);
  });

  // During an upgrade, a node could adopt a route table whose fields have another meaning.
  it('rejects the state of a peer in another format version', () => {
    const text = encodeChanges([routes(7)]).replace('"format":2', '"format":3');
    assert.throws(() => decodeChanges(text), /format 3/);
    assert.throws(() => decodeChanges('[]'), /format undefined/);
  });

  it('reads the state of a peer of the release before', () => {
    const adapter = {kind: 'adapter', model: 'm', adapter: 'a', version: 4};
    const text = JSON.stringify({format: 1, changes: [adapter]});
    assert.deepEqual(decodeChanges(text), [adapter]);
  });

  // Failure: the version of a target's software was undefined, which no type allows.
  it('reads a target of the release before as one without a software version', () => {
    const {softwareVersion, ...fields} = target('a');
    assert.notEqual(softwareVersion, '');
    const removed = {kind: 'target', id: 'b'};
    const changes = [{kind: 'target', id: 'a', target: fields}, removed];
    assert.deepEqual(decodeChanges(JSON.stringify({format: 2, changes})), [
      {kind: 'target', id: 'a', target: {...target('a'), softwareVersion: ''}},
      removed,
    ]);
  });
});
