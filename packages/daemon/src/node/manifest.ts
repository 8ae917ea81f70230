/** The parts of a manifest that are read before the configuration is assembled. */

/** A value that a manifest lists. */
export interface ListedValue {
  readonly name: string;
  /** Content hash in hexadecimal. */
  readonly sha256: string;
}

/** Values that a manifest lists. Throws when the text is not a manifest. */
export function listedValues(manifest: string): readonly ListedValue[] {
  const parsed = JSON.parse(manifest) as {values: ListedValue[]};
  return parsed.values.map(({name, sha256}) => ({name, sha256}));
}

/** Revision of a manifest, or undefined when the text is not a manifest. */
export function revisionOf(manifest: string): number | undefined {
  try {
    const parsed = JSON.parse(manifest) as {revision?: unknown};
    return typeof parsed.revision === 'number' ? parsed.revision : undefined;
  } catch {
    return undefined;
  }
}
