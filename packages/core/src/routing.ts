/** Selection of the target for a chat: compares the expected costs at the targets known to the entry. */
import {hash32, rendezvousScore, type WeightedTarget} from './rendezvous.js';
import {
  NODE_STATE,
  adapterKey,
  type AdapterVersion,
  type TargetReport,
  type Tolerances,
} from './report.js';

/** State of one live target as known to an entry. */
export interface TargetView extends WeightedTarget {
  /** Absent until the first report. */
  readonly report?: TargetReport;
  /** Time on the entry's monotonic clock at which the report arrived, in milliseconds. */
  readonly reportAtMs: number;
  /** Requests that this entry has sent since the report and that have not ended. */
  readonly sentSince: number;
  /**
   * Time on the entry's monotonic clock until which the target gets no new requests, in
   * milliseconds; 0 if there is no such restriction.
   */
  readonly avoidUntilMs: number;
  /** Requests that this entry recently sent to the target, relative to the mean of all targets; 1 if unknown. */
  readonly recentShare?: number;
}

/** A target that may serve the request, with its expected cost. */
export interface RouteCandidate {
  readonly target: string;
  /** Expected wait with the weights of {@link RouteOptions} applied, in milliseconds. */
  readonly costMs: number;
  /** Whether the target has the adapter loaded, is loading it or has requests waiting for it. */
  readonly isLoaded: boolean;
  /** Expected unweighted wait before the request starts, in milliseconds. */
  readonly waitMs?: number;
}

/** Options of {@link routeCandidates}. */
export interface RouteOptions {
  readonly tolerances: Tolerances;
  /** Expected duration of one load without queueing, in milliseconds. */
  readonly loadMs?: number;
  /** Load rate limit that all targets of the pool share, in loads per second; 0 if unknown. */
  readonly loadsPerSecond?: number;
  /** Aged number of requests for an adapter version that this entry has received, by key. */
  readonly frequency?: (key: string) => number;
  /** Cost of an eviction per request counted for the evicted adapter, in milliseconds. */
  readonly evictionPerRequestMs?: number;
  /**
   * Cost of sending a request to a target with twice the mean number of recent requests, in
   * milliseconds, before the reductions in `imbalanceCostMs`.
   */
  readonly imbalanceMs?: number;
  /** Requests for the adapter, relative to the mean number of requests of one target. */
  readonly adapterShare?: number;
  /** Cost of starting an idle engine, in milliseconds. */
  readonly idleStartMs?: number;
}

/**
 * Number of best-ranked targets that are considered in addition to the holders of the adapter.
 * A holder has the adapter loaded, is loading it or has requests waiting for it.
 */
const RANKED_TARGETS = 8;

/** Value used in place of `adapterShare` for an adapter without a holder. */
const COLD_ADAPTER_SHARE = 0.1;

/**
 * Excess of a target's recent requests over the mean, relative to the mean, up to which
 * they add no cost for an adapter that has a holder.
 */
const RECENT_SHARE_TOLERANCE = 0.2;

/** Inputs to the cost of one request that do not depend on the target. */
interface RouteCosts extends Required<RouteOptions> {
  readonly request: AdapterVersion;
  readonly nowMs: number;
  /** Expected wait for the pool's load rate limit, in milliseconds. */
  readonly poolWaitMs: number;
  /** Whether the adapter has a holder. */
  readonly isHeld: boolean;
}

function isSame(a: AdapterVersion, b: AdapterVersion): boolean {
  return a.adapter === b.adapter && a.version === b.version;
}

/**
 * Returns the expected wait for a place in the batch, in milliseconds, less the time that
 * has passed since the report.
 */
function queueWaitMs(
  {sentSince, reportAtMs}: TargetView,
  report: TargetReport,
  nowMs: number,
): number {
  const batchSize = Math.max(1, report.batchSize);
  const precedingRequests = report.queued + report.active + sentSince;
  const rounds = Math.max(0, precedingRequests + 1 - batchSize) / batchSize;
  return Math.max(0, rounds * report.serviceMs - (nowMs - reportAtMs));
}

/** Returns the expected wait for a load, in milliseconds. */
function loadWaitMs(report: TargetReport, costs: RouteCosts): number {
  const {loadMs, loadsPerSecond, poolWaitMs} = costs;
  return loadsPerSecond > 0
    ? loadMs + poolWaitMs
    : loadMs * (1 + report.loadsPending);
}

/** Returns the cost of the eviction that a load at the target requires, in milliseconds. */
function evictionCostMs(
  report: TargetReport,
  {frequency, evictionPerRequestMs}: RouteCosts,
): number {
  if (report.loaded.length < report.slots) return 0;
  let lowestFrequency = Infinity;
  for (const adapter of report.loaded) {
    if (adapter.active + adapter.queued > 0) continue;
    lowestFrequency = Math.min(lowestFrequency, frequency(adapterKey(adapter)));
  }
  // If every slot is in use, the load waits until a request ends.
  return lowestFrequency === Infinity
    ? report.serviceMs
    : lowestFrequency * evictionPerRequestMs;
}

/**
 * Returns the cost of imbalance between targets, in milliseconds. Moving requests away
 * from a holder adds a replica that occupies a slot for a long time, so for an adapter
 * with a holder the cost starts above a tolerance and grows with the adapter's share of
 * requests. An adapter without a holder needs a slot at some target in any case.
 */
function imbalanceCostMs(
  {recentShare = 1}: TargetView,
  {isHeld, imbalanceMs, adapterShare}: RouteCosts,
): number {
  if (!isHeld) return imbalanceMs * COLD_ADAPTER_SHARE * (recentShare - 1);
  const excess = Math.max(0, recentShare - 1 - RECENT_SHARE_TOLERANCE);
  return imbalanceMs * Math.min(1, adapterShare) * excess;
}

/** Returns the expected cost of serving the request at one target. */
function toCandidate(view: TargetView, costs: RouteCosts): RouteCandidate {
  const {report} = view;
  const imbalanceMs = imbalanceCostMs(view, costs);
  if (report === undefined) {
    const waitMs = costs.loadMs;
    return {
      target: view.name,
      costMs: waitMs + imbalanceMs,
      waitMs,
      isLoaded: false,
    };
  }
  const isLoaded = report.loaded.some(adapter =>
    isSame(adapter, costs.request),
  );
  const queueMs = queueWaitMs(view, report, costs.nowMs);
  const loadMs = isLoaded ? 0 : loadWaitMs(report, costs);
  const stallMs = isLoaded
    ? 0
    : costs.tolerances.stallWeight * loadMs + evictionCostMs(report, costs);
  const isIdle = report.active + report.queued + view.sentSince === 0;
  const idleMs = isIdle ? costs.idleStartMs : 0;
  return {
    target: view.name,
    costMs: queueMs + stallMs + imbalanceMs + idleMs,
    waitMs: queueMs + loadMs,
    isLoaded,
  };
}

/** Adds the defaults of the options and the values that all targets have in common. */
function routeCosts(
  request: AdapterVersion,
  views: readonly TargetView[],
  nowMs: number,
  isHeld: boolean,
  options: RouteOptions,
): RouteCosts {
  const {loadsPerSecond = 0} = options;
  let pendingLoads = 0;
  for (const {report} of views) pendingLoads += report?.loadsPending ?? 0;
  return {
    loadMs: 250,
    evictionPerRequestMs: 300,
    imbalanceMs: 6_000,
    adapterShare: 1,
    idleStartMs: 0,
    frequency: () => 1,
    ...options,
    isHeld,
    loadsPerSecond,
    request,
    nowMs,
    poolWaitMs:
      loadsPerSecond > 0 ? (1_000 * pendingLoads) / loadsPerSecond : 0,
  };
}

/** Hashes of a target's name and of the keys of its adapters. */
interface ReportHashes {
  readonly name: number;
  readonly loaded: readonly number[];
}

/** Cache of the hashes of each report: a routing decision then hashes only its adapter key. */
const reportHashes = new WeakMap<TargetReport, ReportHashes>();

function hashesOf(report: TargetReport): ReportHashes {
  let hashes = reportHashes.get(report);
  if (hashes === undefined) {
    const loaded = report.loaded.map(adapter => hash32(adapterKey(adapter)));
    hashes = {name: hash32(report.node), loaded};
    reportHashes.set(report, hashes);
  }
  return hashes;
}

function includes(hashes: readonly number[], searched: number): boolean {
  for (const hash of hashes) if (hash === searched) return true;
  return false;
}

/** A view with its rendezvous score for the adapter. */
interface RankedView {
  readonly view: TargetView;
  readonly score: number;
  readonly isHolder: boolean;
}

/** Returns whether `a` has the higher rank; equal scores are ordered by name. */
function isBetter(a: RankedView, b: RankedView): boolean {
  return (
    a.score > b.score || (a.score === b.score && a.view.name < b.view.name)
  );
}

/** Inserts a view into the best `RANKED_TARGETS`, ordered from the best. */
function insertRank(ranks: RankedView[], ranked: RankedView): void {
  const last = ranks[RANKED_TARGETS - 1];
  if (last !== undefined && !isBetter(ranked, last)) return;
  let index = ranks.length;
  while (index > 0 && isBetter(ranked, ranks[index - 1] ?? ranked)) index -= 1;
  ranks.splice(index, 0, ranked);
  if (ranks.length > RANKED_TARGETS) ranks.pop();
}

/**
 * Returns the holders of the adapter and the best-ranked other targets, best rank first.
 * Targets that accept no new requests are left out.
 */
function selectViews(
  key: string,
  views: readonly TargetView[],
  nowMs: number,
): readonly RankedView[] {
  const keyHash = hash32(key);
  const holders: RankedView[] = [];
  const ranks: RankedView[] = [];
  for (const view of views) {
    const {report} = view;
    if (view.avoidUntilMs > nowMs) continue;
    if (report !== undefined && report.state !== NODE_STATE.serving) continue;
    const hashes = report && hashesOf(report);
    const nameHash = hashes?.name ?? hash32(view.name);
    const score = rendezvousScore(keyHash, nameHash, view.weight);
    const isHolder = hashes !== undefined && includes(hashes.loaded, keyHash);
    const last = ranks[RANKED_TARGETS - 1];
    if (!isHolder && last !== undefined && score < last.score) continue;
    const ranked = {view, score, isHolder};
    if (isHolder) holders.push(ranked);
    else insertRank(ranks, ranked);
  }
  return [...holders, ...ranks].sort((a, b) => (isBetter(a, b) ? -1 : 1));
}

/**
 * Returns the targets in the order in which an entry tries them, cheapest first; ties
 * go to the better rendezvous rank. All holders of the adapter and the best-ranked
 * other targets are considered.
 */
export function routeCandidates(
  request: AdapterVersion,
  views: readonly TargetView[],
  nowMs: number,
  options: RouteOptions,
): readonly RouteCandidate[] {
  const ranked = selectViews(adapterKey(request), views, nowMs);
  const isHeld = ranked.some(({isHolder}) => isHolder);
  const costs = routeCosts(request, views, nowMs, isHeld, options);
  return ranked
    .map(({view}) => toCandidate(view, costs))
    .sort((a, b) => a.costMs - b.costMs);
}
