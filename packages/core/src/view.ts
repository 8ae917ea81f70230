/** State that an entry keeps for one target: its VM list entry, last report and open requests. */
import {NODE_STATE, type TargetReport} from './report.js';
import type {TargetView} from './routing.js';

/** Number of earlier incarnations kept per target, to detect their late reports. */
const MAX_RETIRED_INCARNATIONS = 4;

/** Initial time for which a failing target gets no new work, in milliseconds. */
export const MIN_AVOID_MS = 1_500;

/**
 * Maximum time for which a failing target gets no new work, in milliseconds, before random
 * spreading.
 */
export const MAX_AVOID_MS = 8_000;

/** Number of consecutive failed attempts after which a target gets no new work. */
export const AVOID_FAILURE_THRESHOLD = 2;

/** A target as listed in the VM list. */
export interface ListedTarget {
  readonly name: string;
  readonly service: string;
  /** Address of its node: `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/**
 * State of one target at the entry. Times are readings of the entry's monotonic clock in
 * milliseconds.
 */
export interface TargetStatus {
  readonly listed: ListedTarget;
  /** When the VM list first showed the target as `leaving`; 0 while it shows `live`. */
  readonly listedLeavingAtMs: number;
  readonly report?: TargetReport;
  readonly reportAtMs: number;
  /** Number of open requests that were sent after the report. */
  readonly sentSince: number;
  /**
   * Number of reports received. It shows whether a request that ends was sent after the last
   * report.
   */
  readonly reports: number;
  /** Number of failed attempts since the last report. */
  readonly failures: number;
  /** When the last failure was counted; 0 before the first failure. */
  readonly failedAtMs: number;
  readonly avoidUntilMs: number;
  /** Incarnations before that of the report, latest first. */
  readonly retiredIncarnations: readonly string[];
}

/** Returns the state of a target that appears in the VM list for the first time. */
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
    retiredIncarnations: [],
  };
}

/** Applies a new read of the VM list. */
export function withListing(
  status: TargetStatus,
  listed: ListedTarget,
  nowMs: number,
): TargetStatus {
  const leavingSinceMs = status.listedLeavingAtMs || nowMs;
  return {
    ...status,
    listed,
    listedLeavingAtMs: listed.state === 'leaving' ? leavingSinceMs : 0,
  };
}

/** Returns whether a report is older than the current one. */
function isOutdated(status: TargetStatus, report: TargetReport): boolean {
  if (status.retiredIncarnations.includes(report.incarnation)) return true;
  const current = status.report;
  if (current?.incarnation !== report.incarnation) return false;
  return report.nodeClockMs < current.nodeClockMs;
}

/**
 * Applies a report, which shows that the target responds. Ignores reports that are late or out
 * of order.
 */
export function withReport(
  status: TargetStatus,
  report: TargetReport,
  nowMs: number,
): TargetStatus {
  if (isOutdated(status, report)) return status;
  const previousIncarnation = status.report?.incarnation;
  const retired =
    previousIncarnation === undefined ||
    previousIncarnation === report.incarnation
      ? status.retiredIncarnations
      : [previousIncarnation, ...status.retiredIncarnations].slice(
          0,
          MAX_RETIRED_INCARNATIONS,
        );
  return {
    ...status,
    report,
    reportAtMs: nowMs,
    sentSince: 0,
    reports: status.reports + 1,
    failures: 0,
    avoidUntilMs: 0,
    retiredIncarnations: retired,
  };
}

/** Discards the report. After a pause of this process, earlier reports are no longer valid. */
export function withoutReport(status: TargetStatus): TargetStatus {
  return {...status, report: undefined, reportAtMs: 0, sentSince: 0};
}

/** Counts a sent request. */
export function withSend(status: TargetStatus): TargetStatus {
  return {...status, sentSince: status.sentSince + 1};
}

/**
 * Records the end of a request. `reportCountAtSend` is the value of `reports` when the request was
 * sent.
 */
export function withEnd(
  status: TargetStatus,
  reportCountAtSend: number,
): TargetStatus {
  if (reportCountAtSend !== status.reports) return status;
  return {...status, sentSince: Math.max(0, status.sentSince - 1)};
}

/**
 * Records the failure of an attempt that began at `startedMs`. Attempts that were
 * already open when the last failure was counted are ignored, because one broken
 * connection ends all of them. `random` in [0, 1) spreads the end of the avoidance
 * time.
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
  if (failures < AVOID_FAILURE_THRESHOLD) return failed;
  const doubledMs = MIN_AVOID_MS * 2 ** (failures - AVOID_FAILURE_THRESHOLD);
  const avoidMs = Math.min(MAX_AVOID_MS, doubledMs) * (1 + random / 4);
  return {...failed, avoidUntilMs: nowMs + avoidMs};
}

/**
 * Returns whether a target is leaving. A report of the target takes precedence over
 * the VM list, unless the list changed to `leaving` after the report: the entry may
 * learn of the change before the target does.
 */
export function isLeaving(status: TargetStatus): boolean {
  if (status.report?.state === NODE_STATE.leaving) return true;
  if (status.listedLeavingAtMs === 0) return false;
  const isReportedServing = status.report?.state === NODE_STATE.serving;
  return !isReportedServing || status.reportAtMs < status.listedLeavingAtMs;
}

/** Returns the view of the target that routing compares. */
export function toTargetView(status: TargetStatus): TargetView {
  return {
    name: status.listed.name,
    weight: 1,
    report: status.report,
    reportAtMs: status.reportAtMs,
    sentSince: status.sentSince,
    avoidUntilMs: status.avoidUntilMs,
  };
}
