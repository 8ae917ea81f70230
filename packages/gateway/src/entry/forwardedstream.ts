/** The stream of events that an entry forwards to a caller, over all attempts of its request. */
import type {EventBatch} from '@balsamnotch/core';
import type {TargetAnswer} from './attempt.js';
import type {Reply} from './reply.js';
import {HTTP_STATUS} from './status.js';

/** A forwarded stream; it has not begun when it is created. */
export class ForwardedStream {
  /** Id of the last event sent to the caller; undefined if none was. */
  lastEventId: number | undefined;

  /** `onStart` is called before the first event is written. */
  constructor(
    private readonly reply: Reply,
    private readonly onStart: () => void,
  ) {}

  /** Returns why events cannot follow the last one; undefined if they can. */
  gapBefore({firstId}: EventBatch): string | undefined {
    const isSuccessor =
      firstId === undefined ||
      this.lastEventId === undefined ||
      firstId === this.lastEventId + 1;
    return isSuccessor
      ? undefined
      : `event id ${firstId} after ${this.lastEventId}`;
  }

  /** Writes events to the caller. Returns false if the caller's connection is congested. */
  write({lastId, bytes}: EventBatch, head: TargetAnswer): boolean {
    if (!this.reply.isStarted()) {
      this.reply.startStream(head);
      this.onStart();
    }
    this.lastEventId = lastId ?? this.lastEventId;
    return this.reply.write(bytes);
  }

  /** Returns whether the stream is complete once an answer of a target has ended. */
  isCompletedBy({status}: TargetAnswer): boolean {
    return status < HTTP_STATUS.multipleChoices;
  }
}
