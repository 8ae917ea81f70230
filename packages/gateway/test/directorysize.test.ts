import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RegisteredTarget} from '@balsamnotch/core';
import type {Directory} from '../src/node/directory.js';
import type {DirectoryChange} from '../src/node/directorysource.js';
import {knownChangesOf} from '../src/node/directorystate.js';
import {at, createDirectoryAt, tableOf} from './support.js';

const ROUTES: DirectoryChange = {kind: 'routes', table: tableOf(1)};

function adapterChanges(
  count: number,
  version: number,
): readonly DirectoryChange[] {
  return Array.from({length: count}, (_, n) => ({
    kind: 'adapter',
    model: 'm0',
    adapter: `a${n}`,
    version,
  }));
}

function targetChanges(
  count: number,
  incarnationMs: number,
): readonly DirectoryChange[] {
  return Array.from({length: count}, (_, n) => {
    const target: RegisteredTarget = {
      id: `i-${n}`,
      service: 's',
      address: `127.0.${n >> 8}.${n & 255}:80`,
      failureDomain: 'd',
      softwareVersion: 'v1',
      slots: 1,
      leaving: false,
      incarnationMs,
      models: [],
    };
    return {kind: 'target', id: target.id, target};
  });
}

/** Starts a directory that has read the changes. */
async function startDirectory(
  changes: readonly DirectoryChange[],
): Promise<Directory> {
  const directory = createDirectoryAt(at(1), changes);
  await new Promise(setImmediate);
  return directory;
}

/** Returns the least processor time of a few runs, in milliseconds. */
async function processorMs(
  run: () => Promise<void> | void,
  runs = 3,
): Promise<number> {
  let least = Infinity;
  for (let n = 0; n < runs; n++) {
    const before = process.cpuUsage();
    await run();
    const {user, system} = process.cpuUsage(before);
    least = Math.min(least, (user + system) / 1_000);
  }
  return least;
}

/**
 * Asserts that four times as many changes take at most eight times the time. The quadratic
 * handling that this guards against takes sixteen times the time. `slackMs` covers collections
 * of garbage.
 */
async function assertProportional(
  count: number,
  run: (count: number) => Promise<void> | void,
  slackMs = 10,
): Promise<void> {
  await run(count);
  const smallMs = await processorMs(() => run(count));
  const largeMs = await processorMs(() => run(4 * count));
  assert.ok(
    largeMs <= 8 * smallMs + slackMs,
    `${count}: ${smallMs} ms, ${4 * count}: ${largeMs} ms`,
  );
}

describe('the time to handle changes grows in proportion to their number', () => {
  // Failure: the map of versions was copied for each declared version, so an entry answered
  // nothing for 36 s after its start with 16,000 of them.
  it('for adapter versions at the start', () =>
    assertProportional(1_000, async count => {
      const directory = await startDirectory([
        ROUTES,
        ...adapterChanges(count, 1),
      ]);
      assert.equal(directory.current().adapterVersions.size, count);
      directory.close();
    }));

  it('for adapter versions that another node hands over', async () => {
    const directory = await startDirectory([ROUTES]);
    let version = 0;
    await assertProportional(1_000, count => {
      version += 1;
      const changes = adapterChanges(count, version);
      directory.adoptOperatorChanges({changes, position: at(2)}, 'peer');
      assert.equal(directory.current().adapterVersions.get('m0/a0'), version);
    });
    directory.close();
  });

  // Failure: the list of targets was copied for each target.
  it('for targets at the start', () =>
    assertProportional(400, async count => {
      const directory = await startDirectory([
        ROUTES,
        ...targetChanges(count, 1),
      ]);
      assert.equal(directory.current().registry.size, count);
      directory.close();
    }));
});

describe('the digest of adapter versions', () => {
  // Failure: nodes with the same versions would ask each other for changes again and again.
  it('is the same whether they arrive together or one by one', async () => {
    const together = await startDirectory([ROUTES, ...adapterChanges(50, 2)]);
    const apart = await startDirectory([ROUTES, ...adapterChanges(50, 1)]);
    for (const change of adapterChanges(50, 2)) {
      apart.adoptOperatorChanges({changes: [change], position: at(1)}, 'peer');
    }
    assert.equal(
      knownChangesOf(apart.current()).digest,
      knownChangesOf(together.current()).digest,
    );
    together.close();
    apart.close();
  });
});
