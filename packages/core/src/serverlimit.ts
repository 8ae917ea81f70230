/** Shares of a limit that a server names for all senders of requests together. */

/**
 * Least rate at which all senders together send requests, in requests per second. Only the
 * answers to them tell when a limit ends. The platform allows 5 in 4 s beyond any limit.
 */
const MIN_SEND_RATE = 0.5;

/** Returns the rate at which requests are sent to a server that states a limit, both per second. */
export function sendRate(limitPerSecond: number): number {
  return Math.max(MIN_SEND_RATE, limitPerSecond);
}

/**
 * Part of an equal share that a sender with little traffic of its own gets at least. It lets
 * a sender start, and the sum over all senders exceed the limit by no more than this part.
 */
const MIN_SHARE = 0.2;

/** Rates of requests by which senders share a limit, in requests per second. */
export interface SenderRates {
  /** Rate of this sender. */
  readonly own: number;
  /** Rate of all senders together; 0 if unknown. */
  readonly all: number;
  /** Number of senders. */
  readonly senders: number;
}

/**
 * Returns the share of a limit that one sender may use, 0 to 1: its part of all requests. Where
 * the rates are unknown, all senders have the same share.
 */
export function limitShare({own, all, senders}: SenderRates): number {
  const equalShare = 1 / Math.max(1, senders);
  if (all <= 0) return equalShare;
  const share = own / Math.max(own, all);
  return Math.min(1, Math.max(share, MIN_SHARE * equalShare));
}

/** Time over which a rate of requests is measured, in milliseconds. */
const RATE_WINDOW_MS = 4_000;

/** Rate of requests, as an exponential average; it was `perSecond` at the time `atMs`. */
export interface RequestRate {
  readonly perSecond: number;
  readonly atMs: number;
}

/** Rate before the first request. */
export const NO_REQUESTS: RequestRate = {perSecond: 0, atMs: 0};

/** Returns the rate at a later time without a request, in requests per second. */
export function rateAt({perSecond, atMs}: RequestRate, nowMs: number): number {
  return perSecond * Math.exp(-Math.max(0, nowMs - atMs) / RATE_WINDOW_MS);
}

/** Returns the rate after a request. */
export function withRequest(rate: RequestRate, nowMs: number): RequestRate {
  return {
    perSecond: rateAt(rate, nowMs) + 1_000 / RATE_WINDOW_MS,
    atMs: nowMs,
  };
}
