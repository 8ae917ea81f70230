/** Targets as one entry sees them: listed, reported by their target nodes, and observed on requests. */
import {
  ADAPTER_STATE,
  UNOBSERVED,
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

/** Connections of one entry to one target; far below what a target accepts from all callers. */
const MAX_CONNECTIONS = 64;

/** A target with what this entry holds for it. */
export interface TargetState {
  /** What the platform lists. */
  listing: RegistryEntry;
  health: TargetHealth;
  /** Requests of this entry in progress. */
  inProgress: number;
  /** `ip:port` of the node beside the target. */
  nodeAddress: string;
  readonly connections: TargetConnections;
}

/** Targets of an entry. */
export class Targets {
  private readonly targets = new Map<string, TargetState>();
  private readonly streams = new Map<string, HoldStream>();
  private readonly idleTimes = new Map<string, IdleTimes>();

  constructor(
    private readonly context: GatewayContext,
    /** Port of the target nodes' connect servers. */
    private readonly nodePort: number,
  ) {}

  /** Follows the registry: keeps state of listed targets, and one stream for each engine's VM. */
  update(registry: Registry, table: RouteTable | undefined): void {
    for (const [id, entry] of registry) {
      const known = this.targets.get(id) ?? this.newTarget(entry);
      // A target that starts again under its id may have another address.
      known.listing = entry;
      known.nodeAddress = this.nodeAddress(entry);
      this.targets.set(id, known);
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

  private newTarget(entry: RegistryEntry): TargetState {
    return {
      listing: entry,
      health: UNOBSERVED,
      inProgress: 0,
      nodeAddress: this.nodeAddress(entry),
      connections: new TargetConnections(
        MAX_CONNECTIONS,
        this.idleTimesOf(entry.target.service),
      ),
    };
  }

  private idleTimesOf(service: string): IdleTimes {
    const {clock, log, metrics} = this.context;
    const known =
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
    this.idleTimes.set(service, known);
    return known;
  }

  private updateStreams(table: RouteTable | undefined): void {
    const wanted = new Set<string>();
    for (const {listing, nodeAddress} of this.targets.values()) {
      const service = table?.services.get(listing.target.service);
      if (service?.engine !== undefined) wanted.add(nodeAddress);
    }
    for (const address of wanted) {
      if (!this.streams.has(address)) {
        this.streams.set(address, openHoldStream(address, this.context));
      }
    }
    for (const [address, stream] of this.streams) {
      if (wanted.has(address)) continue;
      stream.close();
      this.streams.delete(address);
    }
  }

  get(id: string): TargetState | undefined {
    return this.targets.get(id);
  }

  /** Stream to the node beside the target. */
  streamOf(target: TargetState): HoldStream | undefined {
    return this.streams.get(target.nodeAddress);
  }

  /** Report of the node beside the target, if it speaks of this start of it. */
  reportOf(target: TargetState): EngineReport | undefined {
    const report = this.streamOf(target)?.report();
    const {incarnationMs} = target.listing.target;
    const isSame = report?.incarnationMs === incarnationMs;
    return isSame || incarnationMs === 0 ? report : undefined;
  }

  /** Presence of the adapter at the target, by the report of the node beside it. */
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
    // A grant is newer than the report; it says nothing about the version.
    const isGranted = stream?.wasGranted(needed.model, needed.adapter) ?? false;
    if (isGranted && needed.version === 0) return ADAPTER_STATE.loaded;
    return stream?.recent.has(needed.model, needed.adapter)
      ? ADAPTER_STATE.recent
      : ADAPTER_STATE.absent;
  }

  /**
   * Version of the adapter that the target is expected to serve: the one that it
   * reports, unless that is older than the newest declared; 0 for any.
   */
  expectedVersion(target: TargetState, needed: NeededAdapter): number {
    if (needed.version === 0) return 0;
    const held = this.reportOf(target)
      ?.models.find(({model}) => model === needed.model)
      ?.adapters.find(({adapter}) => adapter === needed.adapter);
    return Math.max(needed.version, held?.version ?? 0);
  }

  /** Targets of a service that may take a request. */
  candidates(
    service: RoutedService,
    needed: NeededAdapter | undefined,
    excluded: ReadonlySet<string>,
  ): readonly PlacementCandidate[] {
    const found: PlacementCandidate[] = [];
    for (const [id, target] of this.targets) {
      const {service: name, leaving} = target.listing.target;
      if (name !== service.name || leaving || excluded.has(id)) continue;
      const report = service.engine && this.reportOf(target);
      if (report?.leaving) continue;
      found.push(this.candidate(id, target, needed, report));
    }
    return found;
  }

  private candidate(
    id: string,
    target: TargetState,
    needed: NeededAdapter | undefined,
    report: EngineReport | undefined,
  ): PlacementCandidate {
    const {target: listed, missingUntilMs} = target.listing;
    const reported = report
      ? Math.max(report.leases, report.running + report.waiting)
      : 0;
    return {
      id,
      rankName: listed.address,
      isLocal: listed.failureDomain === this.context.failureDomain,
      isDoubtful: missingUntilMs > 0 || report?.reachable === false,
      health: target.health,
      inProgress: Math.max(target.inProgress, reported),
      waiting: report?.waiting ?? 0,
      slots: listed.slots,
      loads: report?.loads ?? 0,
      modelReadyMs: report?.modelReadyMs ?? 0,
      adapter: needed && this.adapterState(target, needed, report),
    };
  }

  /** Entries that hold streams to target nodes; 0 when none has reported. */
  entries(): number {
    let most = 0;
    for (const stream of this.streams.values()) {
      most = Math.max(most, stream.report()?.entries ?? 0);
    }
    return most;
  }

  /** Closes idle connections, which may have been closed unseen while the process was stopped. */
  closeIdle(): void {
    for (const {connections} of this.targets.values()) connections.closeIdle();
  }

  close(): void {
    for (const stream of this.streams.values()) stream.close();
    this.closeIdle();
  }
}
