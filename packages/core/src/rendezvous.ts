/** Weighted rendezvous hashing: an order of targets for a key that every process computes alike. */

/** A target with its share of the keys. */
export interface WeightedTarget {
  readonly name: string;
  /** Relative share of keys, above 0. */
  readonly weight: number;
}

/** Final mix of a 32-bit hash, so that similar inputs spread evenly. */
function mix32(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** 32-bit FNV-1a with a final mix. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, 0x01000193);
  }
  return mix32(hash);
}

/**
 * Score of a target for a key; the highest score owns the key. Both hashes are
 * of the names alone, so that one pass over 600 targets hashes no string.
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

/** Targets in descending order of score; ties go to the lower name. */
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
    .map(entry => entry.target);
}
