/** Targets of the deployment, from the VM list and from direct observation. */
import {NODE_STATE} from './report.js';
import {
  isLeaving,
  newTargetStatus,
  withListing,
  type ListedTarget,
  type TargetStatus,
} from './view.js';

/** Knowledge about all targets by name. */
export type Membership = ReadonlyMap<string, TargetStatus>;

/** Membership after a read of the VM list. A target that it no longer names is gone. */
export function withList(
  membership: Membership,
  listed: readonly ListedTarget[],
  nowMs: number,
): Membership {
  return new Map(
    listed.map(target => {
      const known = membership.get(target.name);
      const status = known
        ? withListing(known, target, nowMs)
        : newTargetStatus(target, nowMs);
      return [target.name, status];
    }),
  );
}

/** Changes what is known about one target; an unknown name changes nothing. */
export function withTargetStatus(
  membership: Membership,
  name: string,
  change: (status: TargetStatus) => TargetStatus,
): Membership {
  const status = membership.get(name);
  if (status === undefined) return membership;
  return new Map(membership).set(name, change(status));
}

/** Changes what is known about every target. */
export function withAll(
  membership: Membership,
  change: (status: TargetStatus) => TargetStatus,
): Membership {
  return new Map(
    [...membership].map(([name, status]) => [name, change(status)]),
  );
}

/** Targets of a service that do not leave. */
export function liveTargets(
  membership: Membership,
  service: string,
): readonly TargetStatus[] {
  return [...membership.values()].filter(
    status => status.listed.service === service && !isLeaving(status),
  );
}

/** Targets of a service that take new work now. */
export function usableTargets(
  membership: Membership,
  service: string,
  nowMs: number,
): readonly TargetStatus[] {
  return liveTargets(membership, service).filter(
    status => status.avoidUntilMs <= nowMs,
  );
}

/** Targets of a service that would take new work, but for attempts that failed. */
export function avoidedTargets(
  membership: Membership,
  service: string,
  nowMs: number,
): readonly TargetStatus[] {
  return liveTargets(membership, service).filter(
    ({report, avoidUntilMs}) =>
      avoidUntilMs > nowMs && report?.state !== NODE_STATE.starting,
  );
}

/** Targets that take no new work as far as is known; they are probed. */
export function unusableTargets(
  membership: Membership,
  nowMs: number,
): readonly TargetStatus[] {
  return [...membership.values()].filter(
    ({report, avoidUntilMs}) =>
      avoidUntilMs > nowMs || report?.state !== NODE_STATE.serving,
  );
}
