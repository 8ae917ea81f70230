/** Room of client accounts among the leases that wait for an engine. */
import {
  ACCOUNT_ROOM,
  accountRoom,
  fairOrder,
  withGrantedRequest,
  type AccountRoom,
  type FairShares,
  type SharedRequest,
} from '@balsamnotch/core';
import type {LeaseTerms} from '../node/leaseterms.js';

/** A waiting lease, as far as the room of accounts depends on it. */
export interface AccountLease {
  readonly request: Pick<LeaseTerms, 'rank' | 'continues'>;
  /** Model and adapter. */
  readonly key: string;
  readonly isGranted: boolean;
  /** The request as one of its account. */
  readonly shared: SharedRequest;
  /** Whether it waits in the room for first requests of accounts. */
  readonly isFirst: boolean;
}

/** Returns a request as one of its account. */
export function sharedRequest({
  account = '',
  rank,
  promptTokens,
  outputTokens = 0,
  requestedAtMs,
}: LeaseTerms & {readonly requestedAtMs: number}): SharedRequest {
  const tokens = promptTokens + outputTokens;
  return {account, rank, tokens, requestedAtMs};
}

/** Returns the leases that share room with requests of a rank: those of rank 0, or the lower ones. */
function leasesOfRank<T extends AccountLease>(
  leases: readonly T[],
  rank: number,
): readonly T[] {
  return leases.filter(({request}) => request.rank > 0 === rank > 0);
}

/** Returns where a request may wait; undefined if it has no account. `room` is that of its rank. */
export function leaseRoom(
  waiting: readonly AccountLease[],
  {account, rank}: SharedRequest,
  room: number,
): AccountRoom | undefined {
  if (account === '') return undefined;
  const common = leasesOfRank(waiting, rank).filter(({isFirst}) => !isFirst);
  const ofAccount = waiting.filter(({shared}) => shared.account === account);
  return accountRoom(
    {
      common: common.length,
      first: waiting.filter(({isFirst}) => isFirst).length,
      ofAccount: ofAccount.length,
    },
    room,
  );
}

/** Returns whether a request may wait in the room. */
export function hasRoom(room: AccountRoom): boolean {
  return room === ACCOUNT_ROOM.common || room === ACCOUNT_ROOM.first;
}

/** Returns whether one more adapter may wait for a request of an account; `absent` wait for others. */
export function hasAdapterRoom(
  absent: readonly AccountLease[],
  {account, rank}: Pick<SharedRequest, 'account' | 'rank'>,
  queueLimit: number,
): boolean {
  const keysOf = (leases: readonly AccountLease[]) =>
    new Set(leases.map(({key}) => key)).size;
  const ofRank = leasesOfRank(absent, rank);
  const waiting = keysOf(ofRank);
  const counts = {
    common: Math.min(waiting, queueLimit),
    first: Math.max(0, waiting - queueLimit),
    ofAccount: keysOf(ofRank.filter(({shared}) => shared.account === account)),
  };
  return hasRoom(accountRoom(counts, queueLimit));
}

/** Options of {@link inStartOrder}. */
export interface StartOrderOptions<T> {
  readonly shares: FairShares;
  /** Returns whether the engine holds the adapter of a lease. */
  readonly isHeld: (lease: T) => boolean;
  /** Number of leases that may be granted now. */
  readonly free: number;
}

/**
 * Returns waiting leases in the order in which they may start; as they are if none has an account.
 * Accounts share the room for the leases whose adapters are loaded; the others cannot start yet.
 */
export function inStartOrder<T extends AccountLease>(
  waiting: readonly T[],
  {shares, isHeld, free}: StartOrderOptions<T>,
): readonly T[] {
  if (waiting.every(({shared}) => shared.account === '')) return waiting;
  const continuing = waiting.filter(({request}) => request.continues);
  const others = waiting.filter(({request}) => !request.continues);
  const held = others.filter(isHeld).map(lease => ({...lease.shared, lease}));
  return [
    ...continuing,
    ...fairOrder(shares, held, free).map(({lease}) => lease),
    ...others.filter(lease => !isHeld(lease)),
  ];
}

/** Returns the shares after the grant of a lease; the same ones if no request has an account. */
export function withGrantedLease(
  shares: FairShares,
  {shared}: AccountLease,
  leases: readonly AccountLease[],
): FairShares {
  const others = leases
    .filter(({isGranted}) => !isGranted)
    .map(lease => lease.shared);
  return [shared, ...others].every(({account}) => account === '')
    ? shares
    : withGrantedRequest(shares, shared, others);
}
