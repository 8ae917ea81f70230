/** Admission control: early refusal of requests that would miss their deadline or find full queues. */
import {SHED_THRESHOLD} from './queue.js';
import {refusal, type Refusal} from './reasons.js';
import {adapterKey, type AdapterVersion, type TargetReport} from './report.js';
import type {TargetView} from './routing.js';

/** Maximum age of a report on which a refusal may be based, in milliseconds. */
export const MAX_REPORT_AGE_MS = 2_000;

/** Priorities of requests, set for each caller. */
export const PRIORITY = {interactive: 'interactive', batch: 'batch'} as const;

/** One of the values of {@link PRIORITY}. */
export type Priority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** Properties of a request that admission depends on. */
export interface AdmissionRequest {
  readonly priority: Priority;
  /** Absent for a call to a plain service. */
  readonly adapter?: AdapterVersion;
  /** Time left until the deadline, in milliseconds. */
  readonly budgetMs: number;
  /** Queue bound of one target, in requests. */
  readonly queueLimit: number;
  /** Expected duration of one adapter load, in milliseconds. */
  readonly loadMs: number;
}

/** Returns the number of requests that wait at a target, including those sent since its report. */
function waitingRequests(report: TargetReport, sentSince: number): number {
  const beyondBatch = report.active + sentSince - report.batchSize;
  return report.queued + Math.max(0, beyondBatch);
}

/** Returns the expected time until the request would start at a target, in milliseconds. */
function expectedWaitMs(
  report: TargetReport,
  sentSince: number,
  request: AdmissionRequest,
): number {
  const waiting = waitingRequests(report, sentSince);
  const queueMs = (waiting / Math.max(1, report.batchSize)) * report.serviceMs;
  const {adapter} = request;
  const isLoaded =
    adapter === undefined ||
    report.loaded.some(other => adapterKey(other) === adapterKey(adapter));
  const loadMs = isLoaded ? 0 : request.loadMs * (1 + report.loadsPending);
  return queueMs + loadMs;
}

/**
 * Returns an `overloaded` refusal if the queues of all targets are full for the request's
 * priority, a `deadline_unreachable` refusal if no target can start it within its budget,
 * and otherwise undefined, which admits it. A target without a recent report may have
 * room, so the request is then admitted. `nowMs` is the entry's monotonic clock.
 */
export function admit(
  request: AdmissionRequest,
  views: readonly TargetView[],
  nowMs: number,
): Refusal | undefined {
  const recent = views.flatMap(({report, reportAtMs, sentSince}) =>
    report !== undefined && nowMs - reportAtMs <= MAX_REPORT_AGE_MS
      ? [{report, sentSince}]
      : [],
  );
  if (recent.length === 0 || recent.length < views.length) return undefined;
  const maxWaiting = request.queueLimit * SHED_THRESHOLD[request.priority];
  const hasRoom = recent.some(
    ({report, sentSince}) => waitingRequests(report, sentSince) < maxWaiting,
  );
  if (!hasRoom) {
    return refusal('overloaded', 'all targets have full queues', {
      retryAfterMs: 1_000,
    });
  }
  const waitMs = Math.min(
    ...recent.map(({report, sentSince}) =>
      expectedWaitMs(report, sentSince, request),
    ),
  );
  if (waitMs <= request.budgetMs) return undefined;
  return refusal('deadline_unreachable', 'expected wait exceeds the deadline', {
    retryAfterMs: Math.ceil(waitMs - request.budgetMs),
  });
}
