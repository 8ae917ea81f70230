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
export interface TargetStatus {
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
  /** When the last failure was counted; 0 before the first. */
  readonly failedAtMs: number;
  readonly avoidUntilMs: number;
  /** Incarnations before the one of the report, the latest first. */
  readonly retired: readonly string[];
}

/** A target that the VM list names for the first time. */
export function newTargetStatus(
  listed: ListedTarget,
  nowMs: number,
): TargetStatus {
  return {
    listed,
    listedLeavingAtMs: listed.state === 'leaving' ? nowMs : 0,
    reportAtMs: 0,
    sentSince: 0,
    reports: 0,
    failures: 0,
    failedAtMs: 0,
    avoidUntilMs: 0,
    retired: [],
  };
}

/** The VM list was read again. */
export function withListing(
  status: TargetStatus,
  listed: ListedTarget,
  nowMs: number,
): TargetStatus {
  const since = status.listedLeavingAtMs || nowMs;
  return {
    ...status,
    listed,
    listedLeavingAtMs: listed.state === 'leaving' ? since : 0,
  };
}

/** Tells whether a report is older than the one that is known. */
function isOutdated(status: TargetStatus, report: TargetReport): boolean {
  if (status.retired.includes(report.incarnation)) return true;
  const known = status.report;
  if (known?.incarnation !== report.incarnation) return false;
  return report.nodeClockMs < known.nodeClockMs;
}

/** A report arrived, so the target is responsive. Reports that arrive late or out of order change nothing. */
export function withReport(
  status: TargetStatus,
  report: TargetReport,
  nowMs: number,
): TargetStatus {
  if (isOutdated(status, report)) return status;
  const before = status.report?.incarnation;
  const retired =
    before === undefined || before === report.incarnation
      ? status.retired
      : [before, ...status.retired].slice(0, RETIRED_KEPT);
  return {
    ...status,
    report,
    reportAtMs: nowMs,
    sentSince: 0,
    reports: status.reports + 1,
    failures: 0,
    avoidUntilMs: 0,
    retired,
  };
}

/** After a pause of this process nothing that was reported before counts. */
export function withoutReport(status: TargetStatus): TargetStatus {
  return {...status, report: undefined, reportAtMs: 0, sentSince: 0};
}

/** A request was sent. */
export function withSend(status: TargetStatus): TargetStatus {
  return {...status, sentSince: status.sentSince + 1};
}

/** A request ended that was sent when `reports` had been counted. */
export function withEnd(status: TargetStatus, reports: number): TargetStatus {
  if (reports !== status.reports) return status;
  return {...status, sentSince: Math.max(0, status.sentSince - 1)};
}

/**
 * An attempt failed that began at `startedMs`. Attempts that were open when the
 * last failure was counted tell nothing new: one cut connection ends them all.
 * `random` in [0, 1) spreads the end of the time without new work.
 */
export function withFailure(
  status: TargetStatus,
  nowMs: number,
  random: number,
  startedMs: number = nowMs,
): TargetStatus {
  if (startedMs < status.failedAtMs) return status;
  const failures = status.failures + 1;
  const failed = {...status, failures, failedAtMs: nowMs};
  if (failures < AVOID_AFTER) return failed;
  const doubled = AVOID_MS * 2 ** (failures - AVOID_AFTER);
  const avoidMs = Math.min(AVOID_MAX_MS, doubled) * (1 + random / 4);
  return {...failed, avoidUntilMs: nowMs + avoidMs};
}

/**
 * Tells whether a target leaves. A report of the target itself takes
 * precedence over the VM list, except over a list that has changed since: the
 * target learns of it later than the entry may.
 */
export function isLeaving(status: TargetStatus): boolean {
  if (status.report?.state === NODE_STATE.leaving) return true;
  if (status.listedLeavingAtMs === 0) return false;
  const seenServing = status.report?.state === NODE_STATE.serving;
  return !seenServing || status.reportAtMs < status.listedLeavingAtMs;
}

/** The view that routing compares. */
export function viewOf(status: TargetStatus): TargetView {
  return {
    name: status.listed.name,
    weight: 1,
    report: status.report,
    reportAtMs: status.reportAtMs,
    sentSince: status.sentSince,
    avoidUntilMs: status.avoidUntilMs,
  };
}
