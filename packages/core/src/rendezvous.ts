/** Weighted rendezvous hashing: every process computes the same order of targets for a key. */

/** A target with its weight in rendezvous hashing. */
export interface WeightedTarget {
  readonly name: string;
  /** Relative share of keys that the target is ranked first for; above 0. */
  readonly weight: number;
}

/** Finalizer of a 32-bit hash (as in MurmurHash3): spreads similar inputs evenly. */
function mix32(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** Returns the 32-bit FNV-1a hash of a text, with a finalizer. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, 0x01000193);
  }
  return mix32(hash);
}

/**
 * Returns the score of a target for a key; the target with the highest score ranks
 * first. It takes precomputed hashes of the key and of the target's name, so that a
 * pass over 600 targets hashes no strings.
 */
export function rendezvousScore(
  keyHash: number,
  nameHash: number,
  weight: number,
): number {
  const uniform =
    (mix32(Math.imul(keyHash, 0x9e3779b1) ^ nameHash) + 0.5) / 2 ** 32;
  return -weight / Math.log(uniform);
}

/** Returns the targets in descending order of score; ties go to the name that sorts first. */
export function rankTargets<T extends WeightedTarget>(
  key: string,
  targets: readonly T[],
): readonly T[] {
  const keyHash = hash32(key);
  return targets
    .map(target => ({
      target,
      score: rendezvousScore(keyHash, hash32(target.name), target.weight),
    }))
    .sort(
      (a, b) => b.score - a.score || (a.target.name < b.target.name ? -1 : 1),
    )
    .map(scored => scored.target);
}
