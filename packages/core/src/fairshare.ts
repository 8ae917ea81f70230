/**
 * Order in which the requests of client accounts start on an engine that is short of room. The
 * turns of {@link TURNS} follow each other:
 *
 * - By time of arrival, every account gets room in proportion to what it asks. Half of all turns
 *   go by it, so that no account, large or of low rank, falls far behind the others.
 * - By rank, priorities hold.
 * - By counter, the account that has got the fewest tokens goes first, so that one that asks for
 *   more does not take the room of the others. The counters are those of Sheng et al., "Fairness
 *   in Serving Large Language Models", OSDI 2024.
 */

/** A request of an account that waits for room. */
export interface SharedRequest {
  /** Name of the account; empty for a caller without one. */
  readonly account: string;
  /** Rank among all waiting requests; 0 goes first. */
  readonly rank: number;
  /** Number of tokens of the prompt and of the answer, as stated; 0 if they are not. */
  readonly tokens: number;
  /** Monotonic time of the request, in milliseconds. */
  readonly requestedAtMs: number;
}

/** What accounts have got of one engine. */
export interface FairShares {
  /** Tokens granted by account; those at or below {@link floor} are left out. */
  readonly counters: ReadonlyMap<string, number>;
  /**
   * Least counter of the accounts that waited at the last grant, or that of the account which got
   * it if none waits since. An account that comes back begins with it, so that idle time earns no
   * right to room.
   */
  readonly floor: number;
  /** Number of grants so far. */
  readonly grants: number;
}

/** Shares of an engine that has granted nothing. */
export const NO_SHARES: FairShares = {
  counters: new Map(),
  floor: 0,
  grants: 0,
};

/** Ways to select the next request. */
const TURN = {arrival: 'arrival', rank: 'rank', counter: 'counter'} as const;

type Turn = (typeof TURN)[keyof typeof TURN];

/** Ways to select the next requests, over and over. */
const TURNS: readonly Turn[] = [
  TURN.arrival,
  TURN.rank,
  TURN.arrival,
  TURN.counter,
];

/** Tokens that a request counts as that states none; about those of a short chat. */
const UNSTATED_TOKENS = 200;

/** Returns the tokens that an account has got, or those of one that has just come. */
function counterOf({counters, floor}: FairShares, account: string): number {
  return Math.max(floor, counters.get(account) ?? 0);
}

/** Returns the shares after a grant; `others` are the requests that still wait. */
export function withGrantedRequest(
  shares: FairShares,
  {account, tokens}: SharedRequest,
  others: readonly SharedRequest[],
): FairShares {
  const before = counterOf(shares, account);
  const counter = before + (tokens > 0 ? tokens : UNSTATED_TOKENS);
  // What an account gets while no other waits is not held against it.
  const floor =
    others.length === 0
      ? counter
      : others.reduce(
          (least, other) => Math.min(least, counterOf(shares, other.account)),
          before,
        );
  const counters = new Map(
    [...shares.counters, [account, counter] as const].filter(
      ([, known]) => known > floor,
    ),
  );
  return {counters, floor, grants: shares.grants + 1};
}

/** Returns a negative number if `a` goes before `b` in a turn. */
function compareIn(
  turn: Turn,
  shares: FairShares,
  a: SharedRequest,
  b: SharedRequest,
): number {
  const byArrival = a.requestedAtMs - b.requestedAtMs;
  if (turn === TURN.arrival) return byArrival;
  const byCounter = counterOf(shares, a.account) - counterOf(shares, b.account);
  const byRank = a.rank - b.rank;
  return turn === TURN.rank
    ? byRank || byCounter || byArrival
    : byCounter || byRank || byArrival;
}

/**
 * Returns the requests in the order in which they start; the first `count` by turns, the others by
 * arrival.
 */
export function fairOrder<T extends SharedRequest>(
  shares: FairShares,
  waiting: readonly T[],
  count: number,
): readonly T[] {
  const ordered: T[] = [];
  let left = waiting;
  let next = shares;
  while (left.length > 0 && ordered.length < count) {
    const turn = TURNS[next.grants % TURNS.length] ?? TURN.arrival;
    const first = left.reduce((best, request) =>
      compareIn(turn, next, request, best) < 0 ? request : best,
    );
    ordered.push(first);
    left = left.filter(request => request !== first);
    next = withGrantedRequest(next, first, left);
  }
  const others = [...left].sort((a, b) => a.requestedAtMs - b.requestedAtMs);
  return [...ordered, ...others];
}

/** Where a request may wait. */
export const ACCOUNT_ROOM = {
  /** In the room that all share. */
  common: 'common',
  /** In the room for first requests of accounts, since the common one is full. */
  first: 'first',
  /** Nowhere, since the room is full. */
  full: 'full',
  /** Nowhere, since the account has all that one may take while others wait. */
  accountFull: 'account_full',
} as const;

/** One of the values of {@link ACCOUNT_ROOM}. */
export type AccountRoom = (typeof ACCOUNT_ROOM)[keyof typeof ACCOUNT_ROOM];

/** Share of the common room that one account may take while others wait. */
const ACCOUNT_SHARE = 0.5;

/**
 * Size of the room for first requests, relative to the common one. Requests in it keep none out of
 * the common room, so that many small accounts do not shut out a large one.
 */
const FIRST_ROOM = 0.5;

/** Requests that wait for an engine. */
export interface WaitingCounts {
  /** Those in the common room. */
  readonly common: number;
  /** Those in the room for first requests. */
  readonly first: number;
  /** Those of the account, in both. */
  readonly ofAccount: number;
}

/** Decides where a further request of an account may wait; `room` is the size of the common room. */
export function accountRoom(
  {common, first, ofAccount}: WaitingCounts,
  room: number,
): AccountRoom {
  const isShared = common + first > ofAccount;
  if (isShared && ofAccount > 0 && ofAccount >= room * ACCOUNT_SHARE) {
    return ACCOUNT_ROOM.accountFull;
  }
  if (common < room) return ACCOUNT_ROOM.common;
  return ofAccount === 0 && first < room * FIRST_ROOM
    ? ACCOUNT_ROOM.first
    : ACCOUNT_ROOM.full;
}
