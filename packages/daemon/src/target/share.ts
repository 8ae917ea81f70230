/**
 * This node's share of the weight store's rate limit. The node uses it in its own
 * time slots, or lends it to a coordinator.
 */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  lendShare,
  permitRules,
  readTick,
  receiveGrant,
  shareLimit,
  startShare,
  takePermit,
  takeTimeSlot,
  type HeldPermits,
  type PermitLimit,
  type PermitRules,
  type RateShare,
} from '@balsamnotch/core';
import type {Configuration} from '@balsamnotch/config';
import {
  LendResponseSchema,
  type LendRequest,
  type LendResponse,
  type Report,
} from '@balsamnotch/wire';
import type {NodeContext} from '../node/context.js';
import type {LoadPermits} from './systems.js';

/** Maximum number of targets in one pool; a larger service has several pools. */
export const MAX_POOL_TARGETS = 16;

/** Number of requests at one node that wait for a load, and number of loads they wait for. */
export interface LoadNeed {
  readonly waitingRequests: number;
  readonly loadsWanted: number;
}

/** Need of a node that wants no load. */
export const NO_LOAD_NEED: LoadNeed = {waitingRequests: 0, loadsWanted: 0};

/** Index of the pool, within its service, that a target belongs to. */
export function poolIndex(ordinal: number): number {
  return Math.floor(ordinal / MAX_POOL_TARGETS);
}

/**
 * Rate limit of the pool that a target belongs to. Each pool gets the fraction of
 * the weight store's limit that its targets make up of all model targets.
 * Undefined when the configuration does not declare the target.
 */
export function poolLimit(
  {services, weightStore}: Configuration,
  serviceName: string,
  ordinal: number,
): PermitLimit | undefined {
  const models = services.filter(({kind}) => kind === 'model');
  const service = models.find(({name}) => name === serviceName);
  if (service === undefined || ordinal < 0) return undefined;
  if (ordinal >= service.targets) return undefined;
  const totalTargets = models.reduce((sum, {targets}) => sum + targets, 0);
  const firstOrdinal = poolIndex(ordinal) * MAX_POOL_TARGETS;
  const targets = Math.min(MAX_POOL_TARGETS, service.targets - firstOrdinal);
  const fraction = targets / totalTargets;
  return {
    targets,
    loadsPerSecond: weightStore.loadsPerSecond * fraction,
    burst: weightStore.burst * fraction,
  };
}

/** Dependencies of a {@link LoadShare}. */
export interface ShareParts {
  readonly context: Pick<
    NodeContext,
    'clock' | 'settings' | 'incarnation' | 'metrics' | 'configuration'
  >;
  /** Current need of this node, which lend responses carry. */
  readonly need: () => LoadNeed;
  readonly report: () => Report;
  /** Called when a lend request has delivered permits. */
  readonly onPermitsGranted: () => void;
  /** Called when a load has to wait because there is no permit for it. */
  readonly onLoadBlocked: () => void;
}

/** Holds the share of this target node and the permits granted to it. */
export class LoadShare implements LoadPermits {
  private currentLimit?: PermitLimit;
  private share?: RateShare;
  private heldPermits: HeldPermits;
  private currentRules?: PermitRules;

  constructor(private readonly parts: ShareParts) {
    const {incarnation} = parts.context;
    this.heldPermits = {incarnation, grants: []};
  }

  /** Permit rules of the pool under the configuration in force; undefined without a share. */
  rules(): PermitRules | undefined {
    const {configuration, settings} = this.parts.context;
    const inForce = configuration.current();
    const limit =
      inForce && poolLimit(inForce, settings.service, settings.ordinal);
    if (sameLimit(limit, this.currentLimit)) return this.currentRules;
    this.currentLimit = limit;
    this.currentRules = limit && permitRules(limit);
    // The share under the previous limit may still be in use or lent, so the new
    // share starts with the same wait as after a process start.
    this.share =
      this.currentRules &&
      startShare(this.index(), this.tick().monotonicMs, this.currentRules);
    return this.currentRules;
  }

  /** Index of this node's share within its pool. */
  index(): number {
    return this.parts.context.settings.ordinal % MAX_POOL_TARGETS;
  }

  mayLoad(): boolean {
    const isAllowed = this.hasPermit();
    if (!isAllowed) this.parts.onLoadBlocked();
    return isAllowed;
  }

  private hasPermit(): boolean {
    const rules = this.rules();
    const now = this.tick();
    if (takePermit(this.heldPermits, now) !== undefined) return true;
    if (rules === undefined || this.share === undefined) return false;
    return takeTimeSlot(this.share, now, rules) !== undefined;
  }

  recordLoadStart(): void {
    const rules = this.rules();
    const now = this.tick();
    const remainingPermits = takePermit(this.heldPermits, now);
    if (remainingPermits !== undefined) {
      this.heldPermits = remainingPermits;
      this.parts.context.metrics.count('load_permit', 'granted');
      return;
    }
    if (rules === undefined || this.share === undefined) return;
    this.share = takeTimeSlot(this.share, now, rules) ?? this.share;
    this.parts.context.metrics.count('load_permit', 'own_slot');
  }

  /** Answers a lend request: accepts its permits, and lends the share if it is not in use. */
  lend(request: LendRequest): LendResponse {
    const rules = this.rules();
    const now = this.tick();
    if (request.permits > 0) this.receivePermits(request);
    const lentShare =
      rules !== undefined &&
      this.share !== undefined &&
      request.leaseMs > 0 &&
      lendShare(this.share, request.coordinator, now.monotonicMs, rules);
    if (lentShare) this.share = lentShare;
    const shareRates = rules && lentShare ? shareLimit(rules) : {};
    const init: MessageInitShape<typeof LendResponseSchema> = {
      ...shareRates,
      ...this.parts.need(),
      ordinal: this.parts.context.settings.ordinal,
      lent: Boolean(lentShare),
      report: this.parts.report(),
    };
    return create(LendResponseSchema, init);
  }

  private receivePermits(request: LendRequest): void {
    this.heldPermits = receiveGrant(
      this.heldPermits,
      {
        coordinator: request.coordinator,
        grant: Number(request.grant),
        permits: request.permits,
        permitMs: request.permitMs,
        incarnation: request.incarnation,
        deadlineNodeClockMs: request.deadlineNodeClockMs,
      },
      this.tick(),
    );
    this.parts.onPermitsGranted();
  }

  private tick() {
    return readTick(this.parts.context.clock);
  }
}

function sameLimit(a?: PermitLimit, b?: PermitLimit): boolean {
  return (
    a?.targets === b?.targets &&
    a?.loadsPerSecond === b?.loadsPerSecond &&
    a?.burst === b?.burst
  );
}
