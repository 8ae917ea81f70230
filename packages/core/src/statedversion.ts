/**
 * The newest version of the routes that other nodes state, beside the one in force. Positions
 * alone do not show a node that counts a change as known and lacks it.
 */

/** The newest stated version, and since when the node has been behind it. */
export interface StatedVersion {
  /** Newest version that another node had in force; 0 before the first statement. */
  readonly newest: number;
  /** Monotonic time since which an older version has been in force, in milliseconds; undefined if none is. */
  readonly behindSinceMs?: number;
}

/** Before the first statement. */
export const NO_STATED_VERSION: StatedVersion = {newest: 0};

/**
 * Share of the bound of a change after which a node that is behind no longer trusts its position.
 * By then its next call to the store and the question to the other node have been answered, if
 * nothing fails, and enough of the bound is left for a read of the whole state.
 */
const REREAD_SHARE = 0.25;

/** Returns the newest version after a statement; `inForce` is the version in force at this node. */
export function withStatedVersion(
  {newest, behindSinceMs}: StatedVersion,
  stated: number,
  inForce: number,
  nowMs: number,
): StatedVersion {
  const latest = Math.max(newest, stated);
  return latest > inForce
    ? {newest: latest, behindSinceMs: behindSinceMs ?? nowMs}
    : {newest: latest};
}

/** Returns for how long an older version than the newest stated one has been in force, in milliseconds. */
export function behindMs(
  {behindSinceMs}: StatedVersion,
  nowMs: number,
): number {
  return behindSinceMs === undefined ? 0 : nowMs - behindSinceMs;
}

/** Returns whether the node has been behind for so long that its position cannot be trusted. */
export function isPositionDoubtful(
  version: StatedVersion,
  boundMs: number,
  nowMs: number,
): boolean {
  return behindMs(version, nowMs) > REREAD_SHARE * boundMs;
}
