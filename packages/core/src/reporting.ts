/** How often a target node reports to the entries that hold streams to it. */

/** Longest time between two reports with few entries, in milliseconds. */
const HEARTBEAT_MS = 400;

/** Least time between two reports, in milliseconds; bounds what a busy engine's reports cost. */
const LEAST_REPORT_MS = 80;

/** Entries up to which that holds. */
const FEW_ENTRIES = 10;

/**
 * Time that each further entry adds, in milliseconds. A report takes a third of
 * a millisecond of processor time at both ends together (measured with 40
 * streams), and each entry gets those of all engines. At 40 entries an entry
 * sends an engine a request about each two seconds, so reports need not come
 * more often than each second.
 */
const REPORT_MS_PER_ENTRY = 24;

/** Longest time between two reports with many entries, in milliseconds. */
const MOST_REPORT_MS = 1_000;

/** Heartbeats that an entry misses before it takes the target node for lost. */
const MISSED_HEARTBEATS = 3;

/** Least time between two reports that are sent because something changed, in milliseconds. */
export function leastReportMs(entries: number): number {
  const further = Math.max(0, entries - FEW_ENTRIES);
  const spreadMs = LEAST_REPORT_MS + further * REPORT_MS_PER_ENTRY;
  return Math.min(MOST_REPORT_MS, spreadMs);
}

/** Longest time between two reports, in milliseconds. */
export function heartbeatMs(entries: number): number {
  return Math.max(HEARTBEAT_MS, leastReportMs(entries));
}

/** Silence after which an entry takes the target node for lost, in milliseconds. */
export function silenceMs(entries: number): number {
  return MISSED_HEARTBEATS * heartbeatMs(entries);
}
