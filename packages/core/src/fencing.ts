/** Fencing numbers of engine orders, and detection of orders that another process gave. */
import {adapterKey, type AdapterVersion} from './report.js';

/**
 * Number of the next order: above everything the engine has seen and above
 * everything this process has sent, because a sent order may still be on its way.
 */
export function nextFence(engineFence: number, lastSent: number): number {
  return Math.max(engineFence, lastSent) + 1;
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
