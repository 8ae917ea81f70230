/** Rate of recent events in a sliding window, to estimate the time until further events. */
import {itemsSince, withItem, type TimedItem} from '@balsamnotch/core';

/**
 * Length of the sliding window, in milliseconds. Adapter slots and batch slots
 * turn over within a second.
 */
const WINDOW_MS = 1_000;

/** Events, of which only their times are known. */
export type EventTimes = readonly TimedItem[];

/** Adds an event at `nowMs`, and drops those before the window. */
export function withEvent(times: EventTimes, nowMs: number): EventTimes {
  return withItem(times, {atMs: nowMs}, WINDOW_MS);
}

/** Mean number of events per millisecond over the window. */
export function ratePerMs(times: EventTimes, nowMs: number): number {
  return itemsSince(times, nowMs - WINDOW_MS).length / WINDOW_MS;
}

/**
 * Expected time until `count` further events, in milliseconds. Assumes one
 * event per window if there was none in the last window.
 */
export function expectedWaitMs(
  times: EventTimes,
  count: number,
  nowMs: number,
): number {
  const rate = Math.max(ratePerMs(times, nowMs), 1 / WINDOW_MS);
  return Math.ceil(count / rate);
}
