/**
 * State of the targets at one entry, from the registry, the target nodes' reports
 * and the entry's own requests.
 */
import {fromBinary} from '@bufbuild/protobuf';
import {
  ADAPTER_STATE,
  ANY_VERSION,
  ASSUMED_ENTRIES,
  NO_REQUESTS,
  UNKNOWN_HEALTH,
  entriesToShare,
  firstProbe,
  limitShare,
  mayServeStream,
  rateAt,
  sendRate,
  withEntryCount,
  withRequest,
  probeIntervalMs,
  type AdapterState,
  type EntryCounts,
  holdsAdapter,
  type NeededAdapter,
  type PlacementCandidate,
  type Registry,
  type RegistryEntry,
  type RoutedService,
  type RouteTable,
  type StreamVersions,
  type TargetHealth,
  type Unavailability,
} from '@balsamnotch/core';
import {splitAddress} from '@balsamnotch/daemon';
import {HoldResponseSchema, type EngineReport} from '@balsamnotch/wire';
import type {GatewayContext} from '../node/context.js';
import {AccountAllotments} from './accounts/accountallotments.js';
import type {StatementObserver} from './attempt.js';
import {TargetConnections} from './connections.js';
import {ServiceIdleTimes} from './serviceidletimes.js';
import {openDatagramSocket, type DatagramSocket} from '../node/datagrams.js';
import {
  createServiceVersions,
  type ServiceVersions,
} from '../node/serviceversions.js';
import {StatedLimit} from '../node/statedlimit.js';
import type {NodeLink} from './nodelink.js';
import type {TargetsSettings} from './settings.js';
import type {StatedAvailability} from './statedavailability.js';
import {TargetCrashes} from './targetcrashes.js';
import {
  linksBeside,
  meanOfReports,
  openTargetLink,
  totalLinks,
} from './targetlink.js';
import {
  TargetStatements,
  commonUnavailability,
  leastPauseMs,
  updateReuse,
} from './targetstatements.js';

/**
 * Limit on the connections of an entry to one target, far below the number that a
 * target accepts in total.
 */
const MAX_CONNECTIONS_PER_TARGET = 64;

/**
 * Age up to which a report decides placement, in milliseconds. Older than a
 * heartbeat, the list of the store is more recent.
 */
const MAX_REPORT_AGE_MS = 1_500;

/** State of one target, as known to this entry. */
export interface TargetState {
  /** The target's current entry in the registry. */
  listing: RegistryEntry;
  health: TargetHealth;
  /** Number of requests that this entry has in progress at the target. */
  inProgress: number;
  /** Limit that its answers state, and this entry's share of it. */
  readonly limit: StatedLimit;
  /** Whether its answers state that it takes new requests. */
  readonly stated: StatedAvailability;
  /** `ip:port` of the target node. */
  nodeAddress: string;
  readonly connections: TargetConnections;
}

/** The targets known to an entry, and its exchanges with their target nodes. */
export class Targets {
  /** Crashes of targets without a target node. */
  readonly crashes: TargetCrashes;
  /** Allotments of client accounts at this entry. */
  readonly accounts: AccountAllotments;
  /** Software versions of the services as the list shows them. */
  readonly versions: ServiceVersions;
  /** By target id. */
  private readonly targets = new Map<string, TargetState>();
  /** By address of the target node. */
  private readonly links = new Map<string, NodeLink>();
  private readonly idleTimes: ServiceIdleTimes;
  private readonly statements: TargetStatements;
  private readonly session: number;
  /** Number of leases requested at any target node. */
  private requestedLeases = 0;
  private socket: DatagramSocket | undefined;
  private probeTimer: NodeJS.Timeout | undefined;
  /** Number of the next probe; entries begin their rounds at different target nodes. */
  private nextProbe: number;
  private entryCounts: EntryCounts = [];
  /** Rate at which this entry sends requests to plain services. */
  private plainRate = NO_REQUESTS;

  constructor(
    private readonly context: GatewayContext,
    private readonly settings: TargetsSettings,
  ) {
    this.crashes = new TargetCrashes({context});
    this.versions = createServiceVersions(context);
    this.accounts = new AccountAllotments({
      context,
      entries: () => this.sharingEntries() || ASSUMED_ENTRIES,
      links: () => totalLinks(this.links),
      tolerance: settings.allotmentTolerance,
    });
    this.idleTimes = new ServiceIdleTimes(context);
    this.statements = new TargetStatements(context);
    this.session = Math.floor(context.random() * 2 ** 32);
    this.nextProbe = firstProbe(context.random());
  }

  /** Starts the exchanges with target nodes; rejects if the address cannot be bound. */
  async open(): Promise<void> {
    const {log, metrics} = this.context;
    this.socket = await openDatagramSocket({
      listen: this.settings.nodeListen,
      onDatagram: (data, from) => {
        const response = fromBinary(HoldResponseSchema, data);
        this.links.get(from)?.handleResponse(response);
      },
      log,
      metrics,
    });
    this.scheduleProbe();
  }

  /** Probes the target nodes in turn. */
  private scheduleProbe(): void {
    const nowMs = this.context.clock.monotonicMs();
    const entries = this.entryCount();
    this.entryCounts = withEntryCount(this.entryCounts, entries, nowMs);
    const intervalMs = probeIntervalMs(entries);
    this.probeTimer = setTimeout(
      () => {
        const links = [...this.links.values()];
        this.nextProbe += 1;
        links[this.nextProbe % Math.max(1, links.length)]?.probe(
          intervalMs * links.length,
          rateAt(this.plainRate, this.context.clock.monotonicMs()),
        );
        this.scheduleProbe();
      },
      intervalMs * (0.9 + 0.2 * this.context.random()),
    );
  }

  private openLink(address: string): NodeLink {
    return openTargetLink({
      context: this.context,
      session: this.session,
      address,
      createLeaseId: () => (this.requestedLeases += 1),
      linkCount: () => this.links.size,
      send: (data, to) => this.socket?.send(data, to),
      versions: this.versions,
      onTotals: totals => this.accounts.recordTotals(address, totals),
    });
  }

  /**
   * Updates the targets from the registry, and keeps a link to each target node of
   * an engine.
   */
  update(registry: Registry, table: RouteTable | undefined): void {
    for (const [id, entry] of registry) {
      const target = this.targets.get(id) ?? this.createTarget(entry);
      const previous = target.listing.target;
      const isChanged = previous !== entry.target;
      if (previous.incarnationMs !== entry.target.incarnationMs) {
        target.limit.reset();
      }
      target.stated.adoptIncarnation(entry.target.incarnationMs);
      updateReuse(target);
      // A target that restarts under the same id may have a new address.
      target.listing = entry;
      target.nodeAddress = this.nodeAddress(entry);
      this.targets.set(id, target);
      if (isChanged) this.linkOf(target)?.recentAdapters.record(entry.target);
    }
    for (const [id, target] of this.targets) {
      if (registry.has(id)) continue;
      this.targets.delete(id);
      target.connections.closeIdle();
      this.statements.keep(id, target.stated);
    }
    this.updateLinks(table);
    this.crashes.update(registry);
  }

  private nodeAddress({target}: RegistryEntry): string {
    return `${splitAddress(target.address).host}:${this.settings.nodePort}`;
  }

  private createTarget(entry: RegistryEntry): TargetState {
    return {
      listing: entry,
      health: UNKNOWN_HEALTH,
      inProgress: 0,
      limit: new StatedLimit({
        share: () => this.plainShare(),
        // Entries that hear of a limit at the same time must not send at the same time.
        initialTokens: this.context.random,
      }),
      stated: this.statements.of(entry.target),
      nodeAddress: this.nodeAddress(entry),
      connections: new TargetConnections(
        MAX_CONNECTIONS_PER_TARGET,
        this.idleTimes.of(entry.target.service),
      ),
    };
  }

  /** Opens the missing links to the target nodes of engines and closes those no longer needed. */
  private updateLinks(table: RouteTable | undefined): void {
    const neededAddresses = new Set<string>();
    for (const {listing, nodeAddress} of this.targets.values()) {
      const service = table?.services.get(listing.target.service);
      if (service?.engine !== undefined) neededAddresses.add(nodeAddress);
    }
    for (const address of neededAddresses) {
      if (this.links.has(address)) continue;
      this.links.set(address, this.openLink(address));
    }
    for (const [address, link] of this.links) {
      if (neededAddresses.has(address)) continue;
      link.close();
      this.links.delete(address);
    }
  }

  /** Returns the target with the given id; undefined if the registry does not list it. */
  get(id: string): TargetState | undefined {
    return this.targets.get(id);
  }

  /** Link to the target node; undefined for a plain service. */
  linkOf(target: TargetState): NodeLink | undefined {
    return this.links.get(target.nodeAddress);
  }

  /** Links to the target nodes beside the targets of a service, by address. */
  linksOfService(service: string): ReadonlyMap<string, NodeLink> {
    return linksBeside(this.targets.values(), this.links, service);
  }

  /**
   * Recent report of the target node, unless it is about a different incarnation of
   * the target.
   */
  reportOf(target: TargetState): EngineReport | undefined {
    const report = this.linkOf(target)?.report(MAX_REPORT_AGE_MS);
    const {incarnationMs} = target.listing.target;
    const isSameIncarnation = report?.incarnationMs === incarnationMs;
    return isSameIncarnation || incarnationMs === 0 ? report : undefined;
  }

  /**
   * State of the adapter at the target according to a recent report of its target
   * node, or according to the registry if there is none.
   */
  private adapterState(
    target: TargetState,
    needed: NeededAdapter,
    report: EngineReport | undefined,
  ): AdapterState {
    const models = report?.models ?? target.listing.target.models;
    if (holdsAdapter(models, needed)) return ADAPTER_STATE.loaded;
    const link = this.linkOf(target);
    if (link === undefined || link.isLost()) return ADAPTER_STATE.unavailable;
    // A grant is newer than the report, but does not state the version.
    const isGranted = link.isGrantedSinceReport(needed.model, needed.adapter);
    if (isGranted && needed.version === 0) return ADAPTER_STATE.loaded;
    return link.recentAdapters.has(needed.model, needed.adapter)
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

  /**
   * Targets of a service, of these software versions, that may serve a request, except those in
   * `excluded`.
   */
  candidates(
    service: RoutedService,
    needed: NeededAdapter | undefined,
    excluded: ReadonlySet<string>,
    versions: StreamVersions = ANY_VERSION,
  ): readonly PlacementCandidate[] {
    const candidates: PlacementCandidate[] = [];
    for (const [id, target] of this.targets) {
      const {listing} = target;
      const {service: serviceName, leaving, softwareVersion} = listing.target;
      if (serviceName !== service.name || leaving || excluded.has(id)) continue;
      if (!mayServeStream(versions, softwareVersion)) continue;
      if (target.stated.unavailability() !== undefined) continue;
      const report = service.engine && this.reportOf(target);
      if (report?.leaving) continue;
      candidates.push(this.candidate(id, target, needed, report));
    }
    return candidates;
  }

  /** Reason for which targets of a service that are listed get no requests; undefined if none. */
  unavailability(service: RoutedService): Unavailability | undefined {
    return commonUnavailability(this.statementsOf(service));
  }

  /**
   * Time until the pause of a target of the service ends, in milliseconds; 0 if a target that is
   * not leaving has asked for none.
   */
  leastPauseMs(service: RoutedService): number {
    return leastPauseMs(this.statementsOf(service));
  }

  /** Statements of the targets of a service that are not known to leave from elsewhere. */
  private statementsOf(service: RoutedService): readonly StatedAvailability[] {
    return [...this.targets.values()]
      .filter(
        target =>
          target.listing.target.service === service.name &&
          !target.listing.target.leaving &&
          this.reportOf(target)?.leaving !== true,
      )
      .map(({stated}) => stated);
  }

  /** Returns what handles the statements in the answer to a request that is about to be sent. */
  statementObserver(target: TargetState): StatementObserver {
    return {
      ...this.statements.observer(target),
      onLimit: limitPerSecond => this.recordLimit(target, limitPerSecond),
    };
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
      promptTokensPerMs: report?.promptTokensPerMs ?? 0,
      // The target node of an engine counts the starts of all entries.
      limitWaitMs: needed
        ? (report?.limitWaitMs ?? 0)
        : target.limit.waitMs(0, this.context.clock.monotonicMs()),
      adapter: needed && this.adapterState(target, needed, report),
    };
  }

  /** Records the limit that an answer of the target states; undefined for none. */
  private recordLimit(
    target: TargetState,
    limitPerSecond: number | undefined,
  ): void {
    const perSecond =
      limitPerSecond === undefined ? 0 : sendRate(limitPerSecond);
    const {log, metrics} = this.context;
    const {id, service, incarnationMs} = target.listing.target;
    const wasLimited = target.limit.perSecond > 0;
    const nowMs = this.context.clock.monotonicMs();
    target.limit.record(perSecond, nowMs, nowMs);
    const link = this.linkOf(target);
    const isKnown = (link?.report()?.limitPerS ?? 0) > 0;
    if (wasLimited || isKnown || perSecond > 0) {
      link?.stateLimit(perSecond, incarnationMs);
    }
    if (wasLimited === perSecond > 0) return;
    metrics.count(wasLimited ? 'target_limit_ended' : 'target_limited', id);
    log.warn('target_limit', {target: id, service, per_second: perSecond});
  }

  /**
   * Counts the send of a request. `isGranted` tells whether the target node granted it; the
   * node counts those against the limit of its engine.
   */
  countSend(target: TargetState, isGranted: boolean): void {
    const nowMs = this.context.clock.monotonicMs();
    if (!isGranted) target.limit.recordStart(nowMs);
    if (this.linkOf(target) === undefined) {
      this.plainRate = withRequest(this.plainRate, nowMs);
    }
  }

  /** This entry's share of limits that all entries have in common. */
  private plainShare(): number {
    const nowMs = this.context.clock.monotonicMs();
    return limitShare({
      own: rateAt(this.plainRate, nowMs),
      all: meanOfReports(this.links, report => report.plainRequestsPerS),
      senders: this.entryCount() || ASSUMED_ENTRIES,
    });
  }

  /** Number of entries of the deployment: the mean of the target nodes' estimates; 0 if unknown. */
  entryCount(): number {
    return Math.ceil(meanOfReports(this.links, ({entries}) => entries));
  }

  /** Number of entries that a limit of the deployment is divided by; 0 if it was never known. */
  sharingEntries(): number {
    const nowMs = this.context.clock.monotonicMs();
    return entriesToShare(
      withEntryCount(this.entryCounts, this.entryCount(), nowMs),
      nowMs,
    );
  }

  /**
   * Closes all idle connections. After a pause of the process, the targets may
   * have closed them unnoticed.
   */
  closeIdle(): void {
    for (const {connections} of this.targets.values()) connections.closeIdle();
  }

  /** Ends the exchanges with the target nodes and closes all idle connections. */
  close(): void {
    clearTimeout(this.probeTimer);
    for (const link of this.links.values()) link.close();
    this.versions.close();
    this.accounts.close();
    this.socket?.close();
    this.closeIdle();
  }
}
