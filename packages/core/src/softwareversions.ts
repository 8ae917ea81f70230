/** Software versions that the servers of each service have had lately. */
import {REQUEST_KIND, type RouteTable} from './routetable.js';

/** What a process knows of the software versions of a service over a window. */
export type KnownVersions =
  /** All servers had this one version. */
  | {readonly kind: 'only'; readonly softwareVersion: string}
  /** There were servers of more than one version. */
  | {readonly kind: 'several'}
  | {readonly kind: 'unsure'};

/** Maximum time since the list was confirmed for it to show all versions, in milliseconds. */
export const MAX_LIST_AGE_MS = 2_000;

/** Minimum of {@link streamWindowMs}, in milliseconds. */
const MIN_STREAM_WINDOW_MS = 10_000;

/** Time for which a version that is no longer listed is kept, in milliseconds; exceeds every window. */
const KEPT_MS = 3_600_000;

/** The moment of a question about the versions of a service. */
export interface VersionWindow {
  /** Length of the window before `nowMs`, in milliseconds. */
  readonly windowMs: number;
  /** Time since the list was last confirmed, in milliseconds. */
  readonly listAgeMs: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Versions of each service's servers as one process has seen them in the list. */
export class VersionHistory {
  private followedSinceMs: number | undefined;
  private confirmedAtMs: number | undefined;
  /** Time at which each version was gone, Infinity while it is listed; by service. */
  private readonly goneAtMs = new Map<string, Map<string, number>>();

  /**
   * Records the versions that the servers of each service have now; leaving servers count. A service
   * that is absent has no servers.
   */
  update(
    services: ReadonlyMap<string, ReadonlySet<string>>,
    nowMs: number,
  ): void {
    this.followedSinceMs ??= nowMs;
    for (const [service, goneAtMs] of this.goneAtMs) {
      const listed = services.get(service);
      for (const [version, goneMs] of goneAtMs) {
        if (nowMs - goneMs > KEPT_MS) goneAtMs.delete(version);
        else if (goneMs === Infinity && listed?.has(version) !== true) {
          goneAtMs.set(version, nowMs);
        }
      }
    }
    for (const [service, listed] of services) {
      const goneAtMs = this.goneAtMs.get(service) ?? new Map<string, number>();
      this.goneAtMs.set(service, goneAtMs);
      for (const version of listed) goneAtMs.set(version, Infinity);
    }
  }

  /**
   * Notes that the list is up to date. After a pause of more than {@link MAX_LIST_AGE_MS} versions
   * may have come and gone unseen, so the list counts as followed from now on.
   */
  confirm(nowMs: number): void {
    const lastMs = this.confirmedAtMs ?? nowMs;
    if (nowMs - lastMs > MAX_LIST_AGE_MS) this.followedSinceMs = nowMs;
    this.confirmedAtMs = nowMs;
  }

  /**
   * Returns `several` if more than one version was listed in the window, a version that is no longer
   * listed included; `only` if one was, the list has been followed for the whole window and is not
   * older than {@link MAX_LIST_AGE_MS}; else `unsure`.
   */
  known(
    service: string,
    {windowMs, listAgeMs, nowMs}: VersionWindow,
  ): KnownVersions {
    const goneAtMs = this.goneAtMs.get(service);
    const versions: string[] = [];
    for (const [version, goneMs] of goneAtMs ?? []) {
      if (nowMs - goneMs <= windowMs) versions.push(version);
    }
    const [softwareVersion, ...others] = versions;
    if (softwareVersion === undefined) return {kind: 'unsure'};
    if (others.length > 0) return {kind: 'several'};
    const followedMs = nowMs - (this.followedSinceMs ?? nowMs);
    if (followedMs < windowMs || listAgeMs > MAX_LIST_AGE_MS) {
      return {kind: 'unsure'};
    }
    return {kind: 'only', softwareVersion};
  }
}

/**
 * Returns the longest time for which a stream can be taken up after it began, in milliseconds: the
 * longest timeout of the streaming routes, at least 10 s.
 */
export function streamWindowMs(table: RouteTable | undefined): number {
  const timeouts = (table?.routes ?? [])
    .filter(({kind}) => kind === REQUEST_KIND.streaming)
    .map(({timeoutMs}) => timeoutMs);
  return Math.max(MIN_STREAM_WINDOW_MS, ...timeouts);
}
