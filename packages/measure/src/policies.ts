/** The policies under comparison: how entries route and how targets choose loads. */
import {
  batchDelayMs,
  planLoad,
  rankTargets,
  routeCandidates,
  type AgedFrequency,
  type LoadPlan,
  type Popularity,
  type RouteCandidate,
  type SlotTable,
  type TargetView,
  type WaitingLoad,
} from '@balsamnotch/core';
import {STORE_LIMIT} from './limiter.js';
import type {Deployment} from './trace.js';

/** Inputs to the routing decision of an entry. */
export interface RouteInput {
  /** Key of the adapter version, `adapter@version`. */
  readonly key: string;
  readonly adapter: string;
  readonly views: readonly TargetView[];
  readonly nowMs: number;
  readonly popularity: Popularity;
  /** Number of requests that this entry routed before this one. */
  readonly routedCount: number;
  readonly deployment: Deployment;
}

/** Inputs to the choice of the next load at a target. */
export interface PlanInput {
  readonly table: SlotTable;
  readonly waiting: readonly WaitingLoad[];
  readonly frequency: AgedFrequency;
  readonly nowMs: number;
}

/** A policy for routing, loads and batches. */
export interface Policy {
  readonly name: string;
  /**
   * Whether the run uses the admission control, recent-work shares and permit
   * shares of balsamnotch; a baseline runs without them.
   */
  readonly isBalsamnotch: boolean;
  /** Returns the targets for a request, best first. Only the first is used. */
  route(input: RouteInput): readonly RouteCandidate[];
  /** Returns the next load, or undefined when none can start. */
  plan(input: PlanInput): LoadPlan | undefined;
  /** Returns how long ready requests wait for a fuller batch; 0 starts them now. */
  batchDelayMs(
    ready: {requests: number; active: number; sinceMs: number},
    nowMs: number,
    deployment: Deployment,
  ): number;
}

function soleCandidate(
  view: TargetView | undefined,
): readonly RouteCandidate[] {
  if (view === undefined) return [];
  return [{target: view.name, costMs: 0, isLoaded: false}];
}

function openRequests({report, sentSince}: TargetView): number {
  return (report?.active ?? 0) + (report?.queued ?? 0) + sentSince;
}

const BASELINE = {
  isBalsamnotch: false,
  /** Loads in order of arrival and evicts the least recently used adapter. */
  plan: ({table, waiting}: PlanInput) => {
    const longestWaiting = waiting.reduce<WaitingLoad | undefined>(
      (earliest, load) =>
        earliest === undefined || load.sinceMs < earliest.sinceMs
          ? load
          : earliest,
      undefined,
    );
    return longestWaiting && planLoad(table, [longestWaiting]);
  },
  batchDelayMs: () => 0,
};

const ROUND_ROBIN: Policy = {
  ...BASELINE,
  name: 'round-robin',
  route: ({views, routedCount}) =>
    soleCandidate(views[routedCount % views.length]),
};

const LEAST_LOADED: Policy = {
  ...BASELINE,
  name: 'least-loaded',
  route: ({views}) =>
    soleCandidate(
      [...views].sort((a, b) => openRequests(a) - openRequests(b))[0],
    ),
};

const PLAIN_HASH: Policy = {
  ...BASELINE,
  name: 'plain-hash',
  route: ({key, views}) => soleCandidate(rankTargets(key, views)[0]),
};

const BALSAMNOTCH: Policy = {
  name: 'balsamnotch',
  isBalsamnotch: true,
  route: ({adapter, views, nowMs, popularity, deployment}) => {
    const request = {adapter, version: 'v1'};
    return routeCandidates(request, views, nowMs, {
      tolerances: deployment.tolerances,
      loadsPerSecond: STORE_LIMIT.loadsPerSecond,
      frequency: key => popularity.frequency(key, nowMs),
      adapterShare: popularity.adapterShare(request, views.length, nowMs),
    });
  },
  plan: ({table, waiting, frequency, nowMs}) =>
    planLoad(table, waiting, {frequency, nowMs}),
  batchDelayMs: (ready, nowMs, {batchSize, tolerances}) =>
    batchDelayMs(ready, nowMs, {
      batchSize,
      batchWaitMs: tolerances.batchWaitMs,
    }),
};

/** Baseline policies, all with least-recently-used eviction. */
export const BASELINES: readonly Policy[] = [
  PLAIN_HASH,
  ROUND_ROBIN,
  LEAST_LOADED,
];

/** All policies, with balsamnotch first. */
export const POLICIES: readonly Policy[] = [BALSAMNOTCH, ...BASELINES];
