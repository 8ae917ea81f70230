/** Targets as the platform lists them, with protection against entries that lapse in an outage. */

/** An adapter that an engine holds. */
export interface HeldAdapter {
  readonly adapter: string;
  readonly version: number;
}

/** A base model that an engine holds, with its adapters. */
export interface HeldModel {
  readonly model: string;
  readonly adapters: readonly HeldAdapter[];
}

/** Adapter that a request needs, and the least version; 0 for any. */
export interface NeededAdapter {
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
}

/** Tells whether one of the models holds the adapter in the version or a later one. */
export function holdsAdapter(
  models: readonly HeldModel[],
  {model, adapter, version}: NeededAdapter,
): boolean {
  const held = models.find(candidate => candidate.model === model);
  if (held === undefined) return false;
  if (adapter === '') return true;
  return held.adapters.some(
    candidate => candidate.adapter === adapter && candidate.version >= version,
  );
}

/** A target as it registered itself. */
export interface RegisteredTarget {
  /** Identity of one start of the target. */
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Start of the target, Unix milliseconds; 0 when it does not say. */
  readonly incarnationMs: number;
  readonly models: readonly HeldModel[];
}

/** A listed target and what is known of its entry. */
export interface RegistryEntry {
  readonly target: RegisteredTarget;
  /** Monotonic time at which a missing entry counts as gone; 0 while it is listed. */
  readonly missingUntilMs: number;
}

/** Known targets by id. */
export type Registry = ReadonlyMap<string, RegistryEntry>;

/**
 * Time after an outage of the list in which lapsed entries may come back, in
 * milliseconds: about two seconds are stated, and the rest covers one read.
 */
export const LAPSE_GRACE_MS = 2_300;

/**
 * Registry with a target as it was last written. Of two targets at one address
 * the one that started later is there; the entry of the other lapses late.
 */
export function withTarget(
  registry: Registry,
  target: RegisteredTarget,
): Registry {
  const next = new Map(registry);
  for (const [id, {target: other}] of registry) {
    if (other.address !== target.address || id === target.id) continue;
    if (other.incarnationMs > target.incarnationMs) return registry;
    if (other.incarnationMs < target.incarnationMs) next.delete(id);
  }
  return next.set(target.id, {target, missingUntilMs: 0});
}

/**
 * Registry after an entry was removed. Until `graceUntilMs` the removal may be
 * a lapse during an outage, so the target is kept as missing.
 */
export function withoutTarget(
  registry: Registry,
  id: string,
  nowMs: number,
  graceUntilMs: number,
): Registry {
  const entry = registry.get(id);
  if (entry === undefined) return registry;
  const next = new Map(registry);
  if (nowMs < graceUntilMs) {
    const missingUntilMs = entry.missingUntilMs || graceUntilMs;
    next.set(id, {target: entry.target, missingUntilMs});
  } else {
    next.delete(id);
  }
  return next;
}

/** Registry after a read of the whole list. */
export function withListedTargets(
  registry: Registry,
  targets: readonly RegisteredTarget[],
  nowMs: number,
  graceUntilMs: number,
): Registry {
  const listed = new Set(targets.map(({id}) => id));
  let next: Registry = registry;
  for (const id of registry.keys()) {
    if (!listed.has(id)) next = withoutTarget(next, id, nowMs, graceUntilMs);
  }
  for (const target of targets) next = withTarget(next, target);
  return next;
}

/** Registry without the missing targets whose grace has ended. */
export function withoutExpired(registry: Registry, nowMs: number): Registry {
  const isExpired = ({missingUntilMs}: RegistryEntry) =>
    missingUntilMs > 0 && missingUntilMs <= nowMs;
  if (![...registry.values()].some(isExpired)) return registry;
  return new Map([...registry].filter(([, entry]) => !isExpired(entry)));
}
