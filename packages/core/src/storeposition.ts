/**
 * Positions in the history of a store. A store that returns from an older copy gives
 * out its revisions again, so a revision is an order within one era only.
 */
import {hash32} from './rendezvous.js';

/** A position in the history of a store. */
export interface StorePosition {
  /** Number that rises each time the store returns from a copy; 0 while the store states none. */
  readonly era: number;
  /** Revision of the store within the era. */
  readonly revision: number;
}

/** Position before anything is known. */
export const START_POSITION: StorePosition = {era: 0, revision: 0};

/** Returns a negative number if `a` is earlier than `b`, 0 if they are equal, else a positive one. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.revision - b.revision;
}

/** Returns whether `a` is later than `b`. */
export function isLaterPosition(a: StorePosition, b: StorePosition): boolean {
  return comparePositions(a, b) > 0;
}

/** Returns the later of two positions. */
export function laterPosition(
  a: StorePosition,
  b: StorePosition,
): StorePosition {
  return isLaterPosition(b, a) ? b : a;
}

/** How an answer of the store relates to the history that a node follows. */
export const HISTORY = {
  /** The answer continues the history. */
  continued: 'continued',
  /** The answer has another era. */
  otherEra: 'other_era',
  /** The answer has the same era and a lower revision. */
  lowerRevision: 'lower_revision',
} as const;

/** One of the values of {@link HISTORY}. */
export type History = (typeof HISTORY)[keyof typeof HISTORY];

/**
 * Returns how an answer at `answered` relates to the history up to `known`. Unless it
 * continues the history, changes after `known` may be missing from it.
 */
export function historyOf(
  known: StorePosition,
  answered: StorePosition,
): History {
  if (answered.era !== known.era) return HISTORY.otherEra;
  if (answered.revision < known.revision) return HISTORY.lowerRevision;
  return HISTORY.continued;
}

/** What two nodes compare to find out which of them lacks changes. */
export interface KnownChanges {
  readonly position: StorePosition;
  /**
   * Digest of the versions that the node has. It may have versions that the history up to its
   * position lacks: the store lost them. 0 if it is not stated.
   */
  readonly digest: number;
  /** Version of the routes in force; 0 if there is none or it is not stated. */
  readonly routesVersion: number;
}

/**
 * Returns whether `other` may know changes that `own` lacks. Two nodes at the same position with
 * different digests may each lack changes of the other. A later version of the routes shows that
 * whatever the positions are.
 */
export function mayLackChanges(
  own: KnownChanges,
  other: KnownChanges,
): boolean {
  if (other.routesVersion > own.routesVersion) return true;
  const order = comparePositions(other.position, own.position);
  if (order !== 0) return order > 0;
  return other.digest !== 0 && other.digest !== own.digest;
}

/** Returns the digest of the versions of routes and adapters; 0 for none. */
export function versionsDigest(
  routesVersion: number | undefined,
  adapterVersions: ReadonlyMap<string, number>,
): number {
  let digest = routesVersion === undefined ? 0 : hash32(`#${routesVersion}`);
  for (const [key, version] of adapterVersions) {
    digest ^= adapterVersionDigest(key, version);
  }
  return digest >>> 0;
}

/** Returns what a version of an adapter contributes to a digest, which combines it by exclusive or. */
export function adapterVersionDigest(key: string, version: number): number {
  return hash32(`${key}#${version}`);
}
