/** Fencing numbers of engine orders, and detection of orders that another process gave. */
import {adapterKey, type AdapterVersion} from './report.js';

/**
 * Number of the next order: above everything the engine has seen and above
 * everything this process has sent, because a sent order may still be on its way.
 */
export function nextFence(engineFence: number, lastSent: number): number {
  return Math.max(engineFence, lastSent) + 1;
}

/**
 * Tells whether another process has given orders since this one took the engine
 * over: its number is above the one found then and above all that this process
 * sent. That process started later, so this one gives way.
 */
export function isSuperseded(
  engineFence: number,
  foundFence: number,
  lastSent: number,
): boolean {
  return engineFence > Math.max(foundFence, lastSent);
}

/** Differences between the copy of an engine's state and the engine's own report. */
export interface ForeignOrders {
  /** Loaded in the engine, without a load order of this process. */
  readonly appeared: readonly AdapterVersion[];
  /** Gone from the engine, without an evict order of this process. */
  readonly vanished: readonly AdapterVersion[];
}

/**
 * Compares the adapters that this process expects with those that the engine
 * reports. `own` holds the keys of own orders whose effect is open: in progress
 * at any time during the read, or sent without an answer. Their differences are
 * effects of this process.
 */
export function foreignOrders(
  expected: readonly AdapterVersion[],
  reported: readonly AdapterVersion[],
  own: ReadonlySet<string>,
): ForeignOrders {
  const missingIn = (others: readonly AdapterVersion[]) => {
    const keys = new Set(others.map(adapterKey));
    return (held: AdapterVersion) =>
      !keys.has(adapterKey(held)) && !own.has(adapterKey(held));
  };
  return {
    appeared: reported.filter(missingIn(expected)),
    vanished: expected.filter(missingIn(reported)),
  };
}

/**
 * Fencing number for the orders of one process life, where nothing is stored
 * and the wall clock may jump. It grows with each start of the engine by the
 * engine's own clock and, within one start, with each accepted order. A process
 * that starts later on the same VM has a higher number as soon as its
 * predecessor's orders were accepted.
 */
export function orderFence(
  incarnationMs: number,
  acceptedOrders: number,
): number {
  return incarnationMs + acceptedOrders + 1;
}
