/** Client accounts by the keys of their callers. */
import type {ClientAccount} from './routetable.js';

/**
 * Returns a digest of a key that only this process can compute. Accounts are looked up by it, so
 * that the time of a lookup tells nothing about the keys.
 */
export type KeyDigest = (key: string) => string;

/** Accounts by the digests of their keys. */
export type AccountIndex = ReadonlyMap<string, ClientAccount>;

/** Returns the accounts by the digests of their keys. */
export function indexAccounts(
  accounts: readonly ClientAccount[],
  digestOf: KeyDigest,
): AccountIndex {
  return new Map(
    accounts.flatMap(account =>
      account.keys.map(key => [digestOf(key), account] as const),
    ),
  );
}

/** Returns the account that holds a key; undefined for an unknown key and for an empty one. */
export function accountOfKey(
  index: AccountIndex,
  key: string,
  digestOf: KeyDigest,
): ClientAccount | undefined {
  return key === '' ? undefined : index.get(digestOf(key));
}

/** A key or a name of an account that an account before it has as well. */
export interface AccountConflict {
  /** Positions of the two accounts in their list. */
  readonly account: number;
  readonly earlierAccount: number;
  /** Position of the key among those of the account; undefined if the names are the same. */
  readonly key?: number;
}

/**
 * Returns the first conflict of a list of accounts; undefined if there is none. A request could
 * count for either account otherwise.
 */
export function findAccountConflict(
  accounts: ReadonlyArray<Pick<ClientAccount, 'name' | 'keys'>>,
): AccountConflict | undefined {
  const byName = new Map<string, number>();
  const byKey = new Map<string, number>();
  for (const [account, {name, keys}] of accounts.entries()) {
    const withName = byName.get(name);
    if (withName !== undefined) return {account, earlierAccount: withName};
    byName.set(name, account);
    for (const [key, text] of keys.entries()) {
      const holder = byKey.get(text);
      if (holder !== undefined && holder !== account) {
        return {account, earlierAccount: holder, key};
      }
      byKey.set(text, account);
    }
  }
  return undefined;
}
