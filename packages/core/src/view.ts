/** What an entry knows about one target: its place in the VM list, last report and open work. */
import {NODE_STATE, type TargetReport} from './report.js';
import type {TargetView} from './routing.js';

/** Earlier incarnations of a target whose late reports are recognised. */
const RETIRED_KEPT = 4;

/** First time without new work after failed attempts, in milliseconds. */
export const AVOID_MS = 1_500;

/** Longest time without new work after failed attempts, in milliseconds. */
export const AVOID_MAX_MS = 8_000;

/** Failed attempts in a row after which a target gets no new work. */
export const AVOID_AFTER = 2;

/** A target as the VM list names it. */
export interface ListedTarget {
  readonly name: string;
  readonly service: string;
  /** Address of its node: `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** Knowledge about one target. Times are of the entry's monotonic clock. */
export interface Standing {
  readonly listed: ListedTarget;
  /** When the list began to say `leaving`; 0 while it says `live`. */
  readonly listedLeavingAtMs: number;
  readonly report?: TargetReport;
  readonly reportAtMs: number;
  /** Requests that were sent after the report and are open. */
  readonly sentSince: number;
  /** Counts reports, so that the end of a request is matched with its send. */
  readonly reports: number;
  /** Attempts that failed since the last answer. */
  readonly failures: number;
  readonly avoidUntilMs: number;
  /** Incarnations before the one of the report, the latest first. */
  readonly retired: readonly string[];
}

/** A target that the VM list names for the first time. */
export function newStanding(listed: ListedTarget, nowMs: number): Standing {
  return {
    listed,
    listedLeavingAtMs: listed.state === 'leaving' ? nowMs : 0,
    reportAtMs: 0,
    sentSince: 0,
    reports: 0,
    failures: 0,
    avoidUntilMs: 0,
    retired: [],
  };
}

/** The VM list was read again. */
export function withListing(
  standing: Standing,
  listed: ListedTarget,
  nowMs: number,
): Standing {
  const since = standing.listedLeavingAtMs || nowMs;
  return {
    ...standing,
    listed,
    listedLeavingAtMs: listed.state === 'leaving' ? since : 0,
  };
}

/** Tells whether a report is older than the one that is known. */
function isOutdated(standing: Standing, report: TargetReport): boolean {
  if (standing.retired.includes(report.incarnation)) return true;
  const known = standing.report;
  if (known?.incarnation !== report.incarnation) return false;
  return report.nodeClockMs < known.nodeClockMs;
}

/** A report arrived, so the target is responsive. Reports that arrive late or out of order change nothing. */
export function withReport(
  standing: Standing,
  report: TargetReport,
  nowMs: number,
): Standing {
  if (isOutdated(standing, report)) return standing;
  const before = standing.report?.incarnation;
  const retired =
    before === undefined || before === report.incarnation
      ? standing.retired
      : [before, ...standing.retired].slice(0, RETIRED_KEPT);
  return {
    ...standing,
    report,
    reportAtMs: nowMs,
    sentSince: 0,
    reports: standing.reports + 1,
    failures: 0,
    avoidUntilMs: 0,
    retired,
  };
}

/** After a pause of this process nothing that was reported before counts. */
export function withoutReport(standing: Standing): Standing {
  return {...standing, report: undefined, reportAtMs: 0, sentSince: 0};
}

/** A request was sent. */
export function withSend(standing: Standing): Standing {
  return {...standing, sentSince: standing.sentSince + 1};
}

/** A request ended that was sent when `reports` had been counted. */
export function withEnd(standing: Standing, reports: number): Standing {
  if (reports !== standing.reports) return standing;
  return {...standing, sentSince: Math.max(0, standing.sentSince - 1)};
}

/** An attempt failed. `random` in [0, 1) spreads the end of the time without new work. */
export function withFailure(
  standing: Standing,
  nowMs: number,
  random: number,
): Standing {
  const failures = standing.failures + 1;
  if (failures < AVOID_AFTER) return {...standing, failures};
  const doubled = AVOID_MS * 2 ** (failures - AVOID_AFTER);
  const avoidMs = Math.min(AVOID_MAX_MS, doubled) * (1 + random / 4);
  return {...standing, failures, avoidUntilMs: nowMs + avoidMs};
}

/**
 * Tells whether a target leaves. A report of the target itself takes
 * precedence over the VM list, except over a list that has changed since: the
 * target learns of it later than the entry may.
 */
export function isLeaving(standing: Standing): boolean {
  if (standing.report?.state === NODE_STATE.leaving) return true;
  if (standing.listedLeavingAtMs === 0) return false;
  const seenServing = standing.report?.state === NODE_STATE.serving;
  return !seenServing || standing.reportAtMs < standing.listedLeavingAtMs;
}

/** The view that routing compares. */
export function viewOf(standing: Standing): TargetView {
  return {
    name: standing.listed.name,
    weight: 1,
    report: standing.report,
    reportAtMs: standing.reportAtMs,
    sentSince: standing.sentSince,
    avoidUntilMs: standing.avoidUntilMs,
  };
}
