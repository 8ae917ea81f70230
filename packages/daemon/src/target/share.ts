/** This node's share of the weight store limit: used in its own slots, or lent to a coordinator. */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  lendShare,
  permitRules,
  readTick,
  receiveGrant,
  shareOf,
  startShare,
  takePermit,
  takeSlot,
  type HeldPermits,
  type PermitLimit,
  type PermitRules,
  type Share,
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

/** Most targets that share one bucket; a larger service has several pools. */
export const POOL_TARGETS = 16;

/** Requests that wait for a load, and loads that are wanted, at this node. */
export interface LoadNeed {
  readonly waitingRequests: number;
  readonly loadsWanted: number;
}

/** No load is wanted. */
export const NO_NEED: LoadNeed = {waitingRequests: 0, loadsWanted: 0};

/** Number of the pool that a target belongs to. */
export function poolOf(ordinal: number): number {
  return Math.floor(ordinal / POOL_TARGETS);
}

/**
 * Limit of the pool of a target: the part of the weight store limit that its
 * targets have of all model targets. Undefined without a share.
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
  const all = models.reduce((sum, {targets}) => sum + targets, 0);
  const first = poolOf(ordinal) * POOL_TARGETS;
  const targets = Math.min(POOL_TARGETS, service.targets - first);
  const part = targets / all;
  return {
    targets,
    loadsPerSecond: weightStore.loadsPerSecond * part,
    burst: weightStore.burst * part,
  };
}

/** What the share works with. */
export interface ShareParts {
  readonly context: Pick<
    NodeContext,
    'clock' | 'settings' | 'incarnation' | 'metrics' | 'configuration'
  >;
  readonly need: () => LoadNeed;
  readonly report: () => Report;
  /** Called when permits have arrived. */
  readonly granted: () => void;
  /** Called when a load is wanted and there is no permit for it. */
  readonly blocked: () => void;
}

/** Owner of the share of one target node. */
export class LoadShare implements LoadPermits {
  private limit?: PermitLimit;
  private share?: Share;
  private held: HeldPermits;
  private current?: PermitRules;

  constructor(private readonly parts: ShareParts) {
    const {incarnation} = parts.context;
    this.held = {incarnation, grants: []};
  }

  /** Rules of the pool by the configuration in force; undefined without a share. */
  rules(): PermitRules | undefined {
    const {configuration, settings} = this.parts.context;
    const inForce = configuration.current();
    const limit =
      inForce && poolLimit(inForce, settings.service, settings.ordinal);
    if (sameLimit(limit, this.limit)) return this.current;
    this.limit = limit;
    this.current = limit && permitRules(limit);
    // A share of another limit may be in use or lent, so it waits as after a start.
    this.share =
      this.current &&
      startShare(this.index(), this.tick().monotonicMs, this.current);
    return this.current;
  }

  /** Index of the share within its pool. */
  index(): number {
    return this.parts.context.settings.ordinal % POOL_TARGETS;
  }

  mayLoad(): boolean {
    const may = this.hasPermit();
    if (!may) this.parts.blocked();
    return may;
  }

  private hasPermit(): boolean {
    const rules = this.rules();
    const now = this.tick();
    if (takePermit(this.held, now) !== undefined) return true;
    if (rules === undefined || this.share === undefined) return false;
    return takeSlot(this.share, now, rules) !== undefined;
  }

  loadStarted(): void {
    const rules = this.rules();
    const now = this.tick();
    const held = takePermit(this.held, now);
    if (held !== undefined) {
      this.held = held;
      this.parts.context.metrics.count('load_permit', 'granted');
      return;
    }
    if (rules === undefined || this.share === undefined) return;
    this.share = takeSlot(this.share, now, rules) ?? this.share;
    this.parts.context.metrics.count('load_permit', 'own_slot');
  }

  /** Answers a coordinator: lends the share if it is free, and takes permits. */
  lend(request: LendRequest): LendResponse {
    const rules = this.rules();
    const now = this.tick();
    if (request.permits > 0) this.receive(request);
    const lent =
      rules !== undefined &&
      this.share !== undefined &&
      request.leaseMs > 0 &&
      lendShare(this.share, request.coordinator, now.monotonicMs, rules);
    if (lent) this.share = lent;
    const rates = rules && lent ? shareOf(rules) : {};
    const init: MessageInitShape<typeof LendResponseSchema> = {
      ...rates,
      ...this.parts.need(),
      ordinal: this.parts.context.settings.ordinal,
      lent: Boolean(lent),
      report: this.parts.report(),
    };
    return create(LendResponseSchema, init);
  }

  private receive(request: LendRequest): void {
    this.held = receiveGrant(
      this.held,
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
    this.parts.granted();
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
