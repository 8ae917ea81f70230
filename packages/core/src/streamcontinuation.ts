/**
 * Decides at which versions of the software of its targets a stream may go on. What two versions
 * write does not fit together, and targets do not check it.
 */

/** Software versions at which a stream may go on: any until it has begun, then one, or none. */
export type StreamVersions =
  | {readonly kind: 'any'}
  | {readonly kind: 'only'; readonly softwareVersion: string}
  | {readonly kind: 'none'};

/** Versions for a stream that has not begun. */
export const ANY_VERSION: StreamVersions = {kind: 'any'};

/** Target whose events began an answer. */
export interface StreamBeginner {
  /** Its software version as it was listed when the request was sent. */
  readonly softwareVersion: string;
  /** Its software version as it is listed now; undefined if it is not listed. */
  readonly listedVersion: string | undefined;
}

/** What is known of a stream. */
export interface StreamState {
  /** Version that began the stream in an earlier answer; undefined if it has not begun in one. */
  readonly takenUpVersion?: string;
  /** Target that began this answer; undefined until its first event is written. */
  readonly beginner?: StreamBeginner;
}

/**
 * Returns the versions at which a stream may go on. If the target that began the answer is listed
 * with another version since, its version is uncertain, because the list may have been late.
 */
export function streamVersions({
  takenUpVersion,
  beginner,
}: StreamState): StreamVersions {
  if (beginner === undefined) {
    return takenUpVersion === undefined
      ? ANY_VERSION
      : {kind: 'only', softwareVersion: takenUpVersion};
  }
  const {softwareVersion, listedVersion = softwareVersion} = beginner;
  const isCertain =
    listedVersion === softwareVersion &&
    (takenUpVersion ?? softwareVersion) === softwareVersion;
  return isCertain ? {kind: 'only', softwareVersion} : {kind: 'none'};
}

/** Returns whether a target with this software version may serve the stream. */
export function mayServeStream(
  versions: StreamVersions,
  softwareVersion: string,
): boolean {
  return versions.kind === 'only'
    ? versions.softwareVersion === softwareVersion
    : versions.kind === 'any';
}
