/** Targets as this entry knows them: views, connections and probes. */
import {create} from '@bufbuild/protobuf';
import {
  NODE_STATE,
  avoidedTargets,
  liveTargets,
  remoteDeadlineMs,
  unusableTargets,
  usableTargets,
  viewOf,
  withAll,
  withEnd,
  withFailure,
  withList,
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
import {CONNECT_MS, Peer, type Session} from './peer.js';

/** Age from which a report is renewed before it decides, in milliseconds. */
export const REPORT_FRESH_MS = 1_000;

/** Time that a request waits for the probes of its candidates, in milliseconds. */
const PROBE_WAIT_MS = 25;

/** Time for a target to answer a probe, in milliseconds. */
const PROBE_MS = 800;

/** Interval of the probes of targets that take no new work, in milliseconds. */
const IDLE_PROBE_MS = 1_000;

/** Interval of the probes of targets that answered and are starting, in milliseconds. */
const STARTING_PROBE_MS = 250;

/** What an envelope says besides sender and revision. */
export interface EnvelopeParts {
  readonly requestId: string;
  readonly caller: string;
  readonly budgetMs: number;
  /** Incarnation that must answer; empty for any. */
  readonly incarnation: string;
}

function listedTarget(vm: VM): ListedTarget {
  const {name, service, address, failureDomain, state} = vm;
  return {name, service, address, failureDomain, state};
}

/** Controller of what this entry knows about targets. */
export class Targets {
  private readonly state = new BehaviorSubject<Membership>(new Map());
  private readonly peers = new Map<string, Peer>();
  private readonly probes = new Map<string, Promise<void>>();
  private readonly subscriptions = new Subscription();
  private probedMs = 0;
  private catchingUp = false;

  constructor(private readonly context: NodeContext) {}

  /** Snapshots of the membership. */
  get membership$(): Observable<Membership> {
    return this.state;
  }

  /** Follows the VM list and probes each target that it names. */
  start(): void {
    this.subscriptions.add(this.context.vms$.subscribe(vms => this.list(vms)));
    this.subscriptions.add(
      interval(STARTING_PROBE_MS).subscribe(() => this.probeUnusable()),
    );
  }

  /** Ends all connections and probes. */
  stop(): void {
    this.subscriptions.unsubscribe();
    for (const peer of this.peers.values()) peer.close();
    this.peers.clear();
  }

  /** Resolves when each listed target was probed once. */
  async probed(): Promise<void> {
    await Promise.all(this.probes.values());
  }

  status(name: string): TargetStatus | undefined {
    return this.state.value.get(name);
  }

  /** Targets of a service that take new work now. */
  usable(service: string): readonly TargetStatus[] {
    return usableTargets(this.state.value, service, this.nowMs());
  }

  /** Names of targets of a service that get no new work after failed attempts. */
  avoided(service: string): readonly string[] {
    return avoidedTargets(this.state.value, service, this.nowMs()).map(
      ({listed}) => listed.name,
    );
  }

  /** Views of all targets of a service that do not leave. */
  views(service: string): readonly TargetView[] {
    return liveTargets(this.state.value, service).map(viewOf);
  }

  /** Renews outdated reports of the named targets; waits a short time for them. */
  async refresh(names: readonly string[]): Promise<void> {
    const oldest = this.nowMs() - REPORT_FRESH_MS;
    const outdated = names.filter(name => {
      const status = this.status(name);
      return status?.report === undefined || status.reportAtMs < oldest;
    });
    if (outdated.length === 0) return;
    const probes = outdated.map(name => this.probe(name));
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<void>(resolve => {
      timer = setTimeout(resolve, PROBE_WAIT_MS);
    });
    await Promise.race([Promise.all(probes), late]);
    clearTimeout(timer);
  }

  /**
   * Connects to a target within `limitMs`. Returns undefined when that fails;
   * nothing was sent then.
   */
  async connect(
    name: string,
    limitMs: number = CONNECT_MS,
  ): Promise<Session | undefined> {
    const address = this.status(name)?.listed.address;
    if (address === undefined) return undefined;
    const timeMs = Math.min(limitMs, CONNECT_MS);
    const startedMs = this.nowMs();
    const endMs = startedMs + timeMs;
    const session = await this.peer(name, address).connect(timeMs);
    // A request with little time left tells nothing about the target.
    const isConclusive = timeMs === CONNECT_MS || this.nowMs() < endMs;
    if (session === undefined && isConclusive) this.failed(name, startedMs);
    return session;
  }

  /** Counts an answer with fields of a later version of the protocol. */
  countUnknown({$unknown}: {readonly $unknown?: readonly unknown[]}): void {
    if ($unknown === undefined) return;
    this.context.metrics.count('unknown_field', 'answer');
  }

  /** Takes the report of an answer into account. */
  observe(name: string, message: wire.Report | undefined): void {
    if (message === undefined) return;
    this.countUnknown(message);
    const report = reportFromWire(message);
    const status = this.status(name);
    if (status === undefined || report.node !== name) {
      this.context.metrics.count('report_ignored');
      return;
    }
    this.change(name, known => withReport(known, report, this.nowMs()));
    void this.catchUp(report.revision, status.listed.address);
  }

  /** Gets to a newer revision; one exchange at a time, as each answer names it. */
  private async catchUp(revision: number, address: string): Promise<void> {
    const {configuration} = this.context;
    if (this.catchingUp || revision <= configuration.revision()) return;
    this.catchingUp = true;
    try {
      await configuration.catchUp(revision, address);
    } finally {
      this.catchingUp = false;
    }
  }

  /** An attempt at the target failed that began at `startedMs` of the monotonic clock. */
  failed(name: string, startedMs: number): void {
    const random = this.context.random();
    const nowMs = this.nowMs();
    this.change(name, known => withFailure(known, nowMs, random, startedMs));
  }

  /** Counts a request to the target; the result ends the count. */
  sending(name: string): () => void {
    this.change(name, withSend);
    const reports = this.status(name)?.reports ?? 0;
    return () => this.change(name, known => withEnd(known, reports));
  }

  /** Drops all reports, because they were made before a pause of this process. */
  forgetReports(): void {
    this.state.next(withAll(this.state.value, withoutReport));
    for (const name of this.state.value.keys()) void this.probe(name);
  }

  /** Envelope of a request to the target. */
  envelope(name: string, parts: EnvelopeParts): wire.Envelope {
    const status = this.status(name);
    const {requestId, caller, budgetMs, incarnation} = parts;
    // The clock in a report means nothing to another incarnation.
    const known =
      incarnation !== '' && status?.report?.incarnation === incarnation;
    return create(wire.EnvelopeSchema, {
      sender: this.context.settings.name,
      revision: BigInt(this.context.configuration.revision()),
      expectedIncarnation: incarnation,
      deadlineNodeClockMs: known ? this.nodeDeadline(status, budgetMs) : 0,
      budgetMs,
      requestId,
      caller,
    });
  }

  /** Deadline in the target's clock; the target must have a report. */
  nodeDeadline({report, reportAtMs}: TargetStatus, budgetMs: number): number {
    const clock = {
      nodeClockMs: report?.nodeClockMs ?? 0,
      receivedAtMs: reportAtMs,
    };
    return remoteDeadlineMs(clock, this.nowMs(), budgetMs);
  }

  /** Asks a target for its report; one probe at a time. */
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

  private change(
    name: string,
    transition: (status: TargetStatus) => TargetStatus,
  ): void {
    this.state.next(withTargetStatus(this.state.value, name, transition));
  }

  private list(vms: readonly VM[]): void {
    const listed = vms.filter(vm => vm.role === 'target').map(listedTarget);
    this.state.next(withList(this.state.value, listed, this.nowMs()));
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
    const known = this.peers.get(name);
    if (known?.address === address) return known;
    known?.close();
    const peer = new Peer(address);
    this.peers.set(name, peer);
    return peer;
  }

  /** Answers of targets without new work bring no reports, so they are probed. */
  private probeUnusable(): void {
    const nowMs = this.nowMs();
    const isDue = nowMs - this.probedMs >= IDLE_PROBE_MS;
    if (isDue) this.probedMs = nowMs + this.context.random() * 100;
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
      budgetMs: PROBE_MS,
      incarnation: '',
    });
    try {
      const options = {timeoutMs: PROBE_MS};
      this.observe(name, await session.client.probe({envelope}, options));
    } catch (error) {
      this.context.log.debug('probe_failed', {target: name, error: `${error}`});
      session.abandon();
      this.failed(name, startedMs);
    } finally {
      session.release();
    }
  }
}
