/**
 * When a process asks its runtime to collect garbage. The runtime knows its own heap limit but not the memory
 * of the VM, so under a fast load it lets garbage grow to more than the VM has.
 */

/** Part of the memory of the VM from which on a process collects garbage on its own. */
const PRESSURE_SHARE = 0.65;

/** Shortest and longest time between two collections, in milliseconds: each one stops the process. */
const COLLECTION_PAUSE_MS = {min: 60, max: 30_000} as const;

/**
 * Part of the memory of the VM by which the resident memory may grow after a collection before the next
 * one: a fast caller fills more than the rest of the VM within the shortest pause.
 */
const GROWTH_SHARE = 1 / 16;

/** Part of the resident memory that a useful collection frees at least. */
const USEFUL_SHARE = 0.05;

/** What is known of the collections of a process. */
export interface CollectionState {
  /** Monotonic time of the end of the last collection, in milliseconds. */
  readonly lastAtMs: number;
  /** Time from then on in which none is due unless the resident memory grows, in milliseconds. */
  readonly pauseMs: number;
  /** Resident memory after it, in bytes. */
  readonly residentBytes: number;
}

/** State before the first collection. */
export const NO_COLLECTION: CollectionState = {
  lastAtMs: -Infinity,
  pauseMs: 0,
  residentBytes: 0,
};

/** Returns the resident memory from which on collections are due, in bytes. */
export function pressureBytes(memoryBytes: number): number {
  return memoryBytes * PRESSURE_SHARE;
}

/** Returns whether a collection is due; both sizes in bytes. */
export function isCollectionDue(
  {lastAtMs, pauseMs, residentBytes: lastBytes}: CollectionState,
  residentBytes: number,
  memoryBytes: number,
  nowMs: number,
): boolean {
  if (residentBytes <= pressureBytes(memoryBytes)) return false;
  const hasGrown = residentBytes - lastBytes > memoryBytes * GROWTH_SHARE;
  return hasGrown || nowMs - lastAtMs >= pauseMs;
}

/**
 * Returns the state after a collection that changed the resident memory from `beforeBytes` to
 * `afterBytes`. After one that freed little the pause doubles, since what is resident is in use.
 */
export function stateAfterCollection(
  {pauseMs}: CollectionState,
  beforeBytes: number,
  afterBytes: number,
  nowMs: number,
): CollectionState {
  const {min, max} = COLLECTION_PAUSE_MS;
  const isUseful = beforeBytes - afterBytes >= beforeBytes * USEFUL_SHARE;
  return {
    lastAtMs: nowMs,
    residentBytes: afterBytes,
    pauseMs: isUseful ? min : Math.min(max, Math.max(min, 2 * pauseMs)),
  };
}
