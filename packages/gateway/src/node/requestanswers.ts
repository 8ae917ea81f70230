/** Recent answers to requests by id, since the record of a crash may arrive after them. */
import {isRequestPart, withRequestAnswer} from '@balsamnotch/core';
import type {Clock, CrashRecord} from '@balsamnotch/core';

/** Number of requests whose last answer is remembered; the oldest are dropped first. */
const MAX_ANSWERS = 4_000;

/** Times of the last answers to requests that this node has seen. */
export class RequestAnswers {
  /** Monotonic times in milliseconds, the oldest first. */
  private readonly lastAtMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records an answer that has just arrived. */
  record(request: string): void {
    this.lastAtMs.delete(request);
    this.lastAtMs.set(request, this.clock.monotonicMs());
    if (this.lastAtMs.size <= MAX_ANSWERS) return;
    for (const oldest of this.lastAtMs.keys()) {
      this.lastAtMs.delete(oldest);
      break;
    }
  }

  /** Returns whether this node has seen an answer to the request later than `atMs`. */
  isAnsweredAfter(request: string, atMs: number): boolean {
    return (this.lastAtMs.get(request) ?? -Infinity) > atMs;
  }

  /**
   * Returns the record with the requests marked that were answered since the crash, of those that
   * `isShared` is true of.
   */
  withAnswersSince(
    record: CrashRecord,
    isShared: (request: string) => boolean,
  ): CrashRecord {
    let marked = record;
    if (this.lastAtMs.size === 0) return marked;
    for (const part of new Set(record.suspects.flatMap(({parts}) => parts))) {
      if (!isRequestPart(part) || !this.isAnsweredAfter(part, record.atMs)) {
        continue;
      }
      if (!isShared(part)) continue;
      marked = withRequestAnswer(marked, part);
    }
    return marked;
  }
}
