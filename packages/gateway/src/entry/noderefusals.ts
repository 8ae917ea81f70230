/** Refused leases of one target node, as its answers and reports show them. */
import {
  NO_REFUSALS,
  refusalOf,
  refusedUntilMs,
  withRefusal,
  withStatedRoom,
  withoutRefusalsOf,
  type Clock,
  type LeaseRefusals,
  type RefusableRequest,
  type RefusedLease,
} from '@balsamnotch/core';
import type {EngineReport} from '@balsamnotch/wire';
import {refusalScope} from '../node/leaserefusal.js';

/** Mutable memory of the refusals of one target node. */
export class NodeRefusals {
  private refusals: LeaseRefusals = NO_REFUSALS;
  private incarnationMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Records a refusal and when the node expects room, in milliseconds; 0 if it does not say. */
  recordRefusal(
    request: RefusableRequest,
    reason: string,
    retryAfterMs: number,
  ): void {
    const scope = refusalScope(reason);
    if (scope === undefined) return;
    const nowMs = this.clock.monotonicMs();
    const untilMs = refusedUntilMs(retryAfterMs, nowMs);
    const refused = {scope, request, reason, untilMs};
    this.refusals = withRefusal(this.refusals, refused, nowMs);
  }

  recordGrant(request: RefusableRequest): void {
    this.refusals = withoutRefusalsOf(this.refusals, request);
  }

  /** Records a report of the node, which was sent after all answers before it. */
  recordReport({incarnationMs, models, loads}: EngineReport): void {
    if (incarnationMs !== this.incarnationMs) this.refusals = NO_REFUSALS;
    this.incarnationMs = incarnationMs;
    this.refusals = withStatedRoom(this.refusals, {
      hasModel: models.length > 0,
      hasLoads: loads > 0,
    });
  }

  /** Returns the refusal that still holds for the request; undefined if none does. */
  of(request: RefusableRequest): RefusedLease | undefined {
    if (this.refusals.length === 0) return undefined;
    return refusalOf(this.refusals, request, this.clock.monotonicMs());
  }
}
