/** Early refusal of requests that would wait too long or find a full queue. */
import {SHED_AT} from './queue.js';
import {refusal, type Refusal} from './reasons.js';
import {adapterKey, type AdapterVersion, type TargetReport} from './report.js';
import type {TargetView} from './routing.js';

/** Reports older than this say too little to refuse a request, in milliseconds. */
export const ADMISSION_REPORT_MS = 2_000;

/** Priorities of callers. */
export const PRIORITY = {interactive: 'interactive', batch: 'batch'} as const;

/** One of the values of {@link PRIORITY}. */
export type Priority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** A request that asks for admission. */
export interface Admission {
  readonly priority: Priority;
  /** Absent for a call to a plain service. */
  readonly adapter?: AdapterVersion;
  readonly budgetMs: number;
  /** Requests that may wait at one target. */
  readonly queueLimit: number;
  /** Time of one load, in milliseconds. */
  readonly loadMs: number;
}

/** Requests that wait at a target, with those this entry sent since. */
function waitingAt(report: TargetReport, sentSince: number): number {
  const beyond = report.active + sentSince - report.batchSize;
  return report.queued + Math.max(0, beyond);
}

/** Time until a request would start, in milliseconds. */
function expectedWaitMs(
  report: TargetReport,
  sentSince: number,
  request: Admission,
): number {
  const waiting = waitingAt(report, sentSince);
  const queueMs = (waiting / Math.max(1, report.batchSize)) * report.serviceMs;
  const {adapter} = request;
  const loaded =
    adapter === undefined ||
    report.loaded.some(held => adapterKey(held) === adapterKey(adapter));
  const loadMs = loaded ? 0 : request.loadMs * (1 + report.loadsPending);
  return queueMs + loadMs;
}

/**
 * Refuses a request when every target is over the queue bound of its priority
 * or none can start it within its budget. A target without a recent report may
 * have room, so the request is admitted then.
 */
export function admit(
  request: Admission,
  views: readonly TargetView[],
  nowMs: number,
): Refusal | undefined {
  const known = views.flatMap(({report, reportAtMs, sentSince}) =>
    report !== undefined && nowMs - reportAtMs <= ADMISSION_REPORT_MS
      ? [{report, sentSince}]
      : [],
  );
  if (known.length === 0 || known.length < views.length) return undefined;
  const bound = request.queueLimit * SHED_AT[request.priority];
  const hasRoom = known.some(
    ({report, sentSince}) => waitingAt(report, sentSince) < bound,
  );
  if (!hasRoom) {
    return refusal('overloaded', 'all targets have full queues', {
      retryAfterMs: 1_000,
    });
  }
  const waitMs = Math.min(
    ...known.map(({report, sentSince}) =>
      expectedWaitMs(report, sentSince, request),
    ),
  );
  if (waitMs <= request.budgetMs) return undefined;
  return refusal('deadline_unreachable', 'expected wait exceeds the deadline', {
    retryAfterMs: Math.ceil(waitMs - request.budgetMs),
  });
}
