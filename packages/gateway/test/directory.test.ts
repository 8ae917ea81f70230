import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Err, Ok, type Result} from 'ts-results-es';
import type {RegisteredTarget} from '@balsamnotch/core';
import {createDirectory, type Directory} from '../src/node/directory.js';
import type {
  DirectoryAnswer,
  DirectoryChange,
  DirectoryError,
} from '../src/node/directorysource.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {decodeChanges, encodeChanges} from '../src/node/peers.js';
import {QUIET_LOG, tableOf} from './support.js';

function target(id: string): RegisteredTarget {
  return {
    id,
    service: 's',
    address: `127.0.0.1:${id.charCodeAt(0)}`,
    failureDomain: 'd',
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

/** A source whose answers the test gives one by one. */
class ScriptedSource {
  readonly asked: Array<number | 'all'> = [];
  private readonly answers: Answer[] = [];
  private readonly waiting: Array<(answer: Answer) => void> = [];

  give(...answers: readonly Answer[]): void {
    for (const answer of answers) {
      const next = this.waiting.shift();
      if (next !== undefined) next(answer);
      else this.answers.push(answer);
    }
  }

  private next(): Promise<Answer> {
    const ready = this.answers.shift();
    if (ready !== undefined) return Promise.resolve(ready);
    return new Promise(resolve => this.waiting.push(resolve));
  }

  read(): Promise<Answer> {
    this.asked.push('all');
    return this.next();
  }

  watch(after: number): Promise<Answer> {
    this.asked.push(after);
    return this.next();
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
    source.give(unavailable);
  }
}

async function until(holds: () => boolean, what: string): Promise<void> {
  for (let n = 0; n < 400; n++) {
    if (holds()) return;
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  throw new Error(`timeout: ${what}`);
}

describe('directory', () => {
  it('never goes back to an earlier configuration, also over a whole read', () =>
    withDirectory({}, async (directory, source) => {
      source.give(Ok({changes: [routes(5)], revision: 10}));
      await until(() => directory.current().table?.version === 5, 'version 5');
      source.give(Err({kind: 'no_history', message: 'gone'}));
      source.give(Ok({changes: [routes(4), listed('later')], revision: 12}));
      await until(() => directory.current().registry.size === 1, 'later read');
      assert.equal(directory.current().table?.version, 5);
    }));

  it('keeps targets whose entries lapsed in an outage, and drops one that left without an outage', () =>
    withDirectory({}, async (directory, source, clock) => {
      const all = [routes(1), listed('a'), listed('b')];
      source.give(Ok({changes: all, revision: 1}));
      await until(() => directory.current().registry.size === 2, 'both');
      clock.ms = 100;
      source.give(
        Ok({changes: [{kind: 'target', id: 'b'}], revision: 2}),
        unavailable,
      );
      await until(() => directory.current().registry.size === 1, 'b has left');
      clock.ms = 5_000;
      source.give(Ok({changes: [{kind: 'target', id: 'a'}], revision: 3}));
      await until(
        () => (directory.current().registry.get('a')?.missingUntilMs ?? 0) > 0,
        'a is missing',
      );
      clock.ms = 20_000;
      await until(() => directory.current().registry.size === 0, 'a is gone');
    }));

  it('takes a later state from a peer while the source does not answer, and goes on from its revision', () => {
    const fromPeer = {changes: [routes(3), listed('a')], revision: 30};
    const askPeers = (after: number) =>
      Promise.resolve(after < 30 ? fromPeer : undefined);
    return withDirectory(
      {fetchPeerSnapshot: askPeers},
      async (directory, source) => {
        source.give(unavailable);
        await until(() => directory.current().table?.version === 3, 'adopted');
        assert.equal(directory.current().registry.has('a'), true);
        await until(() => source.asked.includes(30), 'watch goes on');
        assert.equal(directory.snapshot()?.revision, 30);
      },
    );
  });

  // A node that starts while the store is silent for it refused everything until its first call had failed.
  it('asks all peers at its start while the source does not answer yet', () => {
    const asked: boolean[] = [];
    const askPeers = (_after: number, isUrgent: boolean) => {
      asked.push(isUrgent);
      return Promise.resolve({
        changes: [routes(3), listed('a')],
        revision: 30,
      });
    };
    return withDirectory({fetchPeerSnapshot: askPeers}, async directory => {
      await until(() => directory.current().table?.version === 3, 'adopted');
      assert.deepEqual(asked, [true]);
    });
  });

  // A peer that is gone kept the node from asking the store for 0.6 s after each failed call.
  it('asks the source again while a peer has not answered', () => {
    const askPeers = () => new Promise<undefined>(() => undefined);
    return withDirectory(
      {fetchPeerSnapshot: askPeers},
      async (directory, source) => {
        source.give(unavailable, Ok({changes: [routes(2)], revision: 2}));
        await until(() => directory.current().table?.version === 2, 'adopted');
      },
    );
  });

  it('does not apply an answer of the source that is older than what a peer sent meanwhile', () => {
    const later = {changes: [routes(3), listed('a')], revision: 30};
    const askPeers = () => Promise.resolve(later);
    return withDirectory(
      {fetchPeerSnapshot: askPeers},
      async (directory, source) => {
        await until(() => directory.current().registry.size === 1, 'from peer');
        source.give(Ok({changes: [routes(2), listed('b')], revision: 20}));
        await until(() => source.asked.includes(30), 'watch goes on');
        assert.equal(directory.current().registry.has('b'), false);
      },
    );
  });

  // A node that had to read everything again took the state of a peer that was behind.
  it('does not go back to an older state of a peer after the history is gone', () => {
    const leaving: DirectoryChange = {
      kind: 'target',
      id: 'a',
      target: {...target('a'), leaving: true},
    };
    const older = {changes: [routes(1), listed('a')], revision: 8};
    let asked = 0;
    const askPeers = () => {
      asked += 1;
      return Promise.resolve(older);
    };
    return withDirectory(
      {fetchPeerSnapshot: askPeers},
      async (directory, source) => {
        source.give(Ok({changes: [routes(1), leaving], revision: 10}));
        await until(() => directory.current().registry.size === 1, 'a');
        source.give(Err({kind: 'no_history', message: 'gone'}), unavailable);
        await until(() => asked > 0, 'a peer is asked');
        await new Promise(resolve => setTimeout(resolve, 20));
        assert.equal(
          directory.current().registry.get('a')?.target.leaving,
          true,
        );
      },
    );
  });

  // A peer listed a lapsed target for good, since the removal came before the revision of the snapshot.
  it('does not list a lapsed target to a peer', () =>
    withDirectory({}, async (directory, source, clock) => {
      const all = [routes(1), listed('a'), listed('b')];
      source.give(Ok({changes: all, revision: 1}), unavailable);
      await until(() => directory.current().registry.size === 2, 'both');
      clock.ms = 5_000;
      source.give(Ok({changes: [{kind: 'target', id: 'a'}], revision: 3}));
      const isMissing = () =>
        (directory.current().registry.get('a')?.missingUntilMs ?? 0) > 0;
      await until(isMissing, 'a is missing');
      const targets = directory
        .snapshot()
        ?.changes.filter(({kind}) => kind === 'target');
      assert.deepEqual(targets, [listed('b')]);
    }));

  it('gives nothing to a peer before it knows a configuration (the peer would answer 404)', () =>
    withDirectory({}, async (directory, source) => {
      source.give(Ok({changes: [listed('a')], revision: 1}));
      await until(() => directory.current().registry.size === 1, 'a');
      assert.equal(directory.snapshot(), undefined);
    }));

  it('sends the whole state between peers', () => {
    const changes = [routes(7), listed('a')];
    assert.deepEqual(decodeChanges(encodeChanges(changes)), changes);
  });

  // During an upgrade a node could take a table whose fields mean something else.
  it('refuses the state of a peer with another format', () => {
    const text = encodeChanges([routes(7)]).replace('"format":1', '"format":2');
    assert.throws(() => decodeChanges(text), /format 2/);
    assert.throws(() => decodeChanges('[]'), /format undefined/);
  });
});
