/** Access to parts of a manifest before the configuration is assembled and validated. */

/** A value listed in a manifest. */
export interface ListedValue {
  readonly name: string;
  /** SHA-256 of the content, hexadecimal. */
  readonly sha256: string;
}

/** Returns the values listed in a manifest. Throws when the text is not a manifest. */
export function listedValues(manifest: string): readonly ListedValue[] {
  const parsed = JSON.parse(manifest) as {values: ListedValue[]};
  return parsed.values.map(({name, sha256}) => ({name, sha256}));
}

/** Returns the revision of a manifest, or undefined when the text is not JSON with a numeric revision. */
export function revisionOf(manifest: string): number | undefined {
  try {
    const parsed = JSON.parse(manifest) as {revision?: unknown};
    return typeof parsed.revision === 'number' ? parsed.revision : undefined;
  } catch {
    return undefined;
  }
}
