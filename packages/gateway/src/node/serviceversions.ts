/** Follows which software versions the servers of each service have in the platform's list. */
import {
  REQUEST_KIND,
  VersionHistory,
  streamWindowMs,
  type Clock,
  type KnownVersions,
  type Registry,
  type RouteTable,
} from '@balsamnotch/core';
import type {Directory} from './directory.js';

/** What a node that follows the list tells one that does not, of one service. */
export interface VersionStatement {
  readonly service: string;
  readonly hasSeveral: boolean;
  /** The version if there was one; empty if there were several. */
  readonly onlyVersion: string;
  /** Time since the end of the window that the statement covers, in milliseconds. */
  readonly ageMs: number;
  /** Length of this window, in milliseconds. */
  readonly windowMs: number;
}

/** Versions of the services, as the list has shown them. */
export interface ServiceVersions {
  /**
   * Returns what is known of the versions of a service over the last `windowMs` milliseconds; by
   * default the longest time for which a stream can be taken up.
   */
  readonly known: (service: string, windowMs?: number) => KnownVersions;
  /** Returns whether streams may begin at a version; see {@link VersionHistory.isSettled}. */
  readonly isSettled: (service: string, softwareVersion: string) => boolean;
  /** Returns the longest time for which a stream can be taken up, in milliseconds. */
  readonly windowMs: () => number;
  /** Returns what is known of the services with streaming routes. */
  readonly statements: () => readonly VersionStatement[];
  readonly close: () => void;
}

/** Options of {@link createServiceVersions}. */
export interface ServiceVersionsOptions {
  readonly directory: Pick<
    Directory,
    'state$' | 'current' | 'targetsConfirmed$' | 'targetsAgeMs'
  >;
  readonly clock: Clock;
}

/** Maximum number of services in the statements of one message. */
const MAX_STATEMENTS = 64;

function versionsByService(
  registry: Registry,
): ReadonlyMap<string, ReadonlySet<string>> {
  const services = new Map<string, Set<string>>();
  for (const {target} of registry.values()) {
    const versions = services.get(target.service) ?? new Set();
    services.set(target.service, versions.add(target.softwareVersion));
  }
  return services;
}

/** Returns the services that streaming routes send requests to. */
function streamingServices(table: RouteTable | undefined): ReadonlySet<string> {
  const routes = table?.routes ?? [];
  return new Set(
    routes
      .filter(({kind}) => kind === REQUEST_KIND.streaming)
      .flatMap(({shares}) => shares.map(({service}) => service)),
  );
}

/** Starts to follow the versions. Nothing is known before the store has confirmed the list. */
export function createServiceVersions({
  directory,
  clock,
}: ServiceVersionsOptions): ServiceVersions {
  const history = new VersionHistory();
  let isConfirmed = false;
  let recorded: Registry | undefined;
  const record = () => {
    const {registry} = directory.current();
    if (!isConfirmed || registry === recorded) return;
    recorded = registry;
    history.update(versionsByService(registry), clock.monotonicMs());
  };
  const subscription = directory.state$.subscribe(record);
  subscription.add(
    directory.targetsConfirmed$.subscribe(asOfMs => {
      isConfirmed = true;
      record();
      history.confirm(asOfMs);
    }),
  );
  const windowMs = () => streamWindowMs(directory.current().table);
  const known = (service: string, lengthMs = windowMs()) =>
    history.known(service, {
      windowMs: lengthMs,
      listAgeMs: directory.targetsAgeMs(),
      nowMs: clock.monotonicMs(),
    });
  const statementOf = (service: string): readonly VersionStatement[] => {
    const versions = known(service);
    if (versions.kind === 'unsure') return [];
    const ageMs = Math.min(windowMs(), Math.ceil(directory.targetsAgeMs()));
    return [
      {
        service,
        hasSeveral: versions.kind === 'several',
        onlyVersion: versions.kind === 'only' ? versions.softwareVersion : '',
        ageMs,
        windowMs: Math.floor(windowMs() - ageMs),
      },
    ];
  };
  return {
    known,
    isSettled: (service, softwareVersion) =>
      history.isSettled(service, softwareVersion, clock.monotonicMs()),
    windowMs,
    statements: () =>
      [...streamingServices(directory.current().table)]
        .slice(0, MAX_STATEMENTS)
        .flatMap(statementOf),
    close: () => subscription.unsubscribe(),
  };
}
