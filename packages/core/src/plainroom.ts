/**
 * Room for requests at the targets of a plain service, as one entry learns it from the answers
 * to its own requests. No process gives out the slots of these targets, so each entry decides by
 * itself which part of its requests it sends, from how long answers take against the latency
 * objective. A target whose queue is full answers all requests late; sending fewer keeps the
 * queue so short that those that are sent are answered in time.
 */

/** How fast one target answers, as seen by one entry. */
export interface TargetPace {
  /** Moving average of the time to an answer, in milliseconds; 0 before the first. */
  readonly recentMs: number;
  /** Monotonic time of the last answer, in milliseconds. */
  readonly seenAtMs: number;
}

/** Pace of a target that has not answered yet. */
export const UNKNOWN_PACE: TargetPace = {recentMs: 0, seenAtMs: 0};

/**
 * Weight of one answer in the moving average. An entry sees about two answers of a target in a
 * second, and the queue of a target fills in less than one; a lower weight follows too late.
 */
const PACE_WEIGHT = 0.35;

/**
 * Half-life of the pace of a target that is not used, in milliseconds. It is several times as
 * long as a full queue takes to empty, and lets work come back to a target by single requests.
 */
const PACE_HALF_LIFE_MS = 1_500;

/** Returns the pace after an answer that took `latencyMs` milliseconds. */
export function afterPacedAnswer(
  {recentMs}: TargetPace,
  latencyMs: number,
  nowMs: number,
): TargetPace {
  const averageMs = recentMs + PACE_WEIGHT * (latencyMs - recentMs);
  return {recentMs: recentMs === 0 ? latencyMs : averageMs, seenAtMs: nowMs};
}

/**
 * Time for which an answer tells how fast its service is, in milliseconds. Beyond it the target may
 * be gone, and its last answers may be from before the others had to do its work.
 */
const PACE_KNOWN_MS = 3_000;

/** Returns the paces that are recent, or all that are known if none is. */
function recentPaces(
  paces: readonly TargetPace[],
  nowMs: number,
): readonly TargetPace[] {
  const known = paces.filter(({recentMs}) => recentMs > 0);
  const recent = known.filter(
    ({seenAtMs}) => nowMs - seenAtMs <= PACE_KNOWN_MS,
  );
  return recent.length > 0 ? recent : known;
}

/** Returns the mean pace of the targets of a service, in milliseconds; 0 if none has answered. */
export function typicalPaceMs(
  paces: readonly TargetPace[],
  nowMs: number,
): number {
  const recent = recentPaces(paces, nowMs);
  const sum = recent.reduce((total, {recentMs}) => total + recentMs, 0);
  return recent.length === 0 ? 0 : sum / recent.length;
}

/**
 * Returns the time in which an answer is expected, in milliseconds. It approaches `typicalMs`,
 * the pace of all targets of the service, while the target is not used.
 */
export function expectedPaceMs(
  {recentMs, seenAtMs}: TargetPace,
  typicalMs: number,
  nowMs: number,
): number {
  if (recentMs === 0) return typicalMs;
  const known = 0.5 ** (Math.max(0, nowMs - seenAtMs) / PACE_HALF_LIFE_MS);
  return typicalMs + (recentMs - typicalMs) * known;
}

/**
 * Returns the time in which the fastest target of a service is expected to answer, in milliseconds;
 * 0 if none has answered.
 */
export function bestPaceMs(
  paces: readonly TargetPace[],
  nowMs: number,
): number {
  const recent = recentPaces(paces, nowMs);
  const typicalMs = typicalPaceMs(paces, nowMs);
  return recent.length === 0
    ? 0
    : Math.min(...recent.map(pace => expectedPaceMs(pace, typicalMs, nowMs)));
}

/** Part of the requests for a plain service that an entry sends. */
export interface ServiceRoom {
  /** Share of the requests that are sent, from {@link MIN_SENT_SHARE} to 1. */
  readonly sentShare: number;
  /** Estimate of the shortest times to an answer, without a wait, in milliseconds; 0 if unknown. */
  readonly quietMs: number;
  /** Monotonic time of the last answer, in milliseconds. */
  readonly atMs: number;
  /** Monotonic time of the last refusal that changed the share, in milliseconds. */
  readonly fullAtMs: number;
}

/** Room of a service that has not answered yet. */
export const OPEN_ROOM: ServiceRoom = {
  sentShare: 1,
  quietMs: 0,
  atMs: 0,
  fullAtMs: -Infinity,
};

/** Least share of the requests that is sent; their answers tell when there is room again. */
const MIN_SENT_SHARE = 0.1;

/**
 * Part of the latency objective above which the expected answer shows that too many requests
 * wait. Single answers scatter by about half of their mean.
 */
const CROWDED_OBJECTIVE_SHARE = 0.65;

/** Part of the latency objective below which nothing is short. */
const CALM_OBJECTIVE_SHARE = 0.4;

/**
 * Multiple of the time without a wait below which no answer shows a wait. Where the work alone
 * takes as long as the objective, sending less would not make answers faster.
 */
const WAIT_FACTOR = 2.5;

/** Weight of an answer below the estimated time without a wait. */
const QUIET_FALL_WEIGHT = 0.2;

/**
 * Rate at which the estimate follows answers above it, per second; answers stay long for tens of
 * seconds in an overload.
 */
const QUIET_RISE_PER_S = 0.01;

/**
 * The same while the least share is sent. Answers that are long even then are so without a wait.
 */
const LEAST_SHARE_RISE_PER_S = 0.25;

/**
 * Rate at which the share falls while too many requests wait, per second. Queues follow a change
 * of the share with the delay of an answer; faster changes would empty and fill them by turns.
 */
const CROWDED_RATE_PER_S = 0.25;

/** Rate at which the share recovers while nothing is short, per second. */
const CALM_RATE_PER_S = 1;

/** Growth of the share in a second between these states. */
const GROWTH_PER_S = 0.1;

/** Factor of the share after refusals by full targets, at most once in {@link FULL_INTERVAL_MS}. */
const FULL_FACTOR = 0.8;

/** Time in which refusals tell of the same full queue, in milliseconds: that of one answer. */
const FULL_INTERVAL_MS = 200;

/** Longest time since the answer before that changes the share, in seconds. */
const MAX_STEP_S = 0.5;

/** An answer, or a refusal by a full target, that an entry has received. */
export interface PlainAnswer {
  /** Time to this answer, in milliseconds; undefined for a refusal. */
  readonly latencyMs?: number;
  /** Time in which the fastest target of the service is expected to answer, in milliseconds; 0 if unknown. */
  readonly bestMs: number;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number;
}

/** Returns the estimate of the time without a wait after an answer that came `stepS` seconds after another. */
function quietAfter(
  {quietMs, sentShare}: ServiceRoom,
  latencyMs: number,
  objectiveMs: number,
  stepS: number,
): number {
  if (quietMs === 0) {
    return Math.min(latencyMs, CALM_OBJECTIVE_SHARE * objectiveMs);
  }
  const risePerS =
    sentShare > MIN_SENT_SHARE ? QUIET_RISE_PER_S : LEAST_SHARE_RISE_PER_S;
  const weight = latencyMs < quietMs ? QUIET_FALL_WEIGHT : risePerS * stepS;
  return quietMs + weight * (latencyMs - quietMs);
}

function withinBounds(share: number): number {
  return Math.min(1, Math.max(MIN_SENT_SHARE, share));
}

function afterFullTarget(room: ServiceRoom, nowMs: number): ServiceRoom {
  if (nowMs - room.fullAtMs < FULL_INTERVAL_MS) return room;
  const sentShare = withinBounds(room.sentShare * FULL_FACTOR);
  return {...room, sentShare, fullAtMs: nowMs};
}

/**
 * Returns the room after a target of the service has answered or refused. The share falls while
 * the targets are crowded, grows slowly below that, and is soon restored when nothing waits.
 */
export function afterPlainAnswer(
  room: ServiceRoom,
  answer: PlainAnswer,
  nowMs: number,
): ServiceRoom {
  const {sentShare, atMs} = room;
  const {latencyMs, bestMs, objectiveMs} = answer;
  const stepS = Math.min(MAX_STEP_S, Math.max(0, nowMs - atMs) / 1_000);
  const quietMs =
    latencyMs === undefined
      ? room.quietMs
      : quietAfter(room, latencyMs, objectiveMs, stepS);
  const crowdedMs = Math.max(
    objectiveMs * CROWDED_OBJECTIVE_SHARE,
    quietMs * WAIT_FACTOR,
  );
  const calmMs = crowdedMs * (CALM_OBJECTIVE_SHARE / CROWDED_OBJECTIVE_SHARE);
  if (latencyMs === undefined) {
    // One target that refuses, for whatever reason, takes no room from the others.
    const hasRoom = bestMs > 0 && bestMs < calmMs;
    return hasRoom ? room : afterFullTarget(room, nowMs);
  }
  const next = () => {
    if (bestMs > crowdedMs) {
      return sentShare * Math.exp(-CROWDED_RATE_PER_S * stepS);
    }
    if (bestMs < calmMs) return sentShare * Math.exp(CALM_RATE_PER_S * stepS);
    return sentShare + GROWTH_PER_S * stepS;
  };
  return {...room, sentShare: withinBounds(next()), quietMs, atMs: nowMs};
}

/** Recent arrivals of one rank from one client account. */
export interface ArrivalWeight {
  readonly rank: number;
  /** Name of the account; empty for requests without one. */
  readonly account: string;
  /** Number of the arrivals, of which earlier ones count less. */
  readonly weight: number;
}

/** Recent arrivals for one service. */
export type Arrivals = readonly ArrivalWeight[];

/**
 * Factor by which arrivals count less with each further one: about the last thirty count, some
 * seconds of one entry.
 */
const ARRIVAL_DECAY = 0.97;

/** Weight below which arrivals are forgotten. */
const MIN_ARRIVAL_WEIGHT = 0.03;

/** A request by what decides whether it is sent. */
export interface RankedRequest {
  /** Rank by value; 0 is sent first. */
  readonly rank: number;
  /** Name of the client account; empty without one. */
  readonly account: string;
}

/** Returns the arrivals after one more. */
export function withArrival(
  arrivals: Arrivals,
  {rank, account}: RankedRequest,
): Arrivals {
  const isSame = (other: RankedRequest) =>
    other.rank === rank && other.account === account;
  const decayed = arrivals
    .map(arrival => ({...arrival, weight: arrival.weight * ARRIVAL_DECAY}))
    .filter(({weight}) => weight >= MIN_ARRIVAL_WEIGHT);
  const weight = (decayed.find(isSame)?.weight ?? 0) + 1;
  return [
    ...decayed.filter(arrival => !isSame(arrival)),
    {rank, account, weight},
  ];
}

/** Returns the level to which each weight may go so that together they come to `total`. */
function fairLevel(weights: readonly number[], total: number): number {
  let left = total;
  let count = weights.length;
  for (const weight of [...weights].sort((a, b) => a - b)) {
    if (weight > left / count) return left / count;
    left -= weight;
    count -= 1;
  }
  return Infinity;
}

/**
 * Part of the sent share at which a request is sent at least, so that no rank is refused altogether
 * for as long as there is more of a higher one than the targets serve.
 */
const LEAST_RANK_PART = 0.15;

/**
 * Returns the probability with which a request is sent. The share goes to the ranks in their order,
 * and within a rank to the accounts in equal parts as far as they need them. `arrivals` include the
 * request.
 */
export function sendProbability(
  {sentShare}: ServiceRoom,
  arrivals: Arrivals,
  {rank, account}: RankedRequest,
): number {
  if (sentShare >= 1) return 1;
  const sum = (items: Arrivals) =>
    items.reduce((total, {weight}) => total + weight, 0);
  const ofRank = arrivals.filter(arrival => arrival.rank === rank);
  const room =
    sentShare * sum(arrivals) -
    sum(arrivals.filter(arrival => arrival.rank < rank));
  const own = ofRank.find(arrival => arrival.account === account)?.weight ?? 1;
  const level = fairLevel(
    ofRank.map(({weight}) => weight),
    Math.max(0, room),
  );
  return Math.min(1, Math.max(level / own, LEAST_RANK_PART * sentShare));
}
