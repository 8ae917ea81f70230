/** Chooses among the software versions at which a stream may begin. */

/** What is known of a stream that has not begun. */
export interface VersionPreference {
  /** Version of the first server that the stream was sent to; undefined before. */
  readonly sentTo: string | undefined;
  /** See `VersionHistory.isSettled`. */
  readonly isSettled: (softwareVersion: string) => boolean;
}

/**
 * Returns the candidates at which a stream should begin: those of the version that it was sent to
 * before, since records of that may remain; else those of settled versions, since other processes
 * may not know of a new one yet; else all.
 */
export function atPreferredVersions<T>(
  candidates: readonly T[],
  versionOf: (candidate: T) => string,
  {sentTo, isSettled}: VersionPreference,
): readonly T[] {
  const same = candidates.filter(candidate => versionOf(candidate) === sentTo);
  if (same.length > 0) return same;
  const settled = candidates.filter(candidate =>
    isSettled(versionOf(candidate)),
  );
  return settled.length > 0 ? settled : candidates;
}
