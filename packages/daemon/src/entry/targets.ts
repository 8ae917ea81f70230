/** Tracks the targets of the deployment: status, connections and probes. */
import {create} from '@bufbuild/protobuf';
import {
  NODE_STATE,
  avoidedTargets,
  liveTargets,
  remoteDeadlineMs,
  unusableTargets,
  usableTargets,
  toTargetView,
  withEachTarget,
  withEnd,
  withFailure,
  withVmList,
  withReport,
  withSend,
  withTargetStatus,
  withoutReport,
  type ListedTarget,
  type Membership,
  type TargetStatus,
  type TargetView,
} from '@balsamnotch/core';
import type {VM} from '@balsamnotch/systems';
import * as wire from '@balsamnotch/wire';
import {BehaviorSubject, Subscription, interval, type Observable} from 'rxjs';
import type {NodeContext} from '../node/context.js';
import {reportFromWire} from '../node/convert.js';
import {CONNECT_TIMEOUT_MS, Peer, type Session} from './peer.js';

/** Maximum age of a report that is used for routing without a probe, in milliseconds. */
export const MAX_REPORT_AGE_MS = 1_000;

/** Maximum time that a request waits for the probes of its candidates, in milliseconds. */
const PROBE_WAIT_MS = 25;

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 800;

/** Probe interval for targets that accept no new work, in milliseconds. */
const UNUSABLE_PROBE_INTERVAL_MS = 1_000;

/** Probe interval for targets that report that they are starting, in milliseconds. */
const STARTING_PROBE_INTERVAL_MS = 250;

/** Fields of an envelope that depend on the request. */
export interface EnvelopeFields {
  readonly requestId: string;
  readonly caller: string;
  readonly budgetMs: number;
  /** Required incarnation of the target; empty for any. */
  readonly incarnation: string;
}

function listedTarget(vm: VM): ListedTarget {
  const {name, service, address, failureDomain, state} = vm;
  return {name, service, address, failureDomain, state};
}

/** Maintains what this entry knows about targets, and its connections to them. */
export class Targets {
  private readonly state = new BehaviorSubject<Membership>(new Map());
  private readonly peers = new Map<string, Peer>();
  private readonly probes = new Map<string, Promise<void>>();
  private readonly subscriptions = new Subscription();
  private probeRoundAtMs = 0;
  private isCatchingUp = false;

  constructor(private readonly context: NodeContext) {}

  /** Emits the membership on subscription and on each change. */
  get membership$(): Observable<Membership> {
    return this.state;
  }

  /** Subscribes to the VM list and starts probing the listed targets. */
  start(): void {
    this.subscriptions.add(
      this.context.vms$.subscribe(vms => this.applyVmList(vms)),
    );
    this.subscriptions.add(
      interval(STARTING_PROBE_INTERVAL_MS).subscribe(() =>
        this.probeUnusable(),
      ),
    );
  }

  /** Closes all connections and stops scheduling probes. */
  stop(): void {
    this.subscriptions.unsubscribe();
    for (const peer of this.peers.values()) peer.close();
    this.peers.clear();
  }

  /** Resolves once all probes in progress at the time of the call have ended. */
  async whenProbed(): Promise<void> {
    await Promise.all(this.probes.values());
  }

  status(name: string): TargetStatus | undefined {
    return this.state.value.get(name);
  }

  /** Returns the targets of a service that currently accept new work. */
  usable(service: string): readonly TargetStatus[] {
    return usableTargets(this.state.value, service, this.nowMs());
  }

  /** Returns the names of targets of a service that are avoided after failed attempts. */
  avoided(service: string): readonly string[] {
    return avoidedTargets(this.state.value, service, this.nowMs()).map(
      ({listed}) => listed.name,
    );
  }

  /** Returns the views of all targets of a service that are not leaving. */
  views(service: string): readonly TargetView[] {
    return liveTargets(this.state.value, service).map(toTargetView);
  }

  /**
   * Probes the named targets whose report is missing or outdated. Waits at most
   * {@link PROBE_WAIT_MS} for the answers.
   */
  async refresh(names: readonly string[]): Promise<void> {
    const oldestMs = this.nowMs() - MAX_REPORT_AGE_MS;
    const outdated = names.filter(name => {
      const status = this.status(name);
      return status?.report === undefined || status.reportAtMs < oldestMs;
    });
    if (outdated.length === 0) return;
    const probes = outdated.map(name => this.probe(name));
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = setTimeout(resolve, PROBE_WAIT_MS);
    });
    await Promise.race([Promise.all(probes), timeout]);
    clearTimeout(timer);
  }

  /**
   * Connects to a target within `limitMs` and at most {@link CONNECT_TIMEOUT_MS}. Resolves to
   * undefined if that fails; nothing of the request has been sent in that case.
   */
  async connect(
    name: string,
    limitMs: number = CONNECT_TIMEOUT_MS,
  ): Promise<Session | undefined> {
    const address = this.status(name)?.listed.address;
    if (address === undefined) return undefined;
    const timeoutMs = Math.min(limitMs, CONNECT_TIMEOUT_MS);
    const startedMs = this.nowMs();
    const endMs = startedMs + timeoutMs;
    const session = await this.peer(name, address).connect(timeoutMs);
    // Running out of a limit shorter than the connect timeout does not show that the
    // target failed.
    const isConclusive =
      timeoutMs === CONNECT_TIMEOUT_MS || this.nowMs() < endMs;
    if (session === undefined && isConclusive) this.markFailed(name, startedMs);
    return session;
  }

  /** Counts answers with unknown fields, which come from a later protocol version. */
  countUnknownFields({
    $unknown,
  }: {
    readonly $unknown?: readonly unknown[];
  }): void {
    if ($unknown === undefined) return;
    this.context.metrics.count('unknown_field', 'answer');
  }

  /**
   * Updates the status of a target with the report from its answer, and catches up with
   * its revision.
   */
  recordReport(name: string, message: wire.Report | undefined): void {
    if (message === undefined) return;
    this.countUnknownFields(message);
    const report = reportFromWire(message);
    const status = this.status(name);
    if (status === undefined || report.node !== name) {
      this.context.metrics.count('report_ignored');
      return;
    }
    this.updateStatus(name, current =>
      withReport(current, report, this.nowMs()),
    );
    void this.catchUp(report.revision, status.listed.address);
  }

  /**
   * Catches up with a newer revision. Runs one exchange at a time, because every answer
   * reports the revision.
   */
  private async catchUp(revision: number, address: string): Promise<void> {
    const {configuration} = this.context;
    if (this.isCatchingUp || revision <= configuration.revision()) return;
    this.isCatchingUp = true;
    try {
      await configuration.catchUp(revision, address);
    } finally {
      this.isCatchingUp = false;
    }
  }

  /** Records a failed attempt that began at `startedMs` on the monotonic clock. */
  markFailed(name: string, startedMs: number): void {
    const random = this.context.random();
    const nowMs = this.nowMs();
    this.updateStatus(name, current =>
      withFailure(current, nowMs, random, startedMs),
    );
  }

  /** Counts a request to the target as in progress until the returned function is called. */
  beginSend(name: string): () => void {
    this.updateStatus(name, withSend);
    const reportCount = this.status(name)?.reports ?? 0;
    return () =>
      this.updateStatus(name, current => withEnd(current, reportCount));
  }

  /** Drops all reports and probes all targets; used after a pause of this process. */
  dropReports(): void {
    this.state.next(withEachTarget(this.state.value, withoutReport));
    for (const name of this.state.value.keys()) void this.probe(name);
  }

  /** Creates the envelope of a request to the target. */
  envelope(name: string, fields: EnvelopeFields): wire.Envelope {
    const status = this.status(name);
    const {requestId, caller, budgetMs, incarnation} = fields;
    // The clock value in a report is only valid for the incarnation that sent it.
    const isKnownIncarnation =
      incarnation !== '' && status?.report?.incarnation === incarnation;
    return create(wire.EnvelopeSchema, {
      sender: this.context.settings.name,
      revision: BigInt(this.context.configuration.revision()),
      expectedIncarnation: incarnation,
      deadlineNodeClockMs: isKnownIncarnation
        ? this.deadlineInTargetClockMs(status, budgetMs)
        : 0,
      budgetMs,
      requestId,
      caller,
    });
  }

  /**
   * Returns the deadline on the target's clock, in milliseconds. The target must have a
   * report.
   */
  deadlineInTargetClockMs(
    {report, reportAtMs}: TargetStatus,
    budgetMs: number,
  ): number {
    const clock = {
      nodeClockMs: report?.nodeClockMs ?? 0,
      receivedAtMs: reportAtMs,
    };
    return remoteDeadlineMs(clock, this.nowMs(), budgetMs);
  }

  /** Requests the report of a target. Concurrent calls share one probe. */
  probe(name: string): Promise<void> {
    const running = this.probes.get(name);
    if (running !== undefined) return running;
    const probe = this.probeOnce(name).finally(() => this.probes.delete(name));
    this.probes.set(name, probe);
    return probe;
  }

  private nowMs(): number {
    return this.context.clock.monotonicMs();
  }

  private updateStatus(
    name: string,
    transition: (status: TargetStatus) => TargetStatus,
  ): void {
    this.state.next(withTargetStatus(this.state.value, name, transition));
  }

  private applyVmList(vms: readonly VM[]): void {
    const listed = vms.filter(vm => vm.role === 'target').map(listedTarget);
    this.state.next(withVmList(this.state.value, listed, this.nowMs()));
    for (const [name, peer] of this.peers) {
      if (this.status(name)?.listed.address === peer.address) continue;
      peer.close();
      this.peers.delete(name);
    }
    for (const {name} of listed) {
      if (this.status(name)?.report === undefined) void this.probe(name);
    }
  }

  private peer(name: string, address: string): Peer {
    const existing = this.peers.get(name);
    if (existing?.address === address) return existing;
    existing?.close();
    const peer = new Peer(address);
    this.peers.set(name, peer);
    return peer;
  }

  /** Probes targets that get no new work, because no answers bring reports from them. */
  private probeUnusable(): void {
    const nowMs = this.nowMs();
    const isDue = nowMs - this.probeRoundAtMs >= UNUSABLE_PROBE_INTERVAL_MS;
    if (isDue) this.probeRoundAtMs = nowMs + this.context.random() * 100;
    for (const {listed, report} of unusableTargets(this.state.value, nowMs)) {
      const isStarting = report?.state === NODE_STATE.starting;
      if (isDue || isStarting) void this.probe(listed.name);
    }
  }

  private async probeOnce(name: string): Promise<void> {
    const startedMs = this.nowMs();
    const session = await this.connect(name);
    if (session === undefined) return;
    const envelope = this.envelope(name, {
      requestId: this.context.randomId(),
      caller: '',
      budgetMs: PROBE_TIMEOUT_MS,
      incarnation: '',
    });
    try {
      const options = {timeoutMs: PROBE_TIMEOUT_MS};
      this.recordReport(name, await session.client.probe({envelope}, options));
    } catch (error) {
      this.context.log.debug('probe_failed', {target: name, error: `${error}`});
      session.abandon();
      this.markFailed(name, startedMs);
    } finally {
      session.release();
    }
  }
}
