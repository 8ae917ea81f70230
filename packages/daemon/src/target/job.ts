/** One call to the plain service, with everything that its attachments wait for. */
import type {
  CallAnswer,
  WorkPriority,
  QueuedWork,
  Refusal,
} from '@balsamnotch/core';
import {Wakeup} from './wakeup.js';

/** What a call is started with. */
export interface JobStart extends QueuedWork {
  readonly priority: WorkPriority;
  readonly requestId: string;
  readonly operation: string;
  readonly body: Uint8Array;
  /** Empty for a repeatable call. */
  readonly ticket: string;
}

/** How a call ended for its attachments. */
export type JobEnd =
  | {readonly kind: 'answered'; readonly answer: CallAnswer}
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** A call that waits, runs or has ended. */
export class Job implements QueuedWork {
  readonly changed = new Wakeup();
  readonly priority: WorkPriority;
  readonly deadlineMs: number;
  end?: JobEnd;
  /** Number of attachments. */
  readers = 0;

  constructor(readonly start: JobStart) {
    this.priority = start.priority;
    this.deadlineMs = start.deadlineMs;
  }

  finish(end: JobEnd): void {
    if (this.end !== undefined) return;
    this.end = end;
    this.changed.notify();
  }

  refuse(refused: Refusal): void {
    this.finish({kind: 'refused', refusal: refused});
  }
}
