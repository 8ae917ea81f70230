/** Targets of the deployment, as known from the VM list, their reports and failed attempts. */
import {NODE_STATE} from './report.js';
import {
  isLeaving,
  newTargetStatus,
  withListing,
  type ListedTarget,
  type TargetStatus,
} from './view.js';

/** Status of all targets, by name. */
export type Membership = ReadonlyMap<string, TargetStatus>;

/** Updates the membership from the VM list. Targets that are no longer listed are removed. */
export function withVmList(
  membership: Membership,
  listed: readonly ListedTarget[],
  nowMs: number,
): Membership {
  return new Map(
    listed.map(target => {
      const current = membership.get(target.name);
      const status = current
        ? withListing(current, target, nowMs)
        : newTargetStatus(target, nowMs);
      return [target.name, status];
    }),
  );
}

/** Updates the status of one target. An unknown name is ignored. */
export function withTargetStatus(
  membership: Membership,
  name: string,
  update: (status: TargetStatus) => TargetStatus,
): Membership {
  const status = membership.get(name);
  if (status === undefined) return membership;
  return new Map(membership).set(name, update(status));
}

/** Updates the status of every target. */
export function withEachTarget(
  membership: Membership,
  update: (status: TargetStatus) => TargetStatus,
): Membership {
  return new Map(
    [...membership].map(([name, status]) => [name, update(status)]),
  );
}

/** Returns the targets of a service that are not leaving. */
export function liveTargets(
  membership: Membership,
  service: string,
): readonly TargetStatus[] {
  return [...membership.values()].filter(
    status => status.listed.service === service && !isLeaving(status),
  );
}

/**
 * Returns the targets of a service that are neither leaving nor avoided after failed
 * attempts. Targets that report that they are starting are included.
 */
export function usableTargets(
  membership: Membership,
  service: string,
  nowMs: number,
): readonly TargetStatus[] {
  return liveTargets(membership, service).filter(
    status => status.avoidUntilMs <= nowMs,
  );
}

/** Returns the targets of a service that get no new requests only because attempts failed. */
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

/** Returns the targets that are not known to accept new requests; these are probed. */
export function unusableTargets(
  membership: Membership,
  nowMs: number,
): readonly TargetStatus[] {
  return [...membership.values()].filter(
    ({report, avoidUntilMs}) =>
      avoidUntilMs > nowMs || report?.state !== NODE_STATE.serving,
  );
}
