/** Coordinator of a pool: gathers lent shares and grants load permits where most work waits. */
import {create} from '@bufbuild/protobuf';
import {
  PERMIT_TIMING,
  grantPermits,
  rankTargets,
  readTick,
  recordLease,
  remoteDeadlineMs,
  startCoordinator,
  type Coordinator,
  type GrantedPermits,
  type PermitRules,
  type RemoteClock,
} from '@balsamnotch/core';
import {
  LendRequestSchema,
  type DemandRequest,
  type LendRequest,
  type LendResponse,
} from '@balsamnotch/wire';
import type {NodeContext} from '../node/context.js';
import {
  NO_NEED,
  POOL_TARGETS,
  poolOf,
  type LoadShare,
  type LoadNeed,
} from './share.js';

/** Interval at which a coordinator renews each lease, in milliseconds. */
const RENEW_MS = 1_000;

/** Silence of a better ranked node after which the next rank takes over, in milliseconds. */
const TAKEOVER_MS = 2_500;

/** A target of the pool as the coordinator knows it. */
interface Member {
  readonly name: string;
  readonly address: string;
  ordinal?: number;
  incarnation: string;
  clock?: RemoteClock;
  need: LoadNeed;
  askedMs: number;
}

/** Sends a lend request to a node; rejects when there is no answer. */
export type LendCall = (
  address: string,
  request: LendRequest,
) => Promise<LendResponse>;

/** Sends a demand to a node; rejects when there is no answer. */
export type DemandCall = (
  address: string,
  request: Omit<DemandRequest, '$typeName' | '$unknown'>,
) => Promise<unknown>;

/** What the controller works with. */
export interface PoolParts {
  readonly context: Pick<
    NodeContext,
    'clock' | 'settings' | 'metrics' | 'log' | 'random'
  >;
  readonly share: LoadShare;
  readonly need: () => LoadNeed;
  readonly lend: LendCall;
  readonly demand: DemandCall;
  /** Live targets of the service with their addresses, this node included. */
  readonly targets: () => ReadonlyArray<{
    readonly name: string;
    readonly address: string;
  }>;
}

/**
 * Part of a node in its pool. The first live target in rendezvous order
 * coordinates. Two coordinators at once are safe, because each share is lent to
 * one of them.
 */
export class PoolController {
  private state: Coordinator;
  private readonly members = new Map<string, Member>();
  /** Monotonic time of the last lend request of each other node. */
  private readonly heardMs = new Map<string, number>();
  private acting = false;
  private readonly startedMs: number;
  private told: LoadNeed = NO_NEED;
  private toldMs = 0;

  constructor(private readonly parts: PoolParts) {
    this.startedMs = this.nowMs();
    const firstGrant = Math.floor(parts.context.random() * 2 ** 32);
    this.state = startCoordinator(this.startedMs, firstGrant);
  }

  get isCoordinator(): boolean {
    return this.acting;
  }

  /** Called when another node has sent a lend request. */
  heard(coordinator: string): void {
    this.heardMs.set(coordinator, this.nowMs());
  }

  /** Called by the timer, and when this node's need has changed. */
  tick(): void {
    const rules = this.parts.share.rules();
    if (rules === undefined) return;
    const ranked = this.ranked();
    this.updateMembers(ranked);
    const acts = this.shouldAct(ranked.map(target => target.name));
    if (acts !== this.acting) this.change(acts);
    if (acts) this.coordinate(rules);
    else this.tellDemand(ranked);
  }

  /** Takes a demand of a member and grants what the shares allow. */
  takeDemand(request: DemandRequest): void {
    const member = this.members.get(request.node);
    const rules = this.parts.share.rules();
    if (member === undefined || rules === undefined || !this.acting) return;
    member.need = {
      waitingRequests: request.waitingRequests,
      loadsWanted: request.loadsWanted,
    };
    this.grant(rules);
  }

  /** Targets of the service in the order in which they coordinate. */
  private ranked() {
    const {settings} = this.parts.context;
    const targets = this.parts
      .targets()
      .map(target => ({...target, weight: 1}));
    const pool = poolOf(settings.ordinal);
    return rankTargets(`coordinator/${settings.service}/${pool}`, targets);
  }

  private updateMembers(
    targets: ReadonlyArray<{readonly name: string; readonly address: string}>,
  ): void {
    const names = new Set(targets.map(target => target.name));
    for (const name of this.members.keys()) {
      if (!names.has(name)) this.members.delete(name);
    }
    for (const {name, address} of targets) {
      if (this.members.get(name)?.address === address) continue;
      const need = NO_NEED;
      const askedMs = Number.NEGATIVE_INFINITY;
      this.members.set(name, {name, address, incarnation: '', need, askedMs});
    }
  }

  /** The first rank acts, and a later one when all before it have been silent. */
  private shouldAct(ranked: readonly string[]): boolean {
    const own = ranked.indexOf(this.parts.context.settings.name);
    if (own < 0) return false;
    const nowMs = this.nowMs();
    return ranked.slice(0, own).every((name, rank) => {
      const heardMs = this.heardMs.get(name) ?? this.startedMs;
      return nowMs - heardMs > TAKEOVER_MS * (own - rank);
    });
  }

  private change(acts: boolean): void {
    this.acting = acts;
    const nextGrant = this.state.nextGrant;
    this.state = startCoordinator(this.nowMs(), nextGrant);
    for (const member of this.members.values()) {
      member.askedMs = Number.NEGATIVE_INFINITY;
    }
    this.parts.context.metrics.count('pool_coordinator', acts ? 'on' : 'off');
    this.parts.context.log.info('pool_coordinator', {acts});
  }

  private coordinate(rules: PermitRules): void {
    const nowMs = this.nowMs();
    for (const member of this.members.values()) {
      if (nowMs - member.askedMs >= RENEW_MS) void this.ask(member, rules);
    }
    this.grant(rules);
  }

  /** Asks a member to lend its share, with permits if some were granted to it. */
  private async ask(
    member: Member,
    rules: PermitRules,
    granted?: GrantedPermits,
  ): Promise<void> {
    const askedAt = readTick(this.parts.context.clock);
    member.askedMs = askedAt.monotonicMs;
    const request = this.lendRequest(member, askedAt.monotonicMs, granted);
    try {
      const isSelf = member.name === this.parts.context.settings.name;
      const response = isSelf
        ? this.parts.share.lend(request)
        : await this.parts.lend(member.address, request);
      this.answered(member, response, askedAt, rules);
    } catch {
      this.parts.context.metrics.count('lend_failed');
    }
  }

  private lendRequest(
    member: Member,
    nowMs: number,
    granted: GrantedPermits | undefined,
  ): LendRequest {
    const {permitMs, leaseMs} = PERMIT_TIMING;
    const base = {coordinator: this.parts.context.settings.name, leaseMs};
    if (granted === undefined || member.clock === undefined) {
      return create(LendRequestSchema, base);
    }
    return create(LendRequestSchema, {
      ...base,
      permits: granted.permits,
      permitMs,
      grant: BigInt(granted.grant),
      incarnation: member.incarnation,
      deadlineNodeClockMs: remoteDeadlineMs(member.clock, nowMs, permitMs),
    });
  }

  private answered(
    member: Member,
    response: LendResponse,
    askedAt: {readonly monotonicMs: number; readonly wallMs: number},
    rules: PermitRules,
  ): void {
    const {ordinal, report} = response;
    const {settings} = this.parts.context;
    if (poolOf(ordinal) !== poolOf(settings.ordinal)) return;
    member.ordinal = ordinal;
    member.need = {
      waitingRequests: response.waitingRequests,
      loadsWanted: response.loadsWanted,
    };
    if (report !== undefined) {
      member.incarnation = report.incarnation;
      member.clock = {
        nodeClockMs: report.nodeClockMs,
        receivedAtMs: this.nowMs(),
      };
    }
    if (response.lent && this.acting) {
      const index = ordinal % POOL_TARGETS;
      this.state = recordLease(this.state, index, askedAt, rules);
    }
  }

  private grant(rules: PermitRules): void {
    const own = this.members.get(this.parts.context.settings.name);
    if (own !== undefined) own.need = this.parts.need();
    const demands = [...this.members.values()].flatMap(member =>
      member.ordinal === undefined || member.clock === undefined
        ? []
        : [{index: member.ordinal % POOL_TARGETS, ...member.need}],
    );
    const now = readTick(this.parts.context.clock);
    const {coordinator, granted} = grantPermits(
      this.state,
      demands,
      now,
      rules,
    );
    this.state = coordinator;
    for (const permits of granted) this.sendGrant(permits, rules);
  }

  private sendGrant(granted: GrantedPermits, rules: PermitRules): void {
    const member = [...this.members.values()].find(
      each =>
        each.ordinal !== undefined &&
        each.ordinal % POOL_TARGETS === granted.index,
    );
    if (member === undefined) return;
    // The next answer or demand tells what is wanted beyond this grant.
    const loadsWanted = member.need.loadsWanted - granted.permits;
    member.need = {...member.need, loadsWanted: Math.max(0, loadsWanted)};
    void this.ask(member, rules, granted);
  }

  /** Tells the coordinator about a need that it does not know yet. */
  private tellDemand(
    ranked: ReadonlyArray<{readonly name: string; readonly address: string}>,
  ): void {
    const need = this.parts.need();
    const nowMs = this.nowMs();
    const changed =
      need.loadsWanted > this.told.loadsWanted ||
      (need.loadsWanted > 0 && nowMs - this.toldMs > PERMIT_TIMING.permitMs);
    this.told = need;
    if (!changed) return;
    this.toldMs = nowMs;
    const coordinator = this.currentCoordinator(ranked);
    if (coordinator === undefined) return;
    const {name: node, ordinal} = this.parts.context.settings;
    this.parts
      .demand(coordinator.address, {node, ordinal, ...need})
      .catch(() => this.parts.context.metrics.count('demand_failed'));
  }

  /** The best ranked node that has asked for the share within the takeover time. */
  private currentCoordinator<T extends {readonly name: string}>(
    ranked: readonly T[],
  ): T | undefined {
    const nowMs = this.nowMs();
    return ranked.find(({name}) => {
      const heardMs = this.heardMs.get(name);
      return heardMs !== undefined && nowMs - heardMs < TAKEOVER_MS;
    });
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }
}
