/** How often a target node reports to the entries that hold streams to it. */

/** Longest time between two reports to an entry, in milliseconds; a third of the silence that entries bear. */
export const REPORT_MS = 400;

/** Least time between two reports, in milliseconds; bounds what a busy engine's reports cost. */
const LEAST_REPORT_MS = 80;

/**
 * Least time between two reports for each entry, in milliseconds. A report costs
 * a third of a millisecond of processor time at both ends together, and each
 * entry gets those of all engines: at 40 entries and 31 engines, reports each
 * 80 ms took two thirds of the system's processor time.
 */
const REPORT_MS_PER_ENTRY = 8;

/** Least time between two reports that are sent because something changed, in milliseconds. */
export function leastReportMs(entries: number): number {
  const spreadMs = entries * REPORT_MS_PER_ENTRY;
  return Math.min(REPORT_MS, Math.max(LEAST_REPORT_MS, spreadMs));
}
