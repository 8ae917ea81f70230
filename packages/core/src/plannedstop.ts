/** Decides which requests a node still sends while it stops as planned. */
import {REQUEST_KIND, isIdempotent, type Route} from './routetable.js';
import {SILENCE_PHASE, unusualSilenceMs} from './silence.js';

/** Durations of the last requests of one kind, in milliseconds, oldest first. */
export type RecentDurations = readonly number[];

/** Number of durations that are kept. */
const KEPT_DURATIONS = 64;

/** Number of durations from which on they alone are the estimate. */
const MIN_DURATIONS = 10;

/** Share of the requests whose duration does not exceed the usual one. */
const USUAL_QUANTILE = 0.95;

/** Number of durations from which on the longest of them is a guide to that of further requests. */
const MIN_BOUNDING_DURATIONS = 32;

/** Time that is left for a request that runs at most once, as a multiple of the longest of these durations. */
const BOUND_FACTOR = 2;

/** Usual duration of a stream of which nothing is known, as a share of its route's timeout. */
const UNKNOWN_STREAM_SHARE = 0.5;

/** Returns the durations with one more, in milliseconds, and without the oldest beyond the number kept. */
export function withDuration(
  durations: RecentDurations,
  durationMs: number,
): RecentDurations {
  return [...durations.slice(1 - KEPT_DURATIONS), durationMs];
}

/** Returns the duration of a request of which nothing is known but its route, in milliseconds. */
function unknownDurationMs(route: Route): number {
  return route.kind === REQUEST_KIND.streaming
    ? UNKNOWN_STREAM_SHARE * route.timeoutMs
    : unusualSilenceMs(SILENCE_PHASE.firstByte, route);
}

/** Returns the time within which nearly all requests are answered, in milliseconds. */
export function usualDurationMs(
  durations: RecentDurations,
  route: Route,
): number {
  const sorted = [...durations].sort((a, b) => a - b);
  const index = Math.ceil(USUAL_QUANTILE * sorted.length) - 1;
  const measuredMs = sorted[Math.max(0, index)] ?? 0;
  return sorted.length < MIN_DURATIONS
    ? Math.max(measuredMs, unknownDurationMs(route))
    : measuredMs;
}

/**
 * Returns the durations after a request that ended without an answer once it had taken
 * `durationMs` milliseconds. It would have taken longer, so it counts only above the usual duration.
 */
export function withUnanswered(
  durations: RecentDurations,
  durationMs: number,
  route: Route,
): RecentDurations {
  return durationMs > usualDurationMs(durations, route)
    ? withDuration(durations, durationMs)
    : durations;
}

/** What is known of a class of requests when one of them is to be sent during a planned stop. */
export interface StoppingClass {
  readonly route: Route;
  readonly durations: RecentDurations;
  /** Whether the load balancer sends all new requests to other entries. */
  readonly isReplaced: boolean;
}

/**
 * Returns the time that a request must have before the end of the stop in order to be sent, in
 * milliseconds; Infinity for all the time until its deadline.
 *
 * A quantile is enough only for what can be repeated. A started stream cannot be answered otherwise, and a
 * request that runs at most once would have an unknown outcome, so neither is risked once other
 * entries take it for certain.
 */
export function stopAllotmentMs({
  route,
  durations,
  isReplaced,
}: StoppingClass): number {
  const isStream = route.kind === REQUEST_KIND.streaming;
  const mayRepeat = isIdempotent(route);
  if (isReplaced && (isStream || !mayRepeat)) return Infinity;
  if (mayRepeat) return usualDurationMs(durations, route);
  return isStream || durations.length < MIN_BOUNDING_DURATIONS
    ? Infinity
    : BOUND_FACTOR * Math.max(...durations);
}

/** A request that is to be sent during a planned stop. */
export interface StoppingRequest {
  /** Time until open requests are ended because of the stop, in milliseconds. */
  readonly stopInMs: number;
  /** Time left until the request's own deadline, in milliseconds. */
  readonly remainingMs: number;
  /** See {@link stopAllotmentMs}. */
  readonly allotmentMs: number;
}

/** Returns whether the request has enough time before the stop ends, if only by its own deadline. */
export function endsBeforeStop({
  stopInMs,
  remainingMs,
  allotmentMs,
}: StoppingRequest): boolean {
  return Math.min(allotmentMs, remainingMs) <= stopInMs;
}
