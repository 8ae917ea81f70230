/**
 * Registry of the targets listed by the platform. Targets whose list entries expire during an
 * outage of the list are kept for a grace period.
 */

/** An adapter that an engine has loaded. */
export interface HeldAdapter {
  readonly adapter: string;
  readonly version: number;
}

/** A base model that an engine has loaded, with its adapters. */
export interface HeldModel {
  readonly model: string;
  readonly adapters: readonly HeldAdapter[];
}

/** Adapter that a request needs, with its minimum version; 0 accepts any version. */
export interface NeededAdapter {
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
}

/**
 * Returns whether one of the models has the adapter in the needed version or a later one. An empty
 * adapter name asks for the base model only.
 */
export function holdsAdapter(
  models: readonly HeldModel[],
  {model, adapter, version}: NeededAdapter,
): boolean {
  const heldModel = models.find(candidate => candidate.model === model);
  if (heldModel === undefined) return false;
  if (adapter === '') return true;
  return heldModel.adapters.some(
    candidate => candidate.adapter === adapter && candidate.version >= version,
  );
}

/** A target as registered by itself. */
export interface RegisteredTarget {
  /** Identity of one start of the target. */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Version of its software, not of what it serves; empty when the target does not state it. */
  readonly softwareVersion: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Start time of the target in Unix milliseconds; 0 when the target does not state it. */
  readonly incarnationMs: number;
  readonly models: readonly HeldModel[];
}

/** A target with the state of its list entry. */
export interface RegistryEntry {
  readonly target: RegisteredTarget;
  /** Monotonic time at which a missing target is removed, in milliseconds; 0 while it is listed. */
  readonly missingUntilMs: number;
}

/** Targets by id. */
export type Registry = ReadonlyMap<string, RegistryEntry>;

/**
 * Grace period after an outage of the list, in milliseconds, in which expired
 * entries may be written again. The platform states about two seconds; the
 * remaining 300 ms cover one read of the list.
 */
export const LAPSE_GRACE_MS = 2_300;

/** Returns a target as leaving if its incarnation is known as leaving. */
function asLeaving(
  target: RegisteredTarget,
  registry: Registry,
): RegisteredTarget {
  const known = registry.get(target.id)?.target;
  const isSame = known?.incarnationMs === target.incarnationMs;
  return isSame && known.leaving ? {...target, leaving: true} : target;
}

/**
 * Returns a target of a list that the store restored from an older copy, as it is known since: the
 * copy may list an earlier incarnation, or one that is leaving as if it were not.
 */
export function asKnownSince(
  target: RegisteredTarget,
  registry: Registry,
): RegisteredTarget {
  const known = registry.get(target.id)?.target;
  if (known === undefined) return target;
  if (known.incarnationMs > target.incarnationMs) return known;
  return asLeaving(target, registry);
}

/**
 * Returns the registry with targets added or replaced, in this order. Leaving is final for one
 * incarnation, because a store that returns from an older copy may list it as not leaving. If two
 * targets have the same address, only the one that started later is kept: the other has ended, but
 * its list entry has not expired yet.
 */
export function withTargets(
  registry: Registry,
  targets: readonly RegisteredTarget[],
): Registry {
  const next = new Map(registry);
  const idsByAddress = new Map<string, Set<string>>();
  const idsAt = (address: string) => {
    const ids = idsByAddress.get(address) ?? new Set();
    idsByAddress.set(address, ids);
    return ids;
  };
  for (const [id, {target}] of registry) idsAt(target.address).add(id);
  let isChanged = false;
  for (const target of targets) {
    const {id, address, incarnationMs} = target;
    const others = [...idsAt(address)].flatMap(other =>
      other === id ? [] : (next.get(other)?.target ?? []),
    );
    if (others.some(other => other.incarnationMs > incarnationMs)) continue;
    for (const other of others) {
      if (other.incarnationMs === incarnationMs) continue;
      next.delete(other.id);
      idsAt(address).delete(other.id);
    }
    const known = next.get(id)?.target;
    if (known !== undefined) idsAt(known.address).delete(id);
    idsAt(address).add(id);
    // Without its start time, an entry that is no longer leaving may be that of a new start.
    const listed = incarnationMs > 0 ? asLeaving(target, next) : target;
    next.set(id, {target: listed, missingUntilMs: 0});
    isChanged = true;
  }
  return isChanged ? next : registry;
}

/** Returns the registry with a target added or replaced, see {@link withTargets}. */
export function withTarget(
  registry: Registry,
  target: RegisteredTarget,
): Registry {
  return withTargets(registry, [target]);
}

/**
 * Returns the registry after entries were removed from the list. Before `graceUntilMs` an
 * entry may have expired because of an outage, so its target is kept as missing.
 */
function withoutTargets(
  registry: Registry,
  ids: readonly string[],
  nowMs: number,
  graceUntilMs: number,
): Registry {
  const known = ids.filter(id => registry.has(id));
  if (known.length === 0) return registry;
  const next = new Map(registry);
  for (const id of known) {
    const entry = registry.get(id);
    if (entry !== undefined && nowMs < graceUntilMs) {
      const missingUntilMs = entry.missingUntilMs || graceUntilMs;
      next.set(id, {target: entry.target, missingUntilMs});
    } else {
      next.delete(id);
    }
  }
  return next;
}

/** Returns the registry after an entry was removed from the list, or kept as missing before `graceUntilMs`. */
export function withoutTarget(
  registry: Registry,
  id: string,
  nowMs: number,
  graceUntilMs: number,
): Registry {
  return withoutTargets(registry, [id], nowMs, graceUntilMs);
}

/** Returns the registry after a read of the whole list. */
export function withListedTargets(
  registry: Registry,
  targets: readonly RegisteredTarget[],
  nowMs: number,
  graceUntilMs: number,
): Registry {
  const listed = new Set(targets.map(({id}) => id));
  const unlisted = [...registry.keys()].filter(id => !listed.has(id));
  const remaining = withoutTargets(registry, unlisted, nowMs, graceUntilMs);
  return withTargets(remaining, targets);
}

/** Returns the registry without the missing targets whose grace period has ended. */
export function withoutExpired(registry: Registry, nowMs: number): Registry {
  const isExpired = ({missingUntilMs}: RegistryEntry) =>
    missingUntilMs > 0 && missingUntilMs <= nowMs;
  if (![...registry.values()].some(isExpired)) return registry;
  return new Map([...registry].filter(([, entry]) => !isExpired(entry)));
}
