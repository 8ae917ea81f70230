/** Order in which an entry tries the targets of a forwarded request. */
import {hash32, rendezvousScore} from './rendezvous.js';
import {
  expectedFailures,
  expectedLatency,
  type TargetHealth,
} from './targethealth.js';

/** Presence of an adapter at an engine. */
export const ADAPTER_STATE = {
  loaded: 'loaded',
  /** Held by this start of the engine before, so that it loads from the engine's own memory. */
  recent: 'recent',
  absent: 'absent',
  /** Nobody can order the load: the target node beside the engine does not answer. */
  unavailable: 'unavailable',
} as const;

/** One of the values of {@link ADAPTER_STATE}. */
export type AdapterState = (typeof ADAPTER_STATE)[keyof typeof ADAPTER_STATE];

/** A target that may take a request. */
export interface PlacementCandidate {
  readonly id: string;
  /** Name that keeps its rank over restarts of the target. */
  readonly rankName: string;
  readonly isLocal: boolean;
  /** Listed as leaving, or missing from the list after an outage. */
  readonly isDoubtful: boolean;
  readonly health: TargetHealth;
  /** Requests at the target: those it reported and those sent since. */
  readonly inProgress: number;
  /** Requests that wait at the target, as reported. */
  readonly waiting: number;
  readonly slots: number;
  /** Loads in progress at the target. */
  readonly loads: number;
  /** Time until the engine has a base model, in milliseconds; 0 when it has one. */
  readonly modelReadyMs: number;
  /** Absent for a plain service. */
  readonly adapter?: AdapterState;
}

/** Cost of a load from the engine's own memory, in milliseconds: a tenth of a fetch, and the order. */
const RECENT_COST_MS = 40;

/** Cost of a fetch from the weight store, in milliseconds: the stated time of one load. */
const FETCH_COST_MS = 250;

/** Cost of each rank below the first, in milliseconds, so that entries agree on the engine of an adapter. */
const RANK_COST_MS = 60;

/** Cost of one request in the batch: its share of prefill and of longer steps, in milliseconds. */
const BATCH_COST_MS = 1.5;

/** Cost of a request that waits for a place, in milliseconds. */
const WAITING_COST_MS = 25;

/** Part of the batch up to which requests hardly slow each other. */
const FREE_BATCH_SHARE = 0.35;

/** Cost of a request beyond that part, in milliseconds: prompts and tokens then compete. */
const DENSE_BATCH_COST_MS = 10;

/** Cost of a load that goes first, in milliseconds; four run at once, and some are short. */
const PENDING_LOAD_COST_MS = 30;

/** Loads that an engine carries out at once. */
const PARALLEL_LOADS = 4;

/** Cost of a target in another failure domain, in milliseconds. */
const REMOTE_COST_MS = 3;

/** Cost of a target that fails every request, in milliseconds. */
const FAILURE_COST_MS = 2_000;

/** Cost of a target to be used only when there is no other, in milliseconds. */
const LAST_RESORT_MS = 100_000;

/** Costs that engines and plain services share, in milliseconds. */
function commonCostMs(candidate: PlacementCandidate, nowMs: number): number {
  const {health, isDoubtful, isLocal} = candidate;
  const isAvoided = health.avoidUntilMs > nowMs;
  return (
    (isDoubtful ? 2 * LAST_RESORT_MS : 0) +
    (isAvoided ? LAST_RESORT_MS : 0) +
    (isLocal ? 0 : REMOTE_COST_MS) +
    expectedFailures(health, nowMs) * FAILURE_COST_MS
  );
}

function loadCostMs(
  {adapter, loads}: PlacementCandidate,
  rank: number,
): number {
  if (adapter === ADAPTER_STATE.loaded) return 0;
  const ahead = Math.max(0, loads + 1 - PARALLEL_LOADS);
  const queueMs = ahead * PENDING_LOAD_COST_MS;
  return adapter === ADAPTER_STATE.recent
    ? RECENT_COST_MS + queueMs
    : FETCH_COST_MS + rank * RANK_COST_MS + queueMs;
}

/** Cost of an engine; `rank` counts from 0 in rendezvous order of the adapter. */
function engineCostMs(
  candidate: PlacementCandidate,
  rank: number,
  nowMs: number,
): number {
  const {inProgress, waiting, slots, modelReadyMs} = candidate;
  const dense = Math.max(0, inProgress - slots * FREE_BATCH_SHARE);
  const queueMs =
    inProgress * BATCH_COST_MS +
    dense * DENSE_BATCH_COST_MS +
    waiting * WAITING_COST_MS;
  return (
    queueMs +
    modelReadyMs +
    loadCostMs(candidate, rank) +
    commonCostMs(candidate, nowMs)
  );
}

/**
 * Engines in the order in which a request for the adapter tries them, the
 * cheapest first. Engines at which nobody can load an absent adapter are left out.
 */
export function rankEngines(
  adapterKey: string,
  candidates: readonly PlacementCandidate[],
  nowMs: number,
): readonly PlacementCandidate[] {
  const keyHash = hash32(adapterKey);
  const score = ({rankName}: PlacementCandidate) =>
    rendezvousScore(keyHash, hash32(rankName), 1);
  return candidates
    .filter(({adapter}) => adapter !== ADAPTER_STATE.unavailable)
    .map(candidate => ({candidate, score: score(candidate)}))
    .sort((a, b) => b.score - a.score)
    .map(({candidate}, rank) => ({
      candidate,
      costMs: engineCostMs(candidate, rank, nowMs),
    }))
    .sort((a, b) => a.costMs - b.costMs)
    .map(({candidate}) => candidate);
}

/** Time that a request takes when a plain target has not been measured, in milliseconds. */
const PLAIN_LATENCY_MS = 100;

/**
 * Targets of a plain service in the order in which a request tries them. The
 * cost is the expected time to an answer; a random draw keeps entries that know
 * the same from choosing the same target.
 */
export function rankPlain(
  candidates: readonly PlacementCandidate[],
  nowMs: number,
  random: () => number,
): readonly PlacementCandidate[] {
  return candidates
    .map(candidate => {
      const {health, inProgress, slots} = candidate;
      const latencyMs = expectedLatency(health, PLAIN_LATENCY_MS, nowMs);
      const rounds = 1 + inProgress / Math.max(1, slots / 2);
      const drawMs = random() * 0.3 * PLAIN_LATENCY_MS;
      const costMs =
        latencyMs * rounds + drawMs + commonCostMs(candidate, nowMs);
      return {candidate, costMs};
    })
    .sort((a, b) => a.costMs - b.costMs)
    .map(({candidate}) => candidate);
}
