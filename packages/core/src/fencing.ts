/** Fencing numbers of engine orders, and detection of orders sent by another process. */
import {adapterKey, type AdapterVersion} from './report.js';

/**
 * Returns the fencing number of the next order. It is above every number that the
 * engine has seen and above every number that this process has sent, because a
 * sent order may still be in transit.
 */
export function nextFence(engineFence: number, lastSentFence: number): number {
  return Math.max(engineFence, lastSentFence) + 1;
}

/**
 * Returns whether another process has sent orders since this process took over the
 * engine. The engine's fencing number is then above the number at takeover and
 * above all numbers that this process sent. The other process started later, so
 * this process must stop sending orders.
 */
export function isSuperseded(
  engineFence: number,
  takeoverFence: number,
  lastSentFence: number,
): boolean {
  return engineFence > Math.max(takeoverFence, lastSentFence);
}

/** Differences between the expected and the reported adapters of an engine. */
export interface ForeignOrders {
  /** Loaded in the engine without a load order from this process. */
  readonly appeared: readonly AdapterVersion[];
  /** Missing from the engine without an evict order from this process. */
  readonly vanished: readonly AdapterVersion[];
}

/**
 * Compares the adapters that this process expects with those that the engine
 * reports. `ownOpenOrders` holds the adapter keys of this process's orders whose
 * effect is open: in progress at any time during the read, or sent without an
 * answer. Differences in these adapters come from this process and are left out.
 */
export function findForeignOrders(
  expected: readonly AdapterVersion[],
  reported: readonly AdapterVersion[],
  ownOpenOrders: ReadonlySet<string>,
): ForeignOrders {
  const isMissingFrom = (others: readonly AdapterVersion[]) => {
    const keys = new Set(others.map(adapterKey));
    return (candidate: AdapterVersion) =>
      !keys.has(adapterKey(candidate)) &&
      !ownOpenOrders.has(adapterKey(candidate));
  };
  return {
    appeared: reported.filter(isMissingFrom(expected)),
    vanished: expected.filter(isMissingFrom(reported)),
  };
}

/**
 * Returns the fencing number for all orders of one process run. The process stores
 * nothing, and the wall clock may jump. The number grows with the start time of the
 * engine, read from the engine's own clock, and with each order accepted since that
 * start. `incarnationMs` is that start time in milliseconds. A process that starts later
 * on the same VM therefore gets a higher number once orders of its predecessor have been
 * accepted.
 */
export function orderFence(
  incarnationMs: number,
  acceptedOrders: number,
): number {
  return incarnationMs + acceptedOrders + 1;
}
