/** Bounded queue of work that has not started: priorities, shedding and deadlines. */
import {Err, Ok, type Result} from 'ts-results-es';
import {refusal, type Refusal} from './reasons.js';

/** Priorities of queued work; a lower rank starts first. */
export const PRIORITY_RANK = {
  /** A non-idempotent call. */
  confirmation: 0,
  interactive: 1,
  batch: 2,
} as const;

/** Priority of queued work. */
export type WorkPriority = keyof typeof PRIORITY_RANK;

/** Part of the queue bound at which work of each priority is shed. */
export const SHED_AT: Readonly<Record<WorkPriority, number>> = {
  batch: 0.5,
  interactive: 1,
  // Confirmations are shed last, so they have room above the bound.
  confirmation: 1.25,
};

/** Earliest useful repeat after shedding, in milliseconds. */
export const SHED_RETRY_AFTER_MS = 500;

/** Work that waits for its start. */
export interface QueuedWork {
  readonly priority: WorkPriority;
  /** Reading of the node's monotonic clock after which the work must not start. */
  readonly deadlineMs: number;
}

/** Waiting work in the order of arrival. */
export type WorkQueue<T extends QueuedWork> = readonly T[];

/** Adds work at the end, or refuses it as `overloaded`. */
export function enqueue<T extends QueuedWork>(
  queue: WorkQueue<T>,
  work: T,
  limit: number,
): Result<WorkQueue<T>, Refusal> {
  const bound = Math.max(1, Math.floor(limit * SHED_AT[work.priority]));
  if (queue.length < bound) return Ok([...queue, work]);
  return Err(
    refusal('overloaded', `${queue.length} requests wait at this target`, {
      retryAfterMs: SHED_RETRY_AFTER_MS,
    }),
  );
}

/** Work that may still start, and work whose deadline has passed. */
export interface SplitQueue<T extends QueuedWork> {
  readonly kept: WorkQueue<T>;
  readonly expired: readonly T[];
}

/** Separates the work whose deadline has passed in the node's clock. */
export function splitExpired<T extends QueuedWork>(
  queue: WorkQueue<T>,
  nowMs: number,
): SplitQueue<T> {
  return {
    kept: queue.filter(work => nowMs <= work.deadlineMs),
    expired: queue.filter(work => nowMs > work.deadlineMs),
  };
}

/** The work to start next: best priority, then earliest arrival, among that which is ready. */
export function nextWork<T extends QueuedWork>(
  queue: WorkQueue<T>,
  isReady: (work: T) => boolean,
): T | undefined {
  return queue
    .filter(isReady)
    .reduce<T | undefined>(
      (best, work) =>
        best === undefined ||
        PRIORITY_RANK[work.priority] < PRIORITY_RANK[best.priority]
          ? work
          : best,
      undefined,
    );
}
