/** The sends of one request to targets. */
import {ATTEMPT_END, REQUEST_KIND, isIdempotent} from '@balsamnotch/core';
import type {AdmittedRequest} from './admittedrequest.js';
import {notSentResult, openAttempt, type Attempt} from './attempt.js';
import type {EndedAttempt, SentAttempt} from './attemptrace.js';
import type {CallerConfirmation} from './callerconfirmation.js';
import type {TargetChooser} from './chooser.js';
import type {ForwardedStream} from './forwardedstream.js';
import {outgoingRequest} from './outgoingrequest.js';
import type {RequestCrashes} from './requestcrashes.js';
import type {RequestRetries} from './requestretries.js';
import type {ForwardingResources} from './resources.js';
import {watchTarget} from './silencedecision.js';
import type {TargetState} from './targets.js';

/** Options of {@link RequestSends}. Times are in milliseconds. */
export interface RequestSendsOptions {
  readonly resources: ForwardingResources;
  readonly request: AdmittedRequest;
  readonly chooser: TargetChooser;
  readonly retries: RequestRetries;
  readonly crashes: Pick<RequestCrashes, 'recordSend'>;
  readonly stream: ForwardedStream;
  readonly callerConfirmation: Pick<CallerConfirmation, 'mayWrite'>;
  /** Time left for the answer. */
  readonly remainingMs: () => number;
  /** Time that a target is given for it. */
  readonly deadlineMs: () => number;
}

/** Sends one request, and counts how often. */
export class RequestSends {
  /** Ids of the targets to which the request was sent. */
  readonly tried = new Set<string>();
  /** Number of targets to which the request was sent. */
  count = 0;

  constructor(private readonly options: RequestSendsOptions) {}

  /** Sends the request to a target. */
  open(target: TargetState): SentAttempt {
    const {resources, request, chooser, retries, stream} = this.options;
    const {clock} = resources.context;
    const {route} = request;
    const {id} = target.listing.target;
    const deadlineMs = this.options.deadlineMs();
    const isRepeat = this.count > 0;
    if (isRepeat) retries.recordSend();
    this.count += 1;
    this.tried.add(id);
    resources.targets.countSend(target, chooser.isGranted);
    this.options.crashes.recordSend();
    const isRetryable = isIdempotent(route) && this.maySend();
    const silences = isRetryable
      ? watchTarget(target, {
          ...this.options,
          route,
          triedTargets: this.tried,
          maySend: () => this.maySend(),
        })
      : undefined;
    const startedAtMs = clock.monotonicMs();
    const attempt: Attempt = openAttempt(
      target,
      outgoingRequest(request, resources.protocol, {
        deadlineMs,
        targetId: id,
        adapterVersion: chooser.expectedVersion(target),
        resumeAfter: stream.lastEventId,
      }),
      {
        protocol: resources.protocol,
        isStream: route.kind === REQUEST_KIND.streaming,
        firstByteTimeoutMs: deadlineMs,
        gapTimeoutMs: deadlineMs,
        silences,
        observer: {
          onEvents: stream.receiver(target.listing.target, reason =>
            attempt.cancel(reason),
          ),
          ...resources.targets.statementObserver(target),
        },
        mayWrite: () => this.options.callerConfirmation.mayWrite(),
        memory: resources.memory,
        now: () => clock.monotonicMs(),
      },
    );
    target.inProgress += 1;
    const result = attempt.result.then(ended => {
      target.inProgress -= 1;
      if (ended.end === ATTEMPT_END.notSent) {
        this.count -= 1;
        if (isRepeat) retries.recordNotSent();
      }
      return ended;
    });
    return {
      target,
      attempt: {...attempt, result},
      silences,
      startedAtMs,
      isSecond: false,
    };
  }

  /** Returns whether the request may be sent to a further target. */
  maySend(): boolean {
    return this.count < this.options.request.route.maxAttempts;
  }
}

/** Returns an attempt that has ended before anything was sent. */
export function notSentAttempt(
  target: TargetState,
  detail: string,
): EndedAttempt {
  const result = notSentResult(detail);
  return {
    target,
    result,
    attempt: {
      result: Promise.resolve(result),
      cancel: () => undefined,
      resume: () => undefined,
    },
    startedAtMs: 0,
    isSecond: false,
    isRecorded: false,
  };
}
