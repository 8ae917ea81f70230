import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  accountOfKey,
  findAccountConflict,
  indexAccounts,
} from '../src/index.js';

const digestOf = (key: string) => `digest of ${key}`;

describe('client accounts', () => {
  const accounts = [
    {name: 'a', keys: ['k1', 'k2']},
    {name: 'b', keys: ['k3']},
    {name: 'none', keys: []},
  ];
  const index = indexAccounts(accounts, digestOf);

  // Load: each request brings one key. Failure: it counts for another account, or runs with a key
  // that no account holds.
  it('are found by each of their keys, and by no other text', () => {
    const nameOf = (key: string) => accountOfKey(index, key, digestOf)?.name;
    assert.equal(nameOf('k1'), 'a');
    assert.equal(nameOf('k2'), 'a');
    assert.equal(nameOf('k3'), 'b');
    for (const key of ['', 'k', 'k4', 'a', digestOf('k1'), '__proto__']) {
      assert.equal(nameOf(key), undefined, key);
    }
  });

  // Failure: a caller that sends no key is one of the account that lists an empty one.
  it('are not found by an empty key even if one lists it', () => {
    const withEmptyKey = indexAccounts([{name: 'a', keys: ['']}], digestOf);
    assert.equal(accountOfKey(withEmptyKey, '', digestOf), undefined);
  });

  // Failure: keys are kept in the index, from where a dump of the state shows them.
  it('are indexed by digests only', () => {
    assert.deepEqual([...index.keys()], ['k1', 'k2', 'k3'].map(digestOf));
  });

  describe('conflict', () => {
    it('if two hold one key, or have one name', () => {
      assert.equal(findAccountConflict(accounts), undefined);
      assert.deepEqual(
        findAccountConflict([...accounts, {name: 'c', keys: ['k4', 'k2']}]),
        {account: 3, earlierAccount: 0, key: 1},
      );
      assert.deepEqual(
        findAccountConflict([...accounts, {name: 'b', keys: []}]),
        {account: 3, earlierAccount: 1},
      );
    });

    it('not if one lists a key twice', () => {
      const twice = [{name: 'a', keys: ['k1', 'k1']}];
      assert.equal(findAccountConflict(twice), undefined);
    });
  });
});
