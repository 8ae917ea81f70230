/**
 * Budget of memory and connections that the callers of one process hold together. A process counts
 * what it holds for each connection, and closes connections while the sum is above the budget.
 */

/** Costs that are counted besides the bytes that callers send. */
export const HOLD_COST = {
  /** Socket and parser of an open connection, in bytes. */
  connection: 16 * 1_024,
  /** Objects and listeners of a request that has been read and not answered, in bytes. */
  request: 16 * 1_024,
  /** Strings and list entries of a header field besides its own bytes, in bytes. */
  field: 200,
  /** Handling of a piece of a body, in bytes: very small ones cost more to handle than to hold. */
  piece: 64,
} as const;

/** Budget of one process. */
export interface HoldLimits {
  /** Bytes that all connections may hold together. */
  readonly maxBytes: number;
  /** Number of connections. */
  readonly maxConnections: number;
  /** Memory of the VM, in bytes. */
  readonly memoryBytes: number;
}

/** Budget without limits. */
export const UNLIMITED_HOLDS: HoldLimits = {
  maxBytes: Infinity,
  maxConnections: Infinity,
  memoryBytes: Infinity,
};

/**
 * Part of the memory of a VM that callers' connections may hold. The rest is for the program (about
 * 60 MB), buffered answers (as much again), and what has been released and is not yet free for the system.
 */
const MEMORY_SHARE = 1 / 8;

/** Descriptors that the system keeps for files. */
const FILE_DESCRIPTORS = 200;

/** Part of the other descriptors that callers may take; the rest is for targets, store and peers. */
const CONNECTION_SHARE = 0.75;

/** Least number of connections, whatever the descriptors. */
const MIN_CONNECTIONS = 16;

/** Part of a budget that holds still take after a release, so that releases are rare. */
const RELEASED_SHARE = 7 / 8;

/** Part of a budget that the pieces of one connection may cost, so that one alone is never closed for them. */
const MAX_PIECES_SHARE = 1 / 4;

/** Limits of a VM, from which a budget derives. */
export interface VmLimits {
  /** Memory, in megabytes of 2^20 bytes; undefined if it is not limited. */
  readonly memoryMb?: number;
  /** Number of descriptors of a process; undefined if it is not limited. */
  readonly maxDescriptors?: number;
}

/** Returns the default budget on a VM with the limits; one that is not positive counts as none. */
export function holdLimitsOf({
  memoryMb = 0,
  maxDescriptors = 0,
}: VmLimits): HoldLimits {
  const memoryBytes = memoryMb > 0 ? memoryMb * 1_048_576 : Infinity;
  const descriptors = maxDescriptors > 0 ? maxDescriptors : Infinity;
  return {
    memoryBytes,
    maxBytes: memoryBytes * MEMORY_SHARE,
    maxConnections: Math.max(
      MIN_CONNECTIONS,
      Math.floor((descriptors - FILE_DESCRIPTORS) * CONNECTION_SHARE),
    ),
  };
}

/**
 * Part of the budget by which answers that are being received and what callers hold may together be above
 * it. Answers keep half of the budget, whatever callers hold.
 */
const ANSWERS_SHARE = 1 / 2;

/** Returns the limit of all answers that are being received, in bytes, while callers hold `heldBytes`. */
export function answerLimitBytes(
  {maxBytes}: Pick<HoldLimits, 'maxBytes'>,
  heldBytes: number,
): number {
  if (maxBytes === Infinity) return Infinity;
  const sumBytes = maxBytes * (1 + ANSWERS_SHARE);
  const freeBytes = Math.min(maxBytes, sumBytes - heldBytes);
  return Math.max(maxBytes * ANSWERS_SHARE, freeBytes);
}

/** Returns the cost of the head of a request, in bytes. `rawHeaders` has names and values in turn. */
export function headCost(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length + HOLD_COST.field / 2,
    HOLD_COST.request,
  );
}

/** Returns the cost of handling the pieces of the bodies of one connection, in bytes. */
export function piecesCost(
  pieces: number,
  {maxBytes}: Pick<HoldLimits, 'maxBytes'>,
): number {
  return Math.min(pieces * HOLD_COST.piece, maxBytes * MAX_PIECES_SHARE);
}

/** What a process holds for one connection. */
export interface ConnectionHold {
  /** Address of the caller. */
  readonly address: string;
  /** Held bytes, with the {@link HOLD_COST}. */
  readonly bytes: number;
  /** Monotonic time of the last progress: its begin, or a whole request or answer; in milliseconds. */
  readonly progressAtMs: number;
  /** Whether closing it could lose the outcome of a request that a target may run. */
  readonly isProtected: boolean;
}

/** Reasons for which connections are closed. */
export const RELEASE_REASON = {
  memory: 'memory',
  connections: 'connections',
} as const;

/** One of the values of {@link RELEASE_REASON}. */
export type ReleaseReason =
  (typeof RELEASE_REASON)[keyof typeof RELEASE_REASON];

/** A connection to close. */
export interface Release<Hold extends ConnectionHold> {
  readonly hold: Hold;
  readonly reason: ReleaseReason;
}

/** Returns the addresses that use more than an equal share of `limit`. */
function addressesOverShare(
  holds: readonly ConnectionHold[],
  useOf: (hold: ConnectionHold) => number,
  limit: number,
): ReadonlySet<string> {
  const uses = new Map<string, number>();
  for (const hold of holds) {
    uses.set(hold.address, (uses.get(hold.address) ?? 0) + useOf(hold));
  }
  const share = limit / uses.size;
  return new Set(
    [...uses].filter(([, use]) => use > share).map(([address]) => address),
  );
}

/** Chooses holds in an order, those of addresses over their share first, until enough is released. */
function chooseUntil<Hold extends ConnectionHold>(
  holds: readonly Hold[],
  useOf: (hold: ConnectionHold) => number,
  limit: number,
  order: (a: Hold, b: Hold) => number,
): readonly Hold[] {
  let used = holds.reduce((sum, hold) => sum + useOf(hold), 0);
  if (used <= limit) return [];
  const overShare = addressesOverShare(holds, useOf, limit);
  const rank = ({address}: Hold) => (overShare.has(address) ? 0 : 1);
  const chosen: Hold[] = [];
  const candidates = holds
    .filter(({isProtected}) => !isProtected)
    .sort((a, b) => rank(a) - rank(b) || order(a, b));
  for (const hold of candidates) {
    if (used <= limit * RELEASED_SHARE) break;
    used -= useOf(hold);
    chosen.push(hold);
  }
  return chosen;
}

/**
 * Plans which connections to close; none while the holds are within the limits. For memory, those
 * that hold the most go first; for the number of connections, those longest without progress. In
 * both cases connections of addresses above an equal share go before others, and protected ones
 * never.
 */
export function planReleases<Hold extends ConnectionHold>(
  holds: readonly Hold[],
  {maxBytes, maxConnections}: Omit<HoldLimits, 'memoryBytes'>,
): readonly Release<Hold>[] {
  const forMemory = chooseUntil(
    holds,
    ({bytes}) => bytes,
    maxBytes,
    (a, b) => b.bytes - a.bytes || a.progressAtMs - b.progressAtMs,
  );
  const closed = new Set(forMemory);
  const forConnections = chooseUntil(
    holds.filter(hold => !closed.has(hold)),
    () => 1,
    maxConnections,
    (a, b) => a.progressAtMs - b.progressAtMs,
  );
  return [
    ...forMemory.map(hold => ({hold, reason: RELEASE_REASON.memory})),
    ...forConnections.map(hold => ({hold, reason: RELEASE_REASON.connections})),
  ];
}
