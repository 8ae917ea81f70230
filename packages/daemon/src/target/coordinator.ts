/**
 * Coordinator of a pool: borrows the shares of its targets and grants load
 * permits to the targets with the most waiting requests.
 */
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
  NO_LOAD_NEED,
  MAX_POOL_TARGETS,
  poolIndex,
  type LoadShare,
  type LoadNeed,
} from './share.js';

/** Interval at which a coordinator renews each lease on a share, in milliseconds. */
const RENEW_MS = 1_000;

/**
 * Time without a lend request from a better ranked node after which the next
 * rank takes over, in milliseconds.
 */
const TAKEOVER_MS = 2_500;

/** State that the coordinator keeps for one target of the pool. */
interface Member {
  readonly name: string;
  readonly address: string;
  ordinal?: number;
  incarnation: string;
  /** Undefined until the target has answered a lend request with its report. */
  clock?: RemoteClock;
  need: LoadNeed;
  /** Monotonic time of the last lend request to this target. */
  askedMs: number;
}

/** Sends a lend request to the node at an address; rejects when the node does not answer. */
export type LendCall = (
  address: string,
  request: LendRequest,
) => Promise<LendResponse>;

/** Sends a demand to the node at an address; rejects when the node does not answer. */
export type DemandCall = (
  address: string,
  request: Omit<DemandRequest, '$typeName' | '$unknown'>,
) => Promise<unknown>;

/** Dependencies of a {@link PoolController}. */
export interface PoolParts {
  readonly context: Pick<
    NodeContext,
    'clock' | 'settings' | 'metrics' | 'log' | 'random'
  >;
  readonly share: LoadShare;
  /** Current need of this node. */
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
 * Coordinates the pool, or reports this node's need to the coordinator. The
 * first live target in rendezvous order coordinates. Two coordinators at the
 * same time do not exceed the rate limit, because each share is lent to only one
 * of them.
 */
export class PoolController {
  private coordinatorState: Coordinator;
  private readonly members = new Map<string, Member>();
  /** Monotonic time of the last lend request from each other node, by node name. */
  private readonly lastHeardMs = new Map<string, number>();
  private isActing = false;
  private readonly startedMs: number;
  /** This node's need at the last call of {@link sendDemand}. */
  private lastNeed: LoadNeed = NO_LOAD_NEED;
  /** Monotonic time at which a demand was last due, with or without a coordinator to send it to. */
  private demandDueMs = 0;

  constructor(private readonly parts: PoolParts) {
    this.startedMs = this.nowMs();
    const firstGrant = Math.floor(parts.context.random() * 2 ** 32);
    this.coordinatorState = startCoordinator(this.startedMs, firstGrant);
  }

  get isCoordinator(): boolean {
    return this.isActing;
  }

  /** Records that a node has sent a lend request and therefore acts as coordinator. */
  recordLendRequest(coordinator: string): void {
    this.lastHeardMs.set(coordinator, this.nowMs());
  }

  /** Called by the timer, and when a load of this node is blocked by a missing permit. */
  tick(): void {
    const rules = this.parts.share.rules();
    if (rules === undefined) return;
    const ranked = this.rankedTargets();
    this.updateMembers(ranked);
    const shouldAct = this.shouldAct(ranked.map(target => target.name));
    if (shouldAct !== this.isActing) this.setActing(shouldAct);
    if (shouldAct) this.coordinate(rules);
    else this.sendDemand(ranked);
  }

  /** Handles the demand of a member: grants the permits that the lent shares allow. */
  handleDemand(request: DemandRequest): void {
    const member = this.members.get(request.node);
    const rules = this.parts.share.rules();
    if (member === undefined || rules === undefined || !this.isActing) return;
    member.need = {
      waitingRequests: request.waitingRequests,
      loadsWanted: request.loadsWanted,
    };
    this.distributePermits(rules);
  }

  /** Live targets of the service, in the order in which they become coordinator of this pool. */
  private rankedTargets() {
    const {settings} = this.parts.context;
    const targets = this.parts
      .targets()
      .map(target => ({...target, weight: 1}));
    const pool = poolIndex(settings.ordinal);
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
      const need = NO_LOAD_NEED;
      const askedMs = Number.NEGATIVE_INFINITY;
      this.members.set(name, {
        name,
        address,
        incarnation: '',
        need,
        askedMs,
      });
    }
  }

  /**
   * Returns whether this node acts as coordinator. The first rank always does. A
   * later rank does when it has received no lend request from any better rank for
   * the takeover time, multiplied by the difference in rank. A node that is not
   * ranked never does.
   */
  private shouldAct(ranked: readonly string[]): boolean {
    const ownRank = ranked.indexOf(this.parts.context.settings.name);
    if (ownRank < 0) return false;
    const nowMs = this.nowMs();
    return ranked.slice(0, ownRank).every((name, rank) => {
      const lastHeardMs = this.lastHeardMs.get(name) ?? this.startedMs;
      return nowMs - lastHeardMs > TAKEOVER_MS * (ownRank - rank);
    });
  }

  private setActing(isActing: boolean): void {
    this.isActing = isActing;
    const nextGrant = this.coordinatorState.nextGrant;
    this.coordinatorState = startCoordinator(this.nowMs(), nextGrant);
    for (const member of this.members.values()) {
      member.askedMs = Number.NEGATIVE_INFINITY;
    }
    this.parts.context.metrics.count(
      'pool_coordinator',
      isActing ? 'on' : 'off',
    );
    this.parts.context.log.info('pool_coordinator', {acts: isActing});
  }

  private coordinate(rules: PermitRules): void {
    const nowMs = this.nowMs();
    for (const member of this.members.values()) {
      if (nowMs - member.askedMs >= RENEW_MS) void this.sendLend(member, rules);
    }
    this.distributePermits(rules);
  }

  /** Asks a member to lend its share; the request also carries permits granted to it. */
  private async sendLend(
    member: Member,
    rules: PermitRules,
    granted?: GrantedPermits,
  ): Promise<void> {
    const requestedAt = readTick(this.parts.context.clock);
    member.askedMs = requestedAt.monotonicMs;
    const request = this.lendRequest(member, requestedAt.monotonicMs, granted);
    try {
      const isSelf = member.name === this.parts.context.settings.name;
      const response = isSelf
        ? this.parts.share.lend(request)
        : await this.parts.lend(member.address, request);
      this.handleLendResponse(member, response, requestedAt, rules);
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

  private handleLendResponse(
    member: Member,
    response: LendResponse,
    requestedAt: {readonly monotonicMs: number; readonly wallMs: number},
    rules: PermitRules,
  ): void {
    const {ordinal, report} = response;
    const {settings} = this.parts.context;
    if (poolIndex(ordinal) !== poolIndex(settings.ordinal)) return;
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
    if (response.lent && this.isActing) {
      const index = ordinal % MAX_POOL_TARGETS;
      this.coordinatorState = recordLease(
        this.coordinatorState,
        index,
        requestedAt,
        rules,
      );
    }
  }

  private distributePermits(rules: PermitRules): void {
    const ownMember = this.members.get(this.parts.context.settings.name);
    if (ownMember !== undefined) ownMember.need = this.parts.need();
    const demands = [...this.members.values()].flatMap(member =>
      member.ordinal === undefined || member.clock === undefined
        ? []
        : [{index: member.ordinal % MAX_POOL_TARGETS, ...member.need}],
    );
    const now = readTick(this.parts.context.clock);
    const {coordinator, granted} = grantPermits(
      this.coordinatorState,
      demands,
      now,
      rules,
    );
    this.coordinatorState = coordinator;
    for (const permits of granted) this.sendGrant(permits, rules);
  }

  private sendGrant(granted: GrantedPermits, rules: PermitRules): void {
    const member = [...this.members.values()].find(
      each =>
        each.ordinal !== undefined &&
        each.ordinal % MAX_POOL_TARGETS === granted.index,
    );
    if (member === undefined) return;
    // The next lend response or demand replaces this estimate.
    const loadsWanted = member.need.loadsWanted - granted.permits;
    member.need = {...member.need, loadsWanted: Math.max(0, loadsWanted)};
    void this.sendLend(member, rules, granted);
  }

  /**
   * Sends a demand to the coordinator when more loads are wanted than at the
   * previous check, and again each time the validity of a permit has passed while
   * any are wanted.
   */
  private sendDemand(
    ranked: ReadonlyArray<{readonly name: string; readonly address: string}>,
  ): void {
    const need = this.parts.need();
    const nowMs = this.nowMs();
    const isDue =
      need.loadsWanted > this.lastNeed.loadsWanted ||
      (need.loadsWanted > 0 &&
        nowMs - this.demandDueMs > PERMIT_TIMING.permitMs);
    this.lastNeed = need;
    if (!isDue) return;
    this.demandDueMs = nowMs;
    const coordinator = this.currentCoordinator(ranked);
    if (coordinator === undefined) return;
    const {name: node, ordinal} = this.parts.context.settings;
    this.parts
      .demand(coordinator.address, {node, ordinal, ...need})
      .catch(() => this.parts.context.metrics.count('demand_failed'));
  }

  /** The best ranked node that has sent a lend request within the takeover time. */
  private currentCoordinator<T extends {readonly name: string}>(
    ranked: readonly T[],
  ): T | undefined {
    const nowMs = this.nowMs();
    return ranked.find(({name}) => {
      const lastHeardMs = this.lastHeardMs.get(name);
      return lastHeardMs !== undefined && nowMs - lastHeardMs < TAKEOVER_MS;
    });
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }
}
