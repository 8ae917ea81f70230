/**
 * Memory of the targets that were removed from the list. A store that returns from an older copy
 * lists them again as they were, although they have ended or are about to.
 */
import type {RegisteredTarget, Registry} from './registry.js';

/** A target that was removed from the list. */
export interface Departure {
  readonly incarnationMs: number;
  /** Whether the target was leaving before it was removed. */
  readonly leaving: boolean;
  /** Monotonic time of the removal, in milliseconds. */
  readonly removedAtMs: number;
  /** Target as the restored list has it; absent if it does not list the target. */
  readonly held?: RegisteredTarget | undefined;
}

/** Removed targets by id, in the order of their removal. */
export type Departures = ReadonlyMap<string, Departure>;

/** Time for which a removed target is remembered, in milliseconds; copies are some seconds old. */
export const DEPARTURE_MEMORY_MS = 60_000;

/** Maximum number of removed targets that are remembered. */
export const MAX_DEPARTURES = 4_096;

/**
 * Time after the return of the store from which on a target that is still listed counts as
 * running, in milliseconds. The entry of a target that has ended expires before, after three
 * missed heartbeats.
 */
export const HELD_BACK_MS = 10_000;

/** Returns whether the target is the incarnation that was removed, or an earlier one. */
function isDeparted(
  target: RegisteredTarget,
  departure: Departure | undefined,
): departure is Departure {
  return (
    departure !== undefined && target.incarnationMs <= departure.incarnationMs
  );
}

/** Returns the removed targets after the registry has changed from `before` to `after`. */
export function withDepartures(
  departures: Departures,
  before: Registry,
  after: Registry,
  nowMs: number,
): Departures {
  if (before === after) return departures;
  const next = new Map(departures);
  for (const id of after.keys()) next.delete(id);
  for (const [id, {target}] of before) {
    if (after.has(id)) continue;
    const {incarnationMs, leaving} = target;
    next.delete(id);
    next.set(id, {incarnationMs, leaving, removedAtMs: nowMs});
  }
  for (const id of next.keys()) {
    if (next.size <= MAX_DEPARTURES) break;
    next.delete(id);
  }
  return next;
}

/** Listed targets, without those that are held back. */
export interface ListedTargets {
  readonly targets: readonly RegisteredTarget[];
  readonly departures: Departures;
}

/**
 * Holds back the listed targets that had been removed before the store returned at
 * `restoredAtMs`: until their entries are written again, or until {@link HELD_BACK_MS}.
 */
export function withoutDeparted(
  listed: readonly RegisteredTarget[],
  departures: Departures,
  nowMs: number,
  restoredAtMs: number,
): ListedTargets {
  const next = new Map<string, Departure>();
  for (const [id, departure] of departures) {
    next.set(id, {...departure, held: undefined});
  }
  const isHeldBack = (target: RegisteredTarget) => {
    const departure = next.get(target.id);
    if (!isDeparted(target, departure)) return false;
    if (departure.removedAtMs >= restoredAtMs) return false;
    if (nowMs >= restoredAtMs + HELD_BACK_MS) return false;
    next.set(target.id, {...departure, held: target});
    return true;
  };
  const targets = listed.filter(target => !isHeldBack(target));
  return {targets, departures: next};
}

/** Returns the targets whose holding back has ended, and the removed targets after that. */
export function releasedTargets(
  departures: Departures,
  nowMs: number,
  restoredAtMs: number,
): ListedTargets {
  const isOver = nowMs >= restoredAtMs + HELD_BACK_MS;
  if (!isOver || heldBackCount(departures) === 0) {
    return {targets: [], departures};
  }
  const targets = [...departures.values()].flatMap(({held}) => held ?? []);
  const next = [...departures].map(
    ([id, departure]) => [id, {...departure, held: undefined}] as const,
  );
  return {targets, departures: new Map(next)};
}

/** Returns the number of targets that are held back. */
export function heldBackCount(departures: Departures): number {
  return [...departures.values()].filter(({held}) => held).length;
}

/** Returns the removed targets after the entry of one was removed again. */
export function withoutHeld(departures: Departures, id: string): Departures {
  const departure = departures.get(id);
  if (departure?.held === undefined) return departures;
  return new Map(departures).set(id, {...departure, held: undefined});
}

/** Returns the removed targets without those that no recent copy can list. */
export function withoutForgotten(
  departures: Departures,
  nowMs: number,
): Departures {
  const isForgotten = ({removedAtMs, held}: Departure) =>
    held === undefined && nowMs - removedAtMs >= DEPARTURE_MEMORY_MS;
  if (![...departures.values()].some(isForgotten)) return departures;
  return new Map([...departures].filter(([, entry]) => !isForgotten(entry)));
}

/** Returns a target whose entry was written, as leaving if its incarnation was leaving when it was removed. */
export function asDeparted(
  target: RegisteredTarget,
  departures: Departures,
): RegisteredTarget {
  const departure = departures.get(target.id);
  const isSame =
    target.incarnationMs > 0 &&
    departure?.incarnationMs === target.incarnationMs;
  return isSame && departure.leaving ? {...target, leaving: true} : target;
}
