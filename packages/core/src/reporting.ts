/** Intervals at which a target node reports to the entries that have streams open to it. */

/** Maximum time between two reports with few entries, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 400;

/**
 * Minimum time between two reports, in milliseconds. It limits the cost of a busy engine's
 * reports.
 */
const MIN_REPORT_INTERVAL_MS = 80;

/** Number of entries up to which the minimum interval applies. */
const ENTRIES_AT_MIN_INTERVAL = 10;

/**
 * Time that each further entry adds to the minimum interval, in milliseconds. A
 * report takes a third of a millisecond of processor time on both ends together
 * (with 40 streams), and each entry receives the reports of all engines. With 40
 * entries, an entry sends a request to an engine about every two seconds, so one
 * report per second is enough.
 */
const INTERVAL_MS_PER_EXTRA_ENTRY = 24;

/** Upper limit of the minimum interval with many entries, in milliseconds. */
const MAX_REPORT_INTERVAL_MS = 1_000;

/**
 * Number of heartbeat intervals without a report after which an entry considers the target
 * node lost.
 */
const MISSED_HEARTBEATS = 3;

/** Returns the minimum time between two reports of changes, in milliseconds. */
export function minReportIntervalMs(entries: number): number {
  const extraEntries = Math.max(0, entries - ENTRIES_AT_MIN_INTERVAL);
  const intervalMs =
    MIN_REPORT_INTERVAL_MS + extraEntries * INTERVAL_MS_PER_EXTRA_ENTRY;
  return Math.min(MAX_REPORT_INTERVAL_MS, intervalMs);
}

/** Returns the maximum time between two reports, in milliseconds. */
export function heartbeatIntervalMs(entries: number): number {
  return Math.max(HEARTBEAT_INTERVAL_MS, minReportIntervalMs(entries));
}

/**
 * Returns the time without a report after which an entry considers the target node lost, in
 * milliseconds.
 */
export function silenceTimeoutMs(entries: number): number {
  return MISSED_HEARTBEATS * heartbeatIntervalMs(entries);
}
