/** Weighted rendezvous hashing: an order of targets for a key that every process computes alike. */

/** A target with its share of the keys. */
export interface WeightedTarget {
  readonly name: string;
  /** Relative share of keys, above 0. */
  readonly weight: number;
}

/** 32-bit FNV-1a with a final mix, so that similar names spread evenly. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** Score of a target for a key; the highest score owns the key. */
function score(key: string, target: WeightedTarget): number {
  const uniform = (hash32(`${key}\u0000${target.name}`) + 0.5) / 2 ** 32;
  return -target.weight / Math.log(uniform);
}

/** Targets in descending order of score; ties go to the lower name. */
export function rankTargets<T extends WeightedTarget>(
  key: string,
  targets: readonly T[],
): readonly T[] {
  return targets
    .map(target => ({target, score: score(key, target)}))
    .sort(
      (a, b) => b.score - a.score || (a.target.name < b.target.name ? -1 : 1),
    )
    .map(entry => entry.target);
}
