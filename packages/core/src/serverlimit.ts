/**
 * Keeps the requests to a server within the rate that it names, a limit for all senders
 * together. Requests may start when there is credit, which accrues at the rate.
 */

/** Credit for starts of requests at a server; it was `credit` at the monotonic time `atMs`. */
export interface StartCredit {
  readonly credit: number;
  readonly atMs: number;
}

/**
 * Time for which unused credit accrues, in milliseconds. The platform allows half a limit more,
 * and 5 requests, in each 4 s, so a second's worth may come at once.
 */
const MAX_ACCRUAL_MS = 1_000;

/**
 * Part of an equal share that a sender with little traffic of its own gets at least. It lets
 * a sender start, and the sum over all senders exceed the limit by no more than this part.
 */
const MIN_SHARE = 0.2;

/** Returns the most credit that accrues at a rate in requests per second; at least one request. */
export function maxCredit(perSecond: number): number {
  return Math.max(1, (perSecond * MAX_ACCRUAL_MS) / 1_000);
}

/** Returns the credit at a later time. */
export function accrued(
  {credit, atMs}: StartCredit,
  perSecond: number,
  nowMs: number,
): StartCredit {
  const added = (Math.max(0, nowMs - atMs) * perSecond) / 1_000;
  return {credit: Math.min(maxCredit(perSecond), credit + added), atMs: nowMs};
}

/** Returns the credit after the start of a request. It is below 0 after a start without credit. */
export function withStart(
  credit: StartCredit,
  perSecond: number,
  nowMs: number,
): StartCredit {
  const current = accrued(credit, perSecond, nowMs);
  return {...current, credit: current.credit - 1};
}

/**
 * Returns the time until a request may start of which `ahead` others go first, in
 * milliseconds; 0 if it may start now.
 */
export function startWaitMs(
  credit: StartCredit,
  perSecond: number,
  ahead: number,
  nowMs: number,
): number {
  const missing = 1 + ahead - accrued(credit, perSecond, nowMs).credit;
  return Math.max(0, Math.ceil((missing * 1_000) / perSecond));
}

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
