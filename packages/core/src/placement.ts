/** Order in which an entry tries the targets for a forwarded request, by estimated cost. */
import {hash32, rendezvousScore} from './rendezvous.js';
import {
  expectedFailures,
  expectedLatency,
  type TargetHealth,
} from './targethealth.js';

/** Availability of an adapter at an engine. */
export const ADAPTER_STATE = {
  loaded: 'loaded',
  /** Loaded earlier in this engine incarnation; the engine reloads it from its own memory. */
  recent: 'recent',
  absent: 'absent',
  /** Not loaded, and cannot be: the target node that controls the engine does not answer. */
  unavailable: 'unavailable',
} as const;

/** One of the values of {@link ADAPTER_STATE}. */
export type AdapterState = (typeof ADAPTER_STATE)[keyof typeof ADAPTER_STATE];

/** A target that may take a request. */
export interface PlacementCandidate {
  readonly id: string;
  /** Name used in rendezvous hashing; it stays the same across restarts of the target. */
  readonly rankName: string;
  /** Whether the target is in the entry's failure domain. */
  readonly isLocal: boolean;
  /**
   * Whether the target may be gone: it is missing from the list after an outage, or
   * its target node cannot reach the engine.
   */
  readonly isPossiblyGone: boolean;
  readonly health: TargetHealth;
  /** Requests at the target: the larger of the reported number and those of this entry. */
  readonly inProgress: number;
  /** Reported number of requests that wait at the target. */
  readonly waiting: number;
  /** Requests that the target runs at once. */
  readonly slots: number;
  /** Loads in progress at the target. */
  readonly loads: number;
  /** Time until the engine has a base model ready, in milliseconds; 0 if it has one. */
  readonly modelReadyMs: number;
  /** Time until the limit that the target states allows a further request, in milliseconds. */
  readonly limitWaitMs: number;
  /** Prompt tokens that the engine reads in a millisecond, as observed; 0 or absent if unknown. */
  readonly promptTokensPerMs?: number;
  /**
   * Time in which a plain target is expected to answer, from its last answers, in milliseconds; it
   * replaces the slower average of the health. Absent or 0 if it is not followed.
   */
  readonly paceMs?: number;
  /** Absent for a plain service. */
  readonly adapter?: AdapterState;
}

/**
 * Cost of a load from the engine's own memory, in milliseconds: a tenth of a fetch plus
 * the time for the load order.
 */
const RELOAD_COST_MS = 40;

/** Cost of a fetch from the weight store, in milliseconds: the specified time of one load. */
const FETCH_COST_MS = 250;

/**
 * Cost of each rendezvous rank below the first, in milliseconds. It makes entries agree
 * on the engine that loads an adapter.
 */
const RANK_COST_MS = 60;

/** Cost of one request in the batch, in milliseconds: its share of prefill and of longer steps. */
const REQUEST_COST_MS = 1.5;

/** Cost of a request that waits for a place in the batch, in milliseconds. */
const WAITING_REQUEST_COST_MS = 25;

/** Fraction of the batch slots up to which requests hardly slow each other down. */
const UNCONTENDED_BATCH_SHARE = 0.35;

/**
 * Additional cost of each request beyond that fraction, in milliseconds: prefill and
 * token generation then compete.
 */
const CONTENDING_REQUEST_COST_MS = 10;

/**
 * Cost of each load that must finish first, in milliseconds. It is far below the cost of
 * a fetch, because four loads run at once and some are short.
 */
const PRECEDING_LOAD_COST_MS = 30;

/** Number of loads that an engine carries out at once. */
const PARALLEL_LOADS = 4;

/**
 * Bounds of the factor by which requests in progress cost more at an engine than at its median peer.
 * A fast one does not cost less, since its observed speed may be that of kept prompts.
 */
const SLOWNESS = {least: 1, most: 8} as const;

/** Cost of a target in another failure domain, in milliseconds. */
const REMOTE_COST_MS = 3;

/** Cost of a target that fails every request, in milliseconds; scaled by the expected failure rate. */
const FAILURE_COST_MS = 2_000;

/** Cost of a target that is used only if there is no other, in milliseconds. */
const LAST_RESORT_COST_MS = 100_000;

/** Returns the costs that apply to engines and to plain services, in milliseconds. */
function commonCostMs(candidate: PlacementCandidate, nowMs: number): number {
  const {health, isPossiblyGone, isLocal} = candidate;
  const isAvoided = health.avoidUntilMs > nowMs;
  return (
    (isPossiblyGone ? 2 * LAST_RESORT_COST_MS : 0) +
    (isAvoided ? LAST_RESORT_COST_MS : 0) +
    (isLocal ? 0 : REMOTE_COST_MS) +
    expectedFailures(health, nowMs) * FAILURE_COST_MS
  );
}

/** Returns the cost of loading the adapter, in milliseconds; 0 if it is loaded. */
function loadCostMs(
  {adapter, loads}: PlacementCandidate,
  rank: number,
): number {
  if (adapter === ADAPTER_STATE.loaded) return 0;
  const precedingLoads = Math.max(0, loads + 1 - PARALLEL_LOADS);
  const queueMs = precedingLoads * PRECEDING_LOAD_COST_MS;
  return adapter === ADAPTER_STATE.recent
    ? RELOAD_COST_MS + queueMs
    : FETCH_COST_MS + rank * RANK_COST_MS + queueMs;
}

/** Median of the observed speeds, in prompt tokens per millisecond; 0 if none is known. */
function medianSpeed(candidates: readonly PlacementCandidate[]): number {
  const speeds = candidates
    .map(({promptTokensPerMs = 0}) => promptTokensPerMs)
    .filter(speed => speed > 0)
    .sort((a, b) => a - b);
  return speeds[Math.floor(speeds.length / 2)] ?? 0;
}

/** What the cost of an engine depends on besides its own state. */
interface EngineCosts {
  readonly promptTokens: number;
  /** See {@link medianSpeed}. */
  readonly medianSpeed: number;
  readonly nowMs: number;
}

/** Returns the cost of an engine in milliseconds; `rank` is its rendezvous rank, from 0. */
function engineCostMs(
  candidate: PlacementCandidate,
  rank: number,
  {promptTokens, medianSpeed, nowMs}: EngineCosts,
): number {
  const {inProgress, waiting, slots, modelReadyMs, limitWaitMs} = candidate;
  const speed = candidate.promptTokensPerMs || medianSpeed;
  const prefillMs = speed > 0 ? promptTokens / speed : 0;
  const slowness = Math.min(
    SLOWNESS.most,
    Math.max(SLOWNESS.least, speed > 0 ? medianSpeed / speed : 1),
  );
  // A request takes that many times as long, so it competes with as many others.
  const load = inProgress * slowness;
  const contendingLoad = Math.max(0, load - slots * UNCONTENDED_BATCH_SHARE);
  const queueMs =
    load * REQUEST_COST_MS +
    contendingLoad * CONTENDING_REQUEST_COST_MS +
    waiting * slowness * WAITING_REQUEST_COST_MS;
  return (
    queueMs +
    prefillMs +
    modelReadyMs +
    limitWaitMs +
    loadCostMs(candidate, rank) +
    commonCostMs(candidate, nowMs)
  );
}

/** Options of {@link rankEngines}. */
export interface EngineRankOptions {
  /** Number of tokens of the request's prompt; default: 0. A long prompt goes to a fast engine. */
  readonly promptTokens?: number;
}

/**
 * Returns the engines in the order in which a request for the adapter tries them,
 * cheapest first. Engines whose adapter state is `unavailable` are left out.
 */
export function rankEngines(
  adapterKey: string,
  candidates: readonly PlacementCandidate[],
  nowMs: number,
  {promptTokens = 0}: EngineRankOptions = {},
): readonly PlacementCandidate[] {
  const costs = {promptTokens, medianSpeed: medianSpeed(candidates), nowMs};
  const keyHash = hash32(adapterKey);
  const score = ({rankName}: PlacementCandidate) =>
    rendezvousScore(keyHash, hash32(rankName), 1);
  return candidates
    .filter(({adapter}) => adapter !== ADAPTER_STATE.unavailable)
    .map(candidate => ({candidate, score: score(candidate)}))
    .sort((a, b) => b.score - a.score)
    .map(({candidate}, rank) => ({
      candidate,
      costMs: engineCostMs(candidate, rank, costs),
    }))
    .sort((a, b) => a.costMs - b.costMs)
    .map(({candidate}) => candidate);
}

/** Assumed latency of a plain target without observations, in milliseconds. */
const DEFAULT_PLAIN_LATENCY_MS = 100;

/**
 * Returns the targets of a plain service in the order in which a request tries them, without
 * those whose limit allows no further request now.
 * The cost is the expected time to an answer plus a random term, which keeps entries
 * with the same information from all choosing the same target. `random` returns
 * numbers from 0 up to but not including 1.
 */
export function rankPlain(
  candidates: readonly PlacementCandidate[],
  nowMs: number,
  random: () => number,
): readonly PlacementCandidate[] {
  return candidates
    .filter(({limitWaitMs}) => limitWaitMs === 0)
    .map(candidate => {
      const {health, inProgress, slots, paceMs = 0} = candidate;
      const latencyMs =
        paceMs > 0
          ? paceMs
          : expectedLatency(health, DEFAULT_PLAIN_LATENCY_MS, nowMs);
      const rounds = 1 + inProgress / Math.max(1, slots / 2);
      const randomMs = random() * 0.3 * DEFAULT_PLAIN_LATENCY_MS;
      const costMs =
        latencyMs * rounds + randomMs + commonCostMs(candidate, nowMs);
      return {candidate, costMs};
    })
    .sort((a, b) => a.costMs - b.costMs)
    .map(({candidate}) => candidate);
}
