import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {DirectoryChange} from '../src/node/directorysource.js';
import {CHANGE_SOURCE} from '../src/node/freshness.js';
import {decodeChanges, encodeChanges} from '../src/node/peers.js';
import {at, createDirectoryAt, tableOf} from './support.js';

describe('accounts of a route table from another node', () => {
  const accounts = [{name: 'a', keys: ['k1'], priority: 2}];
  const changesWith = (version: number): readonly DirectoryChange[] => [
    {kind: 'routes', table: {...tableOf(version), accounts}},
  ];
  /** Returns changes as a node of the release before passes them on. */
  const fromEarlierRelease = (
    changes: readonly DirectoryChange[],
  ): readonly DirectoryChange[] => {
    const document = JSON.parse(encodeChanges(changes)) as {
      knowsAccounts?: boolean;
      changes: Array<{table?: {accounts?: unknown}}>;
    };
    delete document.knowsAccounts;
    for (const {table} of document.changes) delete table?.accounts;
    return decodeChanges(JSON.stringify(document));
  };
  const adopt = async (offers: ReadonlyArray<readonly DirectoryChange[]>) => {
    const directory = createDirectoryAt(at(1), [
      {kind: 'routes', table: tableOf(1)},
    ]);
    await new Promise(resolve => setTimeout(resolve, 20));
    for (const changes of offers) {
      const position = at(2);
      directory.adoptOperatorChanges({changes, position}, CHANGE_SOURCE.peer);
    }
    const {table} = directory.current();
    directory.close();
    return table;
  };

  // Failure: an entry that the store turns away has no accounts, and runs requests without a key.
  it('arrive as they were published', async () => {
    const [change] = decodeChanges(encodeChanges(changesWith(2)));
    assert.deepEqual(change, changesWith(2)[0]);
    assert.deepEqual((await adopt([changesWith(2)]))?.accounts, accounts);
  });

  // Failure: during a change of release, a node took the table of a node that drops the accounts, and
  // kept it although others had the whole one.
  it('replace the same version of a node of the release before', async () => {
    const partial = fromEarlierRelease(changesWith(2));
    const whole = changesWith(2);
    assert.equal((await adopt([partial]))?.accounts, undefined);
    assert.deepEqual((await adopt([partial, whole]))?.accounts, accounts);
    assert.deepEqual((await adopt([whole, partial]))?.accounts, accounts);
  });

  // Failure: the message of an exception has a piece of the changes, which contain keys.
  it('are not part of the error on changes that are no JSON', () => {
    const text = encodeChanges(changesWith(2));
    for (const broken of [text.replace('"k1"', 'k1'), text.slice(0, -9)]) {
      assert.throws(
        () => decodeChanges(broken),
        (error: Error) => !error.message.includes('k1'),
      );
    }
  });
});
