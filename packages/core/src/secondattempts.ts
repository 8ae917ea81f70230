/**
 * Decides whether an entry sends a request, whose answer is late, to a second target beside the
 * first one. Times are monotonic, in milliseconds.
 */
import {
  RETRY_COUNTED_MS,
  countRequest,
  countRetry,
  requestsInWindow,
  retriesInWindow,
  uncountRetry,
  type RetryBudget,
} from './limits.js';
import type {PlacementCandidate} from './placement.js';
import {expectedFailures} from './targethealth.js';
import {itemsSince, type TimedItem} from './window.js';

/** Lower bound of the second bucket of answer times, in milliseconds. */
const FIRST_BUCKET_MS = 1;

/** Ratio of the bounds of a bucket; a quantile is at most so much too high. */
const BUCKET_RATIO = 1.1;

/** Number of buckets; the last one begins beyond a minute, the longest time of a request. */
const BUCKETS = 120;

/** Half-life of answer times, in milliseconds, so that a quantile follows the load. */
const HALF_LIFE_MS = 10_000;

/** Answers below which a quantile is not used: fewer have no 95th percentile. */
const MIN_ANSWERS = 20;

/** Quantile of the other targets' times at which an answer is late. */
const LATE_QUANTILE = 0.95;

/** Factor by which an answer must be later than the quantile, so that ordinary ones are not late. */
const LATE_FACTOR = 1.25;

/** Most of the capacity of a service that may be in use beside a second attempt, 0 to 1. */
const MAX_LOAD = 0.7;

/** Largest share of failures that is expected of a second target, 0 to 1. */
const MAX_FAILURE_SHARE = 0.2;

/** Part of the retry budget that second attempts may use; the rest is kept for failed attempts. */
const BUDGET_FRACTION = 0.5;

/** Time without second attempts after a target has refused a request as full, in milliseconds. */
const REFUSAL_PAUSE_MS = 2_000;

/** Second attempts after which their use is judged. */
const JUDGED_OUTCOMES = 16;

/** Time for which an outcome counts, in milliseconds. */
const OUTCOME_MS = 120_000;

/** Share of second attempts that must be the first to answer. */
const MIN_WON_SHARE = 0.25;

/** Factor by which the median time may be longer with second attempts than without. */
const MAX_SLOWDOWN = 1.25;

/** Length of the blocks of time that are compared, in milliseconds: several times an answer. */
const BLOCK_MS = 5_000;

/** One in so many blocks has no second attempts. */
const CONTROL_BLOCKS = 12;

/** Half-life of the answer times that are compared, in milliseconds: several rounds of blocks. */
const COMPARED_HALF_LIFE_MS = 80_000;

/** First time for which second attempts are switched off, in milliseconds. It doubles each time. */
const FIRST_OFF_MS = 20_000;

/** Longest such time, in milliseconds. */
const MAX_OFF_MS = 320_000;

/** Part of the share that is used until it is known that second attempts serve. */
const PROBE_FRACTION = 0.25;

/** Reasons for which a request whose answer is late gets no second attempt. */
export const SECOND_WITHHELD = {
  /** The operators' share of requests is used. */
  share: 'share',
  /** The retry budget is needed for failed attempts. */
  budget: 'budget',
  /** The targets have no room for additional work. */
  full: 'full',
  /** No other target is suitable. */
  noTarget: 'no_target',
  /** An answer of another target would be too late. */
  time: 'time',
  /** They did not win, or slowed the service down. */
  switchedOff: 'switched_off',
  /** This block of time shows what the service does without them. */
  control: 'control',
} as const;

/** One of the values of {@link SECOND_WITHHELD}. */
export type SecondWithheld =
  (typeof SECOND_WITHHELD)[keyof typeof SECOND_WITHHELD];

/** How second attempts end. */
export const SECOND_OUTCOME = {
  won: 'won',
  /** The first attempt answered sooner. */
  lost: 'lost',
  /** The target refused it or could not be reached, or its answer was a failure. */
  failed: 'failed',
} as const;

/** One of the values of {@link SECOND_OUTCOME}. */
export type SecondOutcome =
  (typeof SECOND_OUTCOME)[keyof typeof SECOND_OUTCOME];

/** Recent answer times: weights by bucket, which decay. */
export interface AnswerTimes {
  readonly weights: readonly number[];
  readonly atMs: number;
  readonly halfLifeMs: number;
}

function noTimes(halfLifeMs: number): AnswerTimes {
  return {weights: [], atMs: 0, halfLifeMs};
}

function bucketOf(ms: number): number {
  const bucket = Math.log(ms / FIRST_BUCKET_MS) / Math.log(BUCKET_RATIO);
  return Math.min(BUCKETS - 1, Math.max(0, Math.ceil(bucket)));
}

function decayOf({atMs, halfLifeMs}: AnswerTimes, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - atMs) / halfLifeMs);
}

function withTime(times: AnswerTimes, ms: number, nowMs: number): AnswerTimes {
  const decay = decayOf(times, nowMs);
  const bucket = bucketOf(ms);
  const weights = Array.from({length: BUCKETS}, (_, n) => {
    const kept = (times.weights[n] ?? 0) * decay;
    return n === bucket ? kept + 1 : kept;
  });
  return {...times, weights, atMs: nowMs};
}

/** Returns a quantile of answer times, in milliseconds; undefined while they are too few. */
export function quantileOf(
  list: readonly AnswerTimes[],
  quantile: number,
  nowMs: number,
): number | undefined {
  const sums = new Array<number>(BUCKETS).fill(0);
  let total = 0;
  for (const times of list) {
    const decay = decayOf(times, nowMs);
    times.weights.forEach((weight, n) => {
      sums[n] = (sums[n] ?? 0) + weight * decay;
      total += weight * decay;
    });
  }
  if (total < MIN_ANSWERS) return undefined;
  let below = 0;
  const bucket = sums.findIndex(sum => {
    below += sum;
    return below >= quantile * total;
  });
  return FIRST_BUCKET_MS * BUCKET_RATIO ** bucket;
}

interface TimedOutcome extends TimedItem {
  readonly outcome: SecondOutcome;
}

/** What an entry knows of the second attempts of one kind of request. */
export interface SecondAttempts {
  /** Requests and second attempts in the window of the retry budget. */
  readonly counts: RetryBudget;
  /** Answer times by target. */
  readonly times: ReadonlyMap<string, AnswerTimes>;
  /** Answer times of all targets in blocks with and without second attempts. */
  readonly active: AnswerTimes;
  readonly control: AnswerTimes;
  readonly outcomes: readonly TimedOutcome[];
  /** Last time at which a target refused a request as full. */
  readonly refusedAtMs: number;
  readonly offUntilMs: number;
  /** Time for which they are switched off next, in milliseconds. */
  readonly nextOffMs: number;
  /** Whether only a part of the share is used, since it is not known yet whether they serve. */
  readonly isProbing: boolean;
}

/** State of an entry that has sent nothing. */
export const NO_SECOND_ATTEMPTS: SecondAttempts = {
  counts: [],
  times: new Map(),
  active: noTimes(COMPARED_HALF_LIFE_MS),
  control: noTimes(COMPARED_HALF_LIFE_MS),
  outcomes: [],
  refusedAtMs: -Infinity,
  offUntilMs: -Infinity,
  nextOffMs: FIRST_OFF_MS,
  isProbing: true,
};

/** Returns whether second attempts are withheld in this block of time to measure the service. */
export function isControlBlock(nowMs: number): boolean {
  return Math.floor(nowMs / BLOCK_MS) % CONTROL_BLOCKS === CONTROL_BLOCKS - 1;
}

/** Counts a request. */
export function withSecondRequest(
  state: SecondAttempts,
  nowMs: number,
): SecondAttempts {
  return {...state, counts: countRequest(state.counts, nowMs)};
}

/** Counts a second attempt that is sent. */
export function withSecondStart(
  state: SecondAttempts,
  nowMs: number,
): SecondAttempts {
  return {...state, counts: countRetry(state.counts, nowMs)};
}

/** Takes back a second attempt that was counted at `startedAtMs` and has not reached its target. */
export function withoutSecondStart(
  state: SecondAttempts,
  startedAtMs: number,
): SecondAttempts {
  return {...state, counts: uncountRetry(state.counts, startedAtMs)};
}

/**
 * Records the time in which a target answered, or for which it had not answered when its attempt
 * was cancelled. Without the latter, the quantile would fall with each answer that is cut off.
 */
export function withSecondTime(
  state: SecondAttempts,
  target: string,
  ms: number,
  nowMs: number,
): SecondAttempts {
  const times = new Map(
    [...state.times].filter(
      ([id, {atMs}]) => id === target || nowMs - atMs < 6 * HALF_LIFE_MS,
    ),
  );
  const previous = times.get(target) ?? noTimes(HALF_LIFE_MS);
  times.set(target, withTime(previous, ms, nowMs));
  return isControlBlock(nowMs)
    ? {...state, times, control: withTime(state.control, ms, nowMs)}
    : {...state, times, active: withTime(state.active, ms, nowMs)};
}

/** Records that a target refused a request as full. */
export function withSecondRefusal(
  state: SecondAttempts,
  nowMs: number,
): SecondAttempts {
  return {...state, refusedAtMs: nowMs};
}

function switchedOff(state: SecondAttempts, nowMs: number): SecondAttempts {
  return {
    ...state,
    // What is known from before does not count when they come back.
    active: noTimes(COMPARED_HALF_LIFE_MS),
    control: noTimes(COMPARED_HALF_LIFE_MS),
    outcomes: [],
    offUntilMs: nowMs + state.nextOffMs,
    nextOffMs: Math.min(MAX_OFF_MS, 2 * state.nextOffMs),
    isProbing: true,
  };
}

/** Returns whether answers take longer with second attempts than without. */
function isSlowedDown(
  {active, control}: SecondAttempts,
  nowMs: number,
): boolean {
  const withSeconds = quantileOf([active], 0.5, nowMs);
  const without = quantileOf([control], 0.5, nowMs);
  if (withSeconds === undefined || without === undefined) return false;
  return withSeconds > without * MAX_SLOWDOWN;
}

/** Records how a second attempt ended, and switches them off if they do not serve. */
export function withSecondOutcome(
  state: SecondAttempts,
  outcome: SecondOutcome,
  nowMs: number,
): SecondAttempts {
  const recent = itemsSince(state.outcomes, nowMs - OUTCOME_MS);
  const outcomes = [...recent, {atMs: nowMs, outcome}].slice(-JUDGED_OUTCOMES);
  const next = {...state, outcomes};
  if (isSlowedDown(next, nowMs)) return switchedOff(next, nowMs);
  if (outcomes.length < JUDGED_OUTCOMES) return next;
  const won = outcomes.filter(item => item.outcome === SECOND_OUTCOME.won);
  if (won.length < MIN_WON_SHARE * outcomes.length) {
    return switchedOff(next, nowMs);
  }
  return {...next, isProbing: false, nextOffMs: FIRST_OFF_MS};
}

/**
 * Returns the time after which an answer of the target is late by the recent times of the other
 * targets, in milliseconds; undefined while these are unknown.
 */
export function lateAfterMs(
  {times}: SecondAttempts,
  target: string,
  nowMs: number,
): number | undefined {
  const others = [...times].flatMap(([id, of]) => (id === target ? [] : [of]));
  const quantileMs = quantileOf(others, LATE_QUANTILE, nowMs);
  return quantileMs && quantileMs * LATE_FACTOR;
}

/** Second attempts in the window of the retry budget, and how many are allowed. */
export interface SecondUse {
  readonly used: number;
  readonly limit: number;
}

/** Returns the use of the operators' share, which is a fraction of the requests. */
export function secondUse(
  {counts, isProbing}: SecondAttempts,
  share: number,
  nowMs: number,
): SecondUse {
  const allowed = isProbing ? share * PROBE_FRACTION : share;
  return {
    used: retriesInWindow(counts, nowMs, RETRY_COUNTED_MS),
    limit: requestsInWindow(counts, nowMs) * allowed,
  };
}

/** A request whose answer is late, and its service. */
export interface LateRequest {
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: number;
  /** Requests in progress at the targets of the service. */
  readonly inProgress: number;
  /** Requests that these targets run at once. */
  readonly slots: number;
  /** Use of the retry budget by repeats and second attempts. */
  readonly retries: SecondUse;
  /** Operators' limit: second attempts as a fraction of the requests. */
  readonly share: number;
  /** Whether there is a suitable second target. */
  readonly hasTarget: boolean;
}

/** Returns why a late request gets no second attempt; undefined if it gets one. */
export function secondWithheld(
  state: SecondAttempts,
  late: LateRequest,
  nowMs: number,
): SecondWithheld | undefined {
  if (nowMs < state.offUntilMs) return SECOND_WITHHELD.switchedOff;
  if (isControlBlock(nowMs)) return SECOND_WITHHELD.control;
  const isFull =
    nowMs - state.refusedAtMs < REFUSAL_PAUSE_MS ||
    late.inProgress >= late.slots * MAX_LOAD;
  if (isFull) return SECOND_WITHHELD.full;
  const usualMs = quantileOf([...state.times.values()], 0.5, nowMs);
  if (usualMs === undefined || late.remainingMs < usualMs * LATE_FACTOR) {
    return SECOND_WITHHELD.time;
  }
  const {used, limit} = secondUse(state, late.share, nowMs);
  if (used + 1 > limit) return SECOND_WITHHELD.share;
  if (late.retries.used + 1 > late.retries.limit * BUDGET_FRACTION) {
    return SECOND_WITHHELD.budget;
  }
  return late.hasTarget ? undefined : SECOND_WITHHELD.noTarget;
}

/** State of a target that its candidate does not show. */
export interface SecondTarget {
  /** Number of entries that send requests to it, at least 1. */
  readonly entries: number;
  /** Whether its answers state a limit, of which a second attempt would take a part. */
  readonly isLimited: boolean;
}

/** Returns whether a target may get a second attempt; `nowMs` is monotonic. */
export function maySendSecond(
  {health, isPossiblyGone, inProgress, slots}: PlacementCandidate,
  {entries, isLimited}: SecondTarget,
  nowMs: number,
): boolean {
  const isAvoided =
    health.avoidUntilMs > nowMs ||
    expectedFailures(health, nowMs) > MAX_FAILURE_SHARE;
  const hasRoom = inProgress * entries < slots * MAX_LOAD;
  return !isPossiblyGone && !isAvoided && !isLimited && hasRoom;
}
