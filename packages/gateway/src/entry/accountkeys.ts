/** Accounts of callers by their keys, at one entry. */
import {createHmac, randomBytes} from 'node:crypto';
import {
  accountOfKey,
  indexAccounts,
  type AccountIndex,
  type ClientAccount,
} from '@balsamnotch/core';

/** Length of the secret of the process, in bytes: that of the digests. */
const SECRET_BYTES = 32;

/** Returns the account of a list that holds a key; undefined for an unknown or empty key. */
export type FindAccount = (
  accounts: readonly ClientAccount[],
  key: string,
) => ClientAccount | undefined;

/** Creates a lookup that computes the digests of the keys of each list once. */
export function createAccountLookup(): FindAccount {
  const secret = randomBytes(SECRET_BYTES);
  const digestOf = (key: string) =>
    createHmac('sha256', secret).update(key).digest('base64');
  const indexes = new WeakMap<readonly ClientAccount[], AccountIndex>();
  return (accounts, key) => {
    const index = indexes.get(accounts) ?? indexAccounts(accounts, digestOf);
    indexes.set(accounts, index);
    return accountOfKey(index, key, digestOf);
  };
}
