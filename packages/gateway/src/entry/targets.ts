/**
 * State of the targets at one entry, from the registry, the target nodes' reports
 * and the entry's own requests.
 */
import {
  ADAPTER_STATE,
  UNKNOWN_HEALTH,
  type AdapterState,
  holdsAdapter,
  type NeededAdapter,
  type PlacementCandidate,
  type Registry,
  type RegistryEntry,
  type RoutedService,
  type RouteTable,
  type TargetHealth,
} from '@balsamnotch/core';
import {splitAddress} from '@balsamnotch/daemon';
import type {EngineReport} from '@balsamnotch/wire';
import type {GatewayContext} from '../node/context.js';
import {IdleTimes, TargetConnections} from './connections.js';
import {openHoldStream, type HoldStream} from './hold.js';

/**
 * Limit on the connections of an entry to one target, far below the number that a
 * target accepts in total.
 */
const MAX_CONNECTIONS_PER_TARGET = 64;

/** State of one target, as known to this entry. */
export interface TargetState {
  /** The target's current entry in the registry. */
  listing: RegistryEntry;
  health: TargetHealth;
  /** Number of requests that this entry has in progress at the target. */
  inProgress: number;
  /** `ip:port` of the target node. */
  nodeAddress: string;
  readonly connections: TargetConnections;
}

/** The targets known to an entry, and its streams to their target nodes. */
export class Targets {
  /** By target id. */
  private readonly targets = new Map<string, TargetState>();
  /** By address of the target node. */
  private readonly streams = new Map<string, HoldStream>();
  /** By service. */
  private readonly idleTimes = new Map<string, IdleTimes>();

  constructor(
    private readonly context: GatewayContext,
    /** Port of the target nodes' Connect servers. */
    private readonly nodePort: number,
  ) {}

  /**
   * Updates the targets from the registry, and keeps one stream open to each
   * target node of an engine.
   */
  update(registry: Registry, table: RouteTable | undefined): void {
    for (const [id, entry] of registry) {
      const target = this.targets.get(id) ?? this.createTarget(entry);
      // A target that restarts under the same id may have a new address.
      target.listing = entry;
      target.nodeAddress = this.nodeAddress(entry);
      this.targets.set(id, target);
    }
    for (const [id, target] of this.targets) {
      if (registry.has(id)) continue;
      this.targets.delete(id);
      target.connections.closeIdle();
    }
    this.updateStreams(table);
  }

  private nodeAddress({target}: RegistryEntry): string {
    return `${splitAddress(target.address).host}:${this.nodePort}`;
  }

  private createTarget(entry: RegistryEntry): TargetState {
    return {
      listing: entry,
      health: UNKNOWN_HEALTH,
      inProgress: 0,
      nodeAddress: this.nodeAddress(entry),
      connections: new TargetConnections(
        MAX_CONNECTIONS_PER_TARGET,
        this.idleTimesOf(entry.target.service),
      ),
    };
  }

  /** Idle times shared by the connections to the targets of a service. */
  private idleTimesOf(service: string): IdleTimes {
    const {clock, log, metrics} = this.context;
    const idleTimes =
      this.idleTimes.get(service) ??
      new IdleTimes(
        () => clock.monotonicMs(),
        idleMs => {
          metrics.count('idle_reset', service);
          log.warn('idle_connection_reset', {
            service,
            idle_ms: Math.round(idleMs),
          });
        },
      );
    this.idleTimes.set(service, idleTimes);
    return idleTimes;
  }

  /** Opens the missing streams to the target nodes of engines and closes those no longer needed. */
  private updateStreams(table: RouteTable | undefined): void {
    const neededAddresses = new Set<string>();
    for (const {listing, nodeAddress} of this.targets.values()) {
      const service = table?.services.get(listing.target.service);
      if (service?.engine !== undefined) neededAddresses.add(nodeAddress);
    }
    for (const address of neededAddresses) {
      if (!this.streams.has(address)) {
        this.streams.set(address, openHoldStream(address, this.context));
      }
    }
    for (const [address, stream] of this.streams) {
      if (neededAddresses.has(address)) continue;
      stream.close();
      this.streams.delete(address);
    }
  }

  /** Returns the target with the given id; undefined if the registry does not list it. */
  get(id: string): TargetState | undefined {
    return this.targets.get(id);
  }

  /** Stream to the target node; undefined for a plain service. */
  streamOf(target: TargetState): HoldStream | undefined {
    return this.streams.get(target.nodeAddress);
  }

  /** Last report of the target node, unless it is about a different incarnation of the target. */
  reportOf(target: TargetState): EngineReport | undefined {
    const report = this.streamOf(target)?.report();
    const {incarnationMs} = target.listing.target;
    const isSameIncarnation = report?.incarnationMs === incarnationMs;
    return isSameIncarnation || incarnationMs === 0 ? report : undefined;
  }

  /**
   * State of the adapter at the target according to the report of its target node,
   * or according to the registry if there is no report.
   */
  private adapterState(
    target: TargetState,
    needed: NeededAdapter,
    report: EngineReport | undefined,
  ): AdapterState {
    if (report === undefined) {
      return holdsAdapter(target.listing.target.models, needed)
        ? ADAPTER_STATE.loaded
        : ADAPTER_STATE.unavailable;
    }
    if (holdsAdapter(report.models, needed)) return ADAPTER_STATE.loaded;
    const stream = this.streamOf(target);
    // A grant is newer than the report, but does not state the version.
    const isGranted =
      stream?.isGrantedSinceReport(needed.model, needed.adapter) ?? false;
    if (isGranted && needed.version === 0) return ADAPTER_STATE.loaded;
    return stream?.recentAdapters.has(needed.model, needed.adapter)
      ? ADAPTER_STATE.recent
      : ADAPTER_STATE.absent;
  }

  /**
   * Version of the adapter that the target is expected to serve: the later of the
   * version that it reports and the version that is required; 0 for any.
   */
  expectedVersion(target: TargetState, needed: NeededAdapter): number {
    if (needed.version === 0) return 0;
    const reported = this.reportOf(target)
      ?.models.find(({model}) => model === needed.model)
      ?.adapters.find(({adapter}) => adapter === needed.adapter);
    return Math.max(needed.version, reported?.version ?? 0);
  }

  /** Targets of a service that may serve a request, except those in `excluded`. */
  candidates(
    service: RoutedService,
    needed: NeededAdapter | undefined,
    excluded: ReadonlySet<string>,
  ): readonly PlacementCandidate[] {
    const candidates: PlacementCandidate[] = [];
    for (const [id, target] of this.targets) {
      const {service: serviceName, leaving} = target.listing.target;
      if (serviceName !== service.name || leaving || excluded.has(id)) continue;
      const report = service.engine && this.reportOf(target);
      if (report?.leaving) continue;
      candidates.push(this.candidate(id, target, needed, report));
    }
    return candidates;
  }

  private candidate(
    id: string,
    target: TargetState,
    needed: NeededAdapter | undefined,
    report: EngineReport | undefined,
  ): PlacementCandidate {
    const {target: registered, missingUntilMs} = target.listing;
    const reportedInProgress = report
      ? Math.max(report.leases, report.running + report.waiting)
      : 0;
    return {
      id,
      rankName: registered.address,
      isLocal: registered.failureDomain === this.context.failureDomain,
      isPossiblyGone: missingUntilMs > 0 || report?.reachable === false,
      health: target.health,
      inProgress: Math.max(target.inProgress, reportedInProgress),
      waiting: report?.waiting ?? 0,
      slots: registered.slots,
      loads: report?.loads ?? 0,
      modelReadyMs: report?.modelReadyMs ?? 0,
      adapter: needed && this.adapterState(target, needed, report),
    };
  }

  /** Largest number of entries connected to one target node, as reported; 0 without reports. */
  entryCount(): number {
    let maxEntries = 0;
    for (const stream of this.streams.values()) {
      maxEntries = Math.max(maxEntries, stream.report()?.entries ?? 0);
    }
    return maxEntries;
  }

  /**
   * Closes all idle connections. After a pause of the process, the targets may
   * have closed them unnoticed.
   */
  closeIdle(): void {
    for (const {connections} of this.targets.values()) connections.closeIdle();
  }

  /** Closes the streams to the target nodes and all idle connections. */
  close(): void {
    for (const stream of this.streams.values()) stream.close();
    this.closeIdle();
  }
}
