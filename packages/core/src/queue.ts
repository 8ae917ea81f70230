/** Bounded queue of work that has not started, with priorities, load shedding and deadlines. */
import {Err, Ok, type Result} from 'ts-results-es';
import {refusal, type Refusal} from './reasons.js';

/** Priorities of queued work. Work with a lower rank starts first. */
export const PRIORITY_RANK = {
  /** A non-idempotent call. */
  confirmation: 0,
  interactive: 1,
  batch: 2,
} as const;

/** One of the keys of {@link PRIORITY_RANK}. */
export type WorkPriority = keyof typeof PRIORITY_RANK;

/** Queue length from which work of each priority is shed, as a fraction of the queue bound. */
export const SHED_THRESHOLD: Readonly<Record<WorkPriority, number>> = {
  batch: 0.5,
  interactive: 1,
  // Confirmations are shed last, so they are accepted above the bound.
  confirmation: 1.25,
};

/** Time after which a retry of shed work is worthwhile, in milliseconds. */
export const SHED_RETRY_AFTER_MS = 500;

/** Work that waits to be started. */
export interface QueuedWork {
  readonly priority: WorkPriority;
  /** Time on the node's monotonic clock after which the work must not start, in milliseconds. */
  readonly deadlineMs: number;
}

/** Waiting work in order of arrival. */
export type WorkQueue<T extends QueuedWork> = readonly T[];

/**
 * Appends work to the queue. Returns an `overloaded` refusal if the queue is too long for its
 * priority. `limit` is the queue bound, in requests.
 */
export function enqueue<T extends QueuedWork>(
  queue: WorkQueue<T>,
  work: T,
  limit: number,
): Result<WorkQueue<T>, Refusal> {
  const maxLength = Math.max(
    1,
    Math.floor(limit * SHED_THRESHOLD[work.priority]),
  );
  if (queue.length < maxLength) return Ok([...queue, work]);
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

/** Separates the work whose deadline has passed on the node's monotonic clock. */
export function splitExpired<T extends QueuedWork>(
  queue: WorkQueue<T>,
  nowMs: number,
): SplitQueue<T> {
  return {
    kept: queue.filter(work => nowMs <= work.deadlineMs),
    expired: queue.filter(work => nowMs > work.deadlineMs),
  };
}

/**
 * Returns the work to start next: of the work that is ready, that with the lowest rank,
 * and among equals the earliest arrival. Returns undefined if none is ready.
 */
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
