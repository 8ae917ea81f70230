/** Which target serves a chat: a cost comparison over what the entry knows of each target. */
import {hash32, rendezvousScore, type WeightedTarget} from './rendezvous.js';
import {
  NODE_STATE,
  adapterKey,
  type AdapterVersion,
  type TargetReport,
  type Tolerances,
} from './report.js';

/** What an entry knows of one live target. */
export interface TargetView extends WeightedTarget {
  /** Absent until the first report. */
  readonly report?: TargetReport;
  /** Entry's monotonic clock when the report arrived, in milliseconds. */
  readonly reportAtMs: number;
  /** Requests that this entry sent after the report and that are open. */
  readonly sentSince: number;
  /** Entry's monotonic clock until which the target gets no new work; 0 for none. */
  readonly avoidUntilMs: number;
  /** Work that this entry sent lately, relative to the mean over targets; 1 when unknown. */
  readonly recentShare?: number;
}

/** A candidate with its expected cost. */
export interface RouteCandidate {
  readonly target: string;
  /** Expected weighted wait, in milliseconds. */
  readonly costMs: number;
  readonly loaded: boolean;
  /** Expected wait before the request starts, without weights, in milliseconds. */
  readonly waitMs?: number;
}

/** Options of {@link routeCandidates}. */
export interface RouteOptions {
  readonly tolerances: Tolerances;
  /** Expected time of one load without waiting, in milliseconds. */
  readonly loadMs?: number;
  /** Loads a second that all targets of the pool share; 0 when not known. */
  readonly loadsPerSecond?: number;
  /** Aged number of requests for an adapter version, as this entry counts them. */
  readonly frequency?: (key: string) => number;
  /** Cost of evicting an adapter that was requested once, in milliseconds. */
  readonly evictionMs?: number;
  /** Cost of a target with twice the mean of recent work, in milliseconds. */
  readonly balanceMs?: number;
  /** Requests for the adapter, relative to the mean of recent work over targets. */
  readonly adapterShare?: number;
  /** Cost of starting an idle engine, in milliseconds. */
  readonly idleMs?: number;
}

/** Targets that are considered besides those that hold the adapter. */
const RANKS = 8;

/** Share that stands for an adapter that no target holds. */
const COLD_SHARE = 0.1;

/** Excess of a target's work over the mean that moves no held adapter. */
const SHARE_TOLERANCE = 0.2;

/** What the costs of one request depend on besides the view. */
interface RouteCosts extends Required<RouteOptions> {
  readonly request: AdapterVersion;
  readonly nowMs: number;
  /** Expected wait for the next load at any target, in milliseconds. */
  readonly poolWaitMs: number;
  /** True when a target holds the adapter or waits for it. */
  readonly isHeld: boolean;
}

function isSame(a: AdapterVersion, b: AdapterVersion): boolean {
  return a.adapter === b.adapter && a.version === b.version;
}

/** Expected wait for a place in the batch, less what the target finished since the report. */
function queueWaitMs(
  {sentSince, reportAtMs}: TargetView,
  report: TargetReport,
  nowMs: number,
): number {
  const batchSize = Math.max(1, report.batchSize);
  const ahead = report.queued + report.active + sentSince;
  const rounds = Math.max(0, ahead + 1 - batchSize) / batchSize;
  return Math.max(0, rounds * report.serviceMs - (nowMs - reportAtMs));
}

/** Expected wait for a load, in milliseconds. */
function loadWaitMs(report: TargetReport, costs: RouteCosts): number {
  const {loadMs, loadsPerSecond, poolWaitMs} = costs;
  return loadsPerSecond > 0
    ? loadMs + poolWaitMs
    : loadMs * (1 + report.loadsPending);
}

/** Cost of the eviction that a load at the target needs, in milliseconds. */
function evictionCostMs(
  report: TargetReport,
  {frequency, evictionMs}: RouteCosts,
): number {
  if (report.loaded.length < report.slots) return 0;
  let lowest = Infinity;
  for (const held of report.loaded) {
    if (held.active + held.queued > 0) continue;
    lowest = Math.min(lowest, frequency(adapterKey(held)));
  }
  // With every slot in use the load waits for the end of a request.
  return lowest === Infinity ? report.serviceMs : lowest * evictionMs;
}

/**
 * Cost of the target's recent work. Another replica takes a slot for long, so
 * it pays only above a tolerance and as far as the adapter is requested; a cold
 * adapter takes a slot somewhere in any case.
 */
function shareCostMs(
  {recentShare = 1}: TargetView,
  {isHeld, balanceMs, adapterShare}: RouteCosts,
): number {
  if (!isHeld) return balanceMs * COLD_SHARE * (recentShare - 1);
  const excess = Math.max(0, recentShare - 1 - SHARE_TOLERANCE);
  return balanceMs * Math.min(1, adapterShare) * excess;
}

/** Cost of serving the request at one target. */
function candidate(view: TargetView, costs: RouteCosts): RouteCandidate {
  const {report} = view;
  const shareMs = shareCostMs(view, costs);
  if (report === undefined) {
    const waitMs = costs.loadMs;
    return {target: view.name, costMs: waitMs + shareMs, waitMs, loaded: false};
  }
  const loaded = report.loaded.some(held => isSame(held, costs.request));
  const queueMs = queueWaitMs(view, report, costs.nowMs);
  const loadMs = loaded ? 0 : loadWaitMs(report, costs);
  const stallMs = loaded
    ? 0
    : costs.tolerances.stallWeight * loadMs + evictionCostMs(report, costs);
  const isIdle = report.active + report.queued + view.sentSince === 0;
  const idleMs = isIdle ? costs.idleMs : 0;
  return {
    target: view.name,
    costMs: queueMs + stallMs + shareMs + idleMs,
    waitMs: queueMs + loadMs,
    loaded,
  };
}

function withDefaults(
  request: AdapterVersion,
  views: readonly TargetView[],
  nowMs: number,
  isHeld: boolean,
  options: RouteOptions,
): RouteCosts {
  const {loadsPerSecond = 0} = options;
  let pending = 0;
  for (const {report} of views) pending += report?.loadsPending ?? 0;
  return {
    loadMs: 250,
    evictionMs: 300,
    balanceMs: 6_000,
    adapterShare: 1,
    idleMs: 0,
    frequency: () => 1,
    ...options,
    isHeld,
    loadsPerSecond,
    request,
    nowMs,
    poolWaitMs: loadsPerSecond > 0 ? (1_000 * pending) / loadsPerSecond : 0,
  };
}

/** Hashes of a target's name and adapters. */
interface ReportHashes {
  readonly name: number;
  readonly loaded: readonly number[];
}

/** Hashes of each report, so that a decision hashes no name but its own key. */
const reportHashes = new WeakMap<TargetReport, ReportHashes>();

function hashesOf(report: TargetReport): ReportHashes {
  let hashes = reportHashes.get(report);
  if (hashes === undefined) {
    const loaded = report.loaded.map(held => hash32(adapterKey(held)));
    hashes = {name: hash32(report.node), loaded};
    reportHashes.set(report, hashes);
  }
  return hashes;
}

function includes(hashes: readonly number[], wanted: number): boolean {
  for (const hash of hashes) if (hash === wanted) return true;
  return false;
}

interface RankedView {
  readonly view: TargetView;
  readonly score: number;
  readonly isHolder: boolean;
}

function isBetter(a: RankedView, b: RankedView): boolean {
  return (
    a.score > b.score || (a.score === b.score && a.view.name < b.view.name)
  );
}

/** Keeps the best `RANKS`, the best first. */
function insertRank(ranks: RankedView[], ranked: RankedView): void {
  const last = ranks[RANKS - 1];
  if (last !== undefined && !isBetter(ranked, last)) return;
  let place = ranks.length;
  while (place > 0 && isBetter(ranked, ranks[place - 1] ?? ranked)) place -= 1;
  ranks.splice(place, 0, ranked);
  if (ranks.length > RANKS) ranks.pop();
}

/** The holders of the adapter and the first ranks, the best rank first. */
function considered(
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
    const name = hashes?.name ?? hash32(view.name);
    const score = rendezvousScore(keyHash, name, view.weight);
    const isHolder = hashes !== undefined && includes(hashes.loaded, keyHash);
    const last = ranks[RANKS - 1];
    if (!isHolder && last !== undefined && score < last.score) continue;
    const ranked = {view, score, isHolder};
    if (isHolder) holders.push(ranked);
    else insertRank(ranks, ranked);
  }
  return [...holders, ...ranks].sort((a, b) => (isBetter(a, b) ? -1 : 1));
}

/**
 * Targets in the order in which an entry tries them, the cheapest first; equal
 * costs go to the better rendezvous rank. All targets that hold the adapter and
 * the first ranks of the others are considered.
 */
export function routeCandidates(
  request: AdapterVersion,
  views: readonly TargetView[],
  nowMs: number,
  options: RouteOptions,
): readonly RouteCandidate[] {
  const ranked = considered(adapterKey(request), views, nowMs);
  const isHeld = ranked.some(({isHolder}) => isHolder);
  const costs = withDefaults(request, views, nowMs, isHeld, options);
  return ranked
    .map(({view}) => candidate(view, costs))
    .sort((a, b) => a.costMs - b.costMs);
}
