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
}

/** A candidate with its expected cost. */
export interface RouteCandidate {
  readonly target: string;
  /** Expected weighted wait, in milliseconds. */
  readonly costMs: number;
  readonly loaded: boolean;
}

/** Options of {@link routeCandidates}. */
export interface RouteOptions {
  readonly tolerances: Tolerances;
  /** Expected time of one load without waiting, in milliseconds. */
  readonly loadMs?: number;
  /** Cost of the eviction that a load needs, in milliseconds. */
  readonly evictionMs?: number;
}

/** Cost of serving the adapter at one target. */
function cost(
  view: TargetView,
  key: string,
  {tolerances, loadMs = 250, evictionMs = 100}: RouteOptions,
): RouteCandidate {
  const report = view.report;
  if (report === undefined) {
    return {target: view.name, costMs: loadMs, loaded: false};
  }
  const loaded = report.loaded.some(held => adapterKey(held) === key);
  const ahead = report.queued + report.active + view.sentSince;
  const rounds = Math.max(0, ahead + 1 - report.batchSize) / report.batchSize;
  const queueMs = rounds * report.serviceMs;
  const stallMs = loaded
    ? 0
    : tolerances.stallWeight * loadMs * (1 + report.loadsPending) + evictionMs;
  return {target: view.name, costMs: queueMs + stallMs, loaded};
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
  const key = adapterKey(request);
  const usable = views.filter(
    view =>
      view.avoidUntilMs <= nowMs && view.report?.state !== NODE_STATE.leaving,
  );
  return rankTargets(key, usable)
    .map(view => cost(view, key, options))
    .sort((a, b) => a.costMs - b.costMs);
}
