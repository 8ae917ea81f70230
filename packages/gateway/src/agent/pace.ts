/** How fast something happens lately, for the time until it has happened a number of times. */

/** Window of the rate, in milliseconds: slots and batch places turn over within a second. */
const WINDOW_MS = 1_000;

/** Times of what happened within the window. */
export type Pace = readonly number[];

/** Pace without the times that lie before the window. */
function paceAt(pace: Pace, nowMs: number): Pace {
  return pace.filter(atMs => atMs > nowMs - WINDOW_MS);
}

/** Pace after one more time. */
export function withTime(pace: Pace, nowMs: number): Pace {
  return [...paceAt(pace, nowMs), nowMs];
}

/** Times a millisecond over the window. */
export function ratePerMs(pace: Pace, nowMs: number): number {
  return paceAt(pace, nowMs).length / WINDOW_MS;
}

/** Time until `count` further times are expected, in milliseconds; with none lately a window for each. */
export function expectedMs(pace: Pace, count: number, nowMs: number): number {
  const rate = Math.max(ratePerMs(pace, nowMs), 1 / WINDOW_MS);
  return Math.ceil(count / rate);
}
