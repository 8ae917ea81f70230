/**
 * Probes by which entries follow engines that they send no requests to, and the
 * number of entries that a target node estimates from them.
 */
import {itemsSince, withItem, type TimedItem} from './window.js';

/** Probes per second that all entries of a deployment send together. */
const PROBES_PER_SECOND = 120;

/** Upper limit of the probes per second of one entry; applies with few entries. */
const MAX_ENTRY_PROBES_PER_SECOND = 12.5;

/**
 * Lower limit of the probes per second of one entry. Operator changes reach an entry
 * without requests by its probes, and must do so within seconds.
 */
const MIN_ENTRY_PROBES_PER_SECOND = 1;

/** Number of entries assumed while the actual number is unknown. */
export const ASSUMED_ENTRIES = 20;

/**
 * Returns the time between two probes of one entry, in milliseconds. The probes of
 * all entries together stay constant, so their cost does not grow with the product
 * of entries and engines. `entries` is 0 if unknown.
 */
export function probeIntervalMs(entries: number): number {
  const perSecond = PROBES_PER_SECOND / (entries || ASSUMED_ENTRIES);
  return (
    1_000 /
    Math.min(
      MAX_ENTRY_PROBES_PER_SECOND,
      Math.max(MIN_ENTRY_PROBES_PER_SECOND, perSecond),
    )
  );
}

/**
 * Returns the number of an entry's first probe, which decides the target node that its rounds
 * begin at. Entries that start together would otherwise all probe the same node, and no other
 * for a whole round. `random` is from 0 up to but not including 1.
 */
export function firstProbe(random: number): number {
  return Math.floor(random * 2 ** 20);
}

/** Time over which a target node counts probes, in milliseconds. */
const COUNT_WINDOW_MS = 20_000;

/** Time after its start for which a target node states no count, in milliseconds. */
const MIN_COUNT_WINDOW_MS = 3_000;

/** A probe as a target node counts it. */
export interface CountedProbe extends TimedItem {
  /** Time between two probes of its sender to this node, in milliseconds. */
  readonly intervalMs: number;
  /** Requests per second that its sender sends to plain services. */
  readonly requestsPerSecond: number;
}

/** Adds a probe and drops those before the window. */
export function withProbe(
  probes: readonly CountedProbe[],
  probe: CountedProbe,
): readonly CountedProbe[] {
  return withItem(probes, probe, COUNT_WINDOW_MS);
}

/**
 * Estimates the number of entries from the probes that reached one target node; 0 if
 * the node has not run long enough. A probe counts for the share of the window that
 * passes until the next one of its sender, so entries that probe rarely are not
 * underestimated.
 */
export function estimatedEntries(
  probes: readonly CountedProbe[],
  startedAtMs: number,
  nowMs: number,
): number {
  return sumOverEntries(probes, startedAtMs, nowMs, () => 1);
}

/**
 * Estimates the requests per second that all entries together send to plain services, from
 * the probes that reached one target node; 0 if the node has not run long enough.
 */
export function estimatedRequests(
  probes: readonly CountedProbe[],
  startedAtMs: number,
  nowMs: number,
): number {
  return sumOverEntries(
    probes,
    startedAtMs,
    nowMs,
    ({requestsPerSecond}) => requestsPerSecond,
  );
}

/** Sums a value that entries state in their probes over all entries. */
function sumOverEntries(
  probes: readonly CountedProbe[],
  startedAtMs: number,
  nowMs: number,
  valueOf: (probe: CountedProbe) => number,
): number {
  const windowMs = Math.min(COUNT_WINDOW_MS, nowMs - startedAtMs);
  if (windowMs < MIN_COUNT_WINDOW_MS) return 0;
  return itemsSince(probes, nowMs - windowMs).reduce(
    (sum, probe) => sum + (valueOf(probe) * probe.intervalMs) / windowMs,
    0,
  );
}

/**
 * Number of nodes that are told of an operator change at once; the others learn of it
 * from the next message between two nodes. With 68 entries and 41 target nodes, each
 * target node hears of a change from 13 entries in the first round.
 */
const ANNOUNCED_NODES = 8;

/** Returns the probability with which a change is announced to each of `nodes` nodes. */
export function announcementProbability(nodes: number): number {
  return Math.min(1, ANNOUNCED_NODES / Math.max(1, nodes));
}

/**
 * Share of these nodes to which an entry passes a crash record on. The target node of the engine
 * sends it to all entries at once, so each of them needs to tell few others.
 */
const PASSED_ON_SHARE = 0.25;

/** Returns the probability with which an entry passes a crash record on to each of `nodes` nodes. */
export function passingProbability(nodes: number): number {
  return PASSED_ON_SHARE * announcementProbability(nodes);
}

/**
 * Returns the probability with which a node sends a crash record that entries add to, to each of
 * `nodes` nodes. No target node sends it to all entries, so each node tells more others.
 */
export function spreadingProbability(nodes: number): number {
  return announcementProbability(nodes);
}

/** Time for which a count of entries holds although a lower one follows, in milliseconds. */
const COUNT_KEPT_MS = 60_000;

/** A count of the entries of the deployment. */
export interface EntryCount extends TimedItem {
  readonly entries: number;
}

/** Counts that may still be the highest, the highest first. */
export type EntryCounts = readonly EntryCount[];

/** Adds a count; 0 for unknown changes nothing. */
export function withEntryCount(
  counts: EntryCounts,
  entries: number,
  nowMs: number,
): EntryCounts {
  if (entries === 0) return counts;
  const higher = itemsSince(counts, nowMs - COUNT_KEPT_MS).filter(
    count => count.entries > entries,
  );
  return [...higher, {atMs: nowMs, entries}];
}

/**
 * Returns the number of entries to divide a common limit by: the highest recent count, since
 * target nodes that were restarted or unreachable count too few, or else the last one; 0 if
 * there was none.
 */
export function entriesToShare(counts: EntryCounts, nowMs: number): number {
  const recent = itemsSince(counts, nowMs - COUNT_KEPT_MS);
  return (recent[0] ?? counts.at(-1))?.entries ?? 0;
}
