import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import type {Directory} from '../src/node/directory.js';
import type {DirectoryChange} from '../src/node/directorysource.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {createSnapshotFetcher, servePeers} from '../src/node/peers.js';
import {at, createDirectoryAt, QUIET_LOG, tableOf} from './support.js';

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `127.0.0.1:${port}`;
}

function directoryAt(
  version: number,
  position = at(version),
  adapters: readonly DirectoryChange[] = [],
): Directory {
  const routes = {kind: 'routes' as const, table: tableOf(version)};
  return createDirectoryAt(position, [routes, ...adapters]);
}

describe('snapshot requests to peers', () => {
  const directories = [directoryAt(3), directoryAt(7)];
  const addresses: string[] = [];
  const servers: Array<{close: () => Promise<void>}> = [];
  before(async () => {
    for (const directory of directories) {
      const address = await freeAddress();
      addresses.push(address);
      servers.push(
        await servePeers(address, directory, createGatewayMetrics()),
      );
    }
  });
  after(async () => {
    for (const server of servers) await server.close();
    for (const directory of directories) directory.close();
  });

  it('return the latest state when all peers are asked and one is unreachable', async () => {
    const unreachable = await freeAddress();
    const fetchSnapshot = createSnapshotFetcher(
      () => [unreachable, ...addresses],
      'n',
      QUIET_LOG,
    );
    const answer = await fetchSnapshot(at(0), true);
    assert.equal(answer?.position.revision, 7);
    assert.equal(answer.operatorPosition?.revision, 7);
  });

  // A node that always asked the same peer would learn nothing while that peer is unreachable.
  it('go to the peers in turn', async () => {
    const fetchSnapshot = createSnapshotFetcher(
      () => addresses,
      'n',
      QUIET_LOG,
    );
    const found = [
      await fetchSnapshot(at(0), false),
      await fetchSnapshot(at(0), false),
    ];
    assert.deepEqual(
      found.map(answer => answer?.position.revision).sort(),
      [3, 7],
    );
  });

  // A running process kept using the peers from its start after the settings had changed.
  it('go to the peers that are currently configured', async () => {
    let configured: readonly string[] = [];
    const fetchSnapshot = createSnapshotFetcher(
      () => configured,
      'n',
      QUIET_LOG,
    );
    assert.equal(await fetchSnapshot(at(0), false), undefined);
    configured = addresses;
    assert.equal((await fetchSnapshot(at(0), true))?.position.revision, 7);
  });

  // A starting node took the older routes of a peer that had seen the store return from a copy.
  it('return the latest position with the latest versions of all peers', async () => {
    const restored = directoryAt(5, at(2, 1));
    const address = await freeAddress();
    const server = await servePeers(address, restored, createGatewayMetrics());
    try {
      const fetchSnapshot = createSnapshotFetcher(
        () => [address, ...addresses],
        'n',
        QUIET_LOG,
      );
      const answer = await fetchSnapshot(at(0), true);
      assert.deepEqual(answer?.position, at(2, 1));
      assert.deepEqual(answer.operatorPosition, at(2, 1));
      const versions = answer.changes.flatMap(change =>
        change.kind === 'routes' ? [change.table.version] : [],
      );
      assert.deepEqual(versions.sort(), [3, 5, 7]);
    } finally {
      await server.close();
      restored.close();
    }
  });

  // Failure: the versions took more bytes than a message may have, so an entry that started while the
  // store was silent did not get the state of its peers.
  it('return a declared version for each of 150,000 adapters', async () => {
    const adapters = Array.from({length: 150_000}, (_, n) => ({
      kind: 'adapter' as const,
      model: 'model-0',
      adapter: `adapter-${n}`,
      version: 1,
    }));
    const directory = directoryAt(9, at(9), adapters);
    const address = await freeAddress();
    const server = await servePeers(address, directory, createGatewayMetrics());
    const fetchSnapshot = createSnapshotFetcher(
      () => [address],
      'n',
      QUIET_LOG,
    );
    const snapshot = await fetchSnapshot(at(0), true);
    assert.equal(snapshot?.changes.length, adapters.length + 1);
    assert.deepEqual(snapshot.changes.at(-1), adapters.at(-1));
    await server.close();
    directory.close();
  });
});
