/** The stream of events that an entry forwards to a caller, over all attempts of its request. */
import type {EventBatch, RegisteredTarget} from '@balsamnotch/core';
import type {TargetAnswer} from './attempt.js';
import type {StreamContinuation} from './continuation.js';
import type {Reply} from './reply.js';
import {HTTP_STATUS} from './status.js';

/**
 * Receives events of an attempt with the head of their answer. Returns false if the caller's
 * connection is congested.
 */
export type EventReceiver = (batch: EventBatch, head: TargetAnswer) => boolean;

/** A forwarded stream; it has not begun when it is created. */
export class ForwardedStream {
  /** Id of the last event sent to the caller; undefined if none was. */
  lastEventId: number | undefined;

  /** `onStart` is called before the first event is written, with the target that sent it. */
  constructor(
    private readonly reply: Reply,
    private readonly continuation: StreamContinuation,
    private readonly onStart: (target: RegisteredTarget) => void,
  ) {}

  /**
   * Returns what writes the events of an attempt at a target, as it is listed when the request is
   * sent. Events that cannot follow the last one are not written; `cancel` is called with the
   * reason and must end the attempt.
   */
  receiver(
    target: RegisteredTarget,
    cancel: (reason: string) => void,
  ): EventReceiver {
    let hasEvents = false;
    return (batch, head) => {
      const gap =
        this.gapBefore(batch) ??
        (hasEvents ? undefined : this.versionGapAt(target));
      if (gap === undefined) {
        hasEvents = true;
        this.continuation.hasEvents = true;
        return this.write(batch, head, target);
      }
      cancel(gap);
      return true;
    };
  }

  /** Returns why events cannot follow the last one; undefined if they can. */
  private gapBefore({firstId}: EventBatch): string | undefined {
    const isSuccessor =
      firstId === undefined ||
      this.lastEventId === undefined ||
      firstId === this.lastEventId + 1;
    return isSuccessor
      ? undefined
      : `event id ${firstId} after ${this.lastEventId}`;
  }

  /** Returns why the target cannot go on with the stream; undefined if it can. */
  private versionGapAt(target: RegisteredTarget): string | undefined {
    return this.continuation.allows(target)
      ? undefined
      : 'software version has changed';
  }

  private write(
    {lastId, bytes}: EventBatch,
    head: TargetAnswer,
    target: RegisteredTarget,
  ): boolean {
    if (!this.reply.isStarted()) {
      this.continuation.recordBegin(target);
      this.onStart(target);
      this.reply.startStream(head);
    }
    this.lastEventId = lastId ?? this.lastEventId;
    return this.reply.write(bytes);
  }

  /** Returns whether the stream is complete once an answer of a target has ended. */
  isCompletedBy({status}: TargetAnswer): boolean {
    return status < HTTP_STATUS.multipleChoices;
  }
}
