/** Which target serves a chat: a cost comparison over what the entry knows of each target. */
import {rankTargets, type WeightedTarget} from './rendezvous.js';
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
  /** Cost of starting an idle engine, in milliseconds. */
  readonly idleMs?: number;
}

/** What the costs of one request depend on besides the view. */
interface RouteCosts extends Required<RouteOptions> {
  readonly request: AdapterVersion;
  readonly nowMs: number;
  /** Expected wait for the next load at any target, in milliseconds. */
  readonly poolWaitMs: number;
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

/** Cost of serving the request at one target. */
function candidate(view: TargetView, costs: RouteCosts): RouteCandidate {
  const {report} = view;
  const shareMs = costs.balanceMs * ((view.recentShare ?? 1) - 1);
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
  options: RouteOptions,
): RouteCosts {
  const {loadsPerSecond = 0} = options;
  const pending = views.reduce(
    (sum, view) => sum + (view.report?.loadsPending ?? 0),
    0,
  );
  return {
    loadMs: 250,
    evictionMs: 100,
    balanceMs: 0,
    idleMs: 0,
    frequency: () => 1,
    ...options,
    loadsPerSecond,
    request,
    nowMs,
    poolWaitMs: loadsPerSecond > 0 ? (1_000 * pending) / loadsPerSecond : 0,
  };
}

/**
 * Live targets in the order in which an entry tries them, the cheapest first;
 * equal costs go to the better rendezvous rank.
 */
export function routeCandidates(
  request: AdapterVersion,
  views: readonly TargetView[],
  nowMs: number,
  options: RouteOptions,
): readonly RouteCandidate[] {
  const costs = withDefaults(request, views, nowMs, options);
  const usable = views.filter(
    view =>
      view.avoidUntilMs <= nowMs && view.report?.state !== NODE_STATE.leaving,
  );
  return rankTargets(adapterKey(request), usable)
    .map(view => candidate(view, costs))
    .sort((a, b) => a.costMs - b.costMs);
}
