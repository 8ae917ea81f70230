/** A call to the plain service, shared by all attachments that wait for its result. */
import type {
  CallAnswer,
  WorkPriority,
  QueuedWork,
  Refusal,
} from '@balsamnotch/core';
import {Wakeup} from './wakeup.js';

/** Validated parameters of a call. */
export interface JobSpec extends QueuedWork {
  readonly priority: WorkPriority;
  readonly requestId: string;
  readonly operation: string;
  readonly body: Uint8Array;
  /** Empty for a repeatable call. */
  readonly ticket: string;
}

/** Result of a call as its attachments receive it. */
export type JobEnd =
  | {readonly kind: 'answered'; readonly answer: CallAnswer}
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** State of one call, owned by the call controller. */
export class Job implements QueuedWork {
  /** Notified when the call ends. */
  readonly changed = new Wakeup();
  readonly priority: WorkPriority;
  readonly deadlineMs: number;
  /** Unset while the call is queued or running. */
  end?: JobEnd;
  /** Number of attachments that wait for the call. */
  readers = 0;

  constructor(readonly spec: JobSpec) {
    this.priority = spec.priority;
    this.deadlineMs = spec.deadlineMs;
  }

  /** Sets the result; only the first one counts. */
  finish(end: JobEnd): void {
    if (this.end !== undefined) return;
    this.end = end;
    this.changed.notify();
  }

  refuse(refusal: Refusal): void {
    this.finish({kind: 'refused', refusal});
  }
}
