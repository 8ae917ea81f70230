/** Targets of the deployment, from the VM list and from direct observation. */
import {NODE_STATE} from './report.js';
import {
  isLeaving,
  newStanding,
  withListing,
  type ListedTarget,
  type Standing,
} from './view.js';

/** Knowledge about all targets by name. */
export type Membership = ReadonlyMap<string, Standing>;

/** Membership after a read of the VM list. A target that it no longer names is gone. */
export function withList(
  membership: Membership,
  listed: readonly ListedTarget[],
  nowMs: number,
): Membership {
  return new Map(
    listed.map(target => {
      const known = membership.get(target.name);
      const standing = known
        ? withListing(known, target, nowMs)
        : newStanding(target, nowMs);
      return [target.name, standing];
    }),
  );
}

/** Changes what is known about one target; an unknown name changes nothing. */
export function withStanding(
  membership: Membership,
  name: string,
  change: (standing: Standing) => Standing,
): Membership {
  const standing = membership.get(name);
  if (standing === undefined) return membership;
  return new Map(membership).set(name, change(standing));
}

/** Changes what is known about every target. */
export function withAll(
  membership: Membership,
  change: (standing: Standing) => Standing,
): Membership {
  return new Map(
    [...membership].map(([name, standing]) => [name, change(standing)]),
  );
}

/** Targets of a service that do not leave. */
export function liveTargets(
  membership: Membership,
  service: string,
): readonly Standing[] {
  return [...membership.values()].filter(
    standing => standing.listed.service === service && !isLeaving(standing),
  );
}

/** Targets of a service that take new work now. */
export function usableTargets(
  membership: Membership,
  service: string,
  nowMs: number,
): readonly Standing[] {
  return liveTargets(membership, service).filter(
    standing => standing.avoidUntilMs <= nowMs,
  );
}

/** Targets that take no new work as far as is known; they are probed. */
export function unusableTargets(
  membership: Membership,
  nowMs: number,
): readonly Standing[] {
  return [...membership.values()].filter(
    ({report, avoidUntilMs}) =>
      avoidUntilMs > nowMs || report?.state !== NODE_STATE.serving,
  );
}
