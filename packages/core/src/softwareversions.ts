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

/**
 * Time for which no stream begins at a new version while another version serves, in milliseconds.
 * By then each process whose list is fresh enough to say `only` has seen the new version; the rest
 * above {@link MAX_LIST_AGE_MS} covers the time of messages.
 */
export const SETTLE_MS = MAX_LIST_AGE_MS + 500;

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

/** Times of one version of a service. */
interface VersionTimes {
  /** Time since which it is listed; -Infinity if it was there at the start. */
  readonly sinceMs: number;
  /** Time at which it was gone, Infinity while it is listed. */
  readonly goneAtMs: number;
}

/** Versions of each service's servers as one process has seen them in the list. */
export class VersionHistory {
  private followedSinceMs: number | undefined;
  private confirmedAtMs: number | undefined;
  /** Versions of each service, with those that have been gone for less than {@link KEPT_MS}. */
  private readonly services = new Map<string, Map<string, VersionTimes>>();

  /**
   * Records the versions that the servers of each service have now; leaving servers count. A service
   * that is absent has no servers.
   */
  update(
    services: ReadonlyMap<string, ReadonlySet<string>>,
    nowMs: number,
  ): void {
    const isFirst = this.followedSinceMs === undefined;
    this.followedSinceMs ??= nowMs;
    for (const [service, versions] of this.services) {
      const listed = services.get(service);
      for (const [version, {sinceMs, goneAtMs}] of versions) {
        if (nowMs - goneAtMs > KEPT_MS) versions.delete(version);
        if (goneAtMs < Infinity || listed?.has(version) === true) continue;
        versions.set(version, {sinceMs, goneAtMs: nowMs});
      }
    }
    for (const [service, listed] of services) {
      const versions: Map<string, VersionTimes> =
        this.services.get(service) ?? new Map();
      this.services.set(service, versions);
      for (const version of listed) {
        if (versions.get(version)?.goneAtMs === Infinity) continue;
        const sinceMs = isFirst ? -Infinity : nowMs;
        versions.set(version, {sinceMs, goneAtMs: Infinity});
      }
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
    const times = this.services.get(service);
    const versions: string[] = [];
    for (const [version, {goneAtMs}] of times ?? []) {
      if (nowMs - goneAtMs <= windowMs) versions.push(version);
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

  /**
   * Returns whether streams may begin at a version: it has been listed for {@link SETTLE_MS}, or was
   * there when this process started. Without a server of such a version they may begin at any.
   */
  isSettled(service: string, softwareVersion: string, nowMs: number): boolean {
    const times = this.services.get(service)?.get(softwareVersion);
    return times !== undefined && nowMs - times.sinceMs >= SETTLE_MS;
  }
}

/** Windows by route table; each stream asks for it several times, and a table may have many routes. */
const windows = new WeakMap<RouteTable, number>();

/**
 * Returns the longest time for which a stream can be taken up after it began, in milliseconds: the
 * longest timeout of the streaming routes, at least 10 s.
 */
export function streamWindowMs(table: RouteTable | undefined): number {
  if (table === undefined) return MIN_STREAM_WINDOW_MS;
  const known = windows.get(table);
  if (known !== undefined) return known;
  const windowMs = table.routes.reduce(
    (longestMs, {kind, timeoutMs}) =>
      kind === REQUEST_KIND.streaming
        ? Math.max(longestMs, timeoutMs)
        : longestMs,
    MIN_STREAM_WINDOW_MS,
  );
  windows.set(table, windowMs);
  return windowMs;
}
