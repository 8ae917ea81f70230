/** Forwards a request: sends it to targets until its answer can be returned, or refuses it. */
import {
  ATTEMPT_END,
  DELIVERY,
  REQUEST_KIND,
  isIdempotent,
  lacksBudget,
  mayHaveRunAfter,
  nextDelivery,
  type DeliveryState,
} from '@balsamnotch/core';
import type {LogFields} from '@balsamnotch/daemon';
import type {GatewayContext} from '../node/context.js';
import {quarantineReason} from '../node/crashevidence.js';
import {
  attemptFields,
  type Attempt,
  type AttemptResult,
  type TargetAnswer,
} from './attempt.js';
import type {AdmittedRequest} from './admittedrequest.js';
import type {EndedAttempt} from './attemptrace.js';
import {CallerConfirmation} from './callerconfirmation.js';
import {TargetChooser} from './chooser.js';
import {ForwardedStream} from './forwardedstream.js';
import {healthAfter} from './health.js';
import type {ForwardedProgress} from './openanswers.js';
import {STOPPING, STOP_RETRY_AFTER_MS} from './plannedstop.js';
import {emptyAnswer, type Reply} from './reply.js';
import {RequestCrashes} from './requestcrashes.js';
import {RequestRetries} from './requestretries.js';
import {RequestOrigin} from './requestorigin.js';
import {RequestRecord} from './requestrecord.js';
import {RequestSecond} from './requestsecond.js';
import {RequestSends, notSentAttempt} from './requestsends.js';
import {requestRank} from './requestrank.js';
import type {ForwardingResources} from './resources.js';
import {HTTP_STATUS, REFUSAL_STATUSES, failureStatus} from './status.js';
import type {TargetState} from './targets.js';

/**
 * Time before the deadline at which the entry itself answers an unfinished
 * request, in milliseconds.
 */
const DEADLINE_MARGIN_MS = 15;

/** Forwarding of one request, over all its attempts; its `run` method starts it. */
export class Forwarding {
  private readonly sends: RequestSends;
  /** Whether a previous attempt may have run the request. */
  private mayHaveRun = false;
  /** The attempt in progress, with the second one beside it. */
  private attempt: Pick<Attempt, 'cancel' | 'resume'> | undefined;
  private readonly chooser: TargetChooser;
  private readonly retries: RequestRetries;
  private readonly crashes: RequestCrashes;
  private isFinished = false;
  /** Whether the process has paused since the attempt in progress began. */
  private hasPaused = false;
  private readonly callerConfirmation: CallerConfirmation;
  private readonly stream: ForwardedStream;
  private readonly record: RequestRecord;
  private readonly origin: RequestOrigin;
  private readonly second: RequestSecond;

  constructor(
    private readonly request: AdmittedRequest,
    private readonly reply: Reply,
    private readonly resources: ForwardingResources,
  ) {
    const {service, route} = request;
    const record = new RequestRecord(resources.context, request);
    this.record = record;
    this.origin = new RequestOrigin({...resources, request, record});
    this.retries = new RequestRetries(resources, service.name);
    this.crashes = new RequestCrashes({...resources, request});
    this.callerConfirmation = new CallerConfirmation({
      context: this.context,
      isCallerPresent: () => reply.isCallerPresent(),
      onLeft: () => this.handleCallerDisconnect(),
      isNeeded: () =>
        !this.isFinished &&
        !this.hasPaused &&
        this.remainingMs() > 0 &&
        this.fitsIntoStop(),
      confirmedAtMs: request.confirmedAtMs,
    });
    this.chooser = new TargetChooser(resources, {
      ...request,
      rank: requestRank(request, resources.deadlineProfiles),
      objectiveMs: route.latencyObjectiveMs,
      gapObjectiveMs: route.gapObjectiveMs,
      remainingMs: () => this.remainingMs(),
      isFinished: () => this.isFinished,
      stream: this.origin.stream,
    });
    const {continuation} = this.chooser;
    this.stream = new ForwardedStream(reply, continuation, target => {
      this.origin.recordBegin(target);
      this.context.metrics.timing('first_event', record.elapsedMs());
    });
    this.sends = new RequestSends({
      resources,
      request,
      chooser: this.chooser,
      retries: this.retries,
      crashes: this.crashes,
      stream: this.stream,
      callerConfirmation: this.callerConfirmation,
      remainingMs: () => this.remainingMs(),
      deadlineMs: () => this.remainingMs() - DEADLINE_MARGIN_MS,
    });
    this.second = new RequestSecond({
      resources,
      request,
      chooser: this.chooser,
      retries: this.retries,
      record,
      sends: this.sends,
      remainingMs: () => this.remainingMs() - DEADLINE_MARGIN_MS,
      obstacle: () => this.secondObstacle(),
      onFailed: ended => void this.recordEnded(ended),
    });
  }

  private get context(): GatewayContext {
    return this.resources.context;
  }

  private remainingMs(): number {
    return this.request.dueAtMs - this.context.clock.monotonicMs();
  }

  /**
   * Runs attempts until the request has its final answer or the caller has
   * disconnected. Rejects after an exception, once the request is answered.
   */
  async run(): Promise<void> {
    this.retries.begin();
    const timer = setTimeout(
      () => this.endUnanswered('overdue'),
      Math.max(0, this.remainingMs() - DEADLINE_MARGIN_MS),
    );
    try {
      const refusal = await this.origin.find(this.chooser.continuation);
      if (refusal !== undefined && !this.isFinished) this.refuse(refusal);
      while (!this.isFinished) await this.runAttempt();
    } catch (error) {
      this.failAfterException();
      throw error;
    } finally {
      clearTimeout(timer);
      this.chooser.release();
      this.retries.release();
    }
  }

  /**
   * Stops forwarding after the caller has disconnected. Attempts are cancelled on
   * safe and streaming routes.
   */
  handleCallerDisconnect(): void {
    if (this.isFinished) return;
    this.record.log('caller_left', {sends: this.sends.count});
    this.isFinished = true;
    this.chooser.release();
    // An unsafe request that has been sent is left to complete.
    if (this.request.route.kind !== REQUEST_KIND.unsafe) {
      this.attempt?.cancel('caller disconnected');
    }
  }

  /**
   * After a pause of the process, refuses the request if it certainly has not
   * run, since it may be outdated. One that waits for its connection is not written.
   */
  handlePause(): void {
    this.hasPaused = true;
    const mayBeRunning = this.attempt !== undefined || this.mayHaveRun;
    if (!this.isFinished && !mayBeRunning) this.refuse('paused');
  }

  /** Answers the request after an exception, unless it has been answered. */
  private failAfterException(): void {
    if (this.sends.count > 0) this.fail(HTTP_STATUS.badGateway, 'exception');
    else this.refuse('exception');
    this.attempt?.cancel('exception');
  }

  /** Returns how far the request has been forwarded. */
  progress(): ForwardedProgress {
    return {
      sends: this.sends.count,
      target: [...this.sends.tried].at(-1) ?? '',
    };
  }

  /** Continues a stream after the caller's connection has drained. */
  resume(): void {
    this.attempt?.resume();
  }

  /** Chooses a target, sends the request, and decides how to continue. */
  private async runAttempt(): Promise<void> {
    if (this.rejectIfQuarantined() || this.refuseForStop()) return;
    const target = await this.chooser.choose(this.sends.tried);
    await this.callerConfirmation.ensure();
    // The evidence may have arrived meanwhile.
    if (this.isFinished || this.rejectIfQuarantined()) return;
    if (target === undefined) {
      if (this.mayHaveRun) this.fail(HTTP_STATUS.badGateway, 'no_target');
      else this.refuse(this.chooser.lastRefusalReason || 'no_target');
      return;
    }
    // The target may have stated something meanwhile as well.
    if (this.chooser.leaveUnavailable(target)) return;
    if (this.refuseForStop()) return;
    const attempt = await this.send(target);
    const {result} = attempt;
    const ended = this.crashes.endedRequest(result);
    this.chooser.endAttempt(target, result, ended);
    this.attempt = undefined;
    if (!this.recordEnded(attempt)) {
      if (result.isWithheld && this.hasPaused) this.handlePause();
      return;
    }
    const mayRepeat = await this.crashes.mayRepeatAfter(attempt.target, ended);
    if (!this.isFinished) this.handleResult(attempt.target, result, mayRepeat);
  }

  /** Records, and returns true, that nothing was sent and the target may be tried again. */
  private recordUnsent({target, result, ...attempt}: EndedAttempt): boolean {
    const {id} = target.listing.target;
    const {isWithheld, withdrawnFor} = result;
    if (!isWithheld && withdrawnFor === undefined) return false;
    this.second.recordEnd({target, result, ...attempt});
    this.sends.tried.delete(id);
    if (isWithheld) this.record.log('withheld', {target: id});
    else if (withdrawnFor !== undefined) {
      this.chooser.recordWithdrawal(target, withdrawnFor);
    }
    return true;
  }

  /** Records the end of an attempt, and returns whether the request was sent. */
  private recordEnded(ended: EndedAttempt): boolean {
    if (this.recordUnsent(ended)) return false;
    this.mayHaveRun ||= mayHaveRunAfter(ended.result.end);
    this.recordResult(ended);
    return true;
  }

  /** Returns why no second attempt may be sent now; undefined if one may. */
  private secondObstacle(): string | undefined {
    if (this.isFinished) return 'finished';
    if (this.hasPaused) return 'paused';
    // It would count against the account once more.
    if (this.request.account?.allotment !== undefined) return 'allotment';
    return this.fitsIntoStop() ? undefined : STOPPING;
  }

  /** Rejects the request, and returns true, if it or a part of its prompt is in quarantine. */
  private rejectIfQuarantined(): boolean {
    const {evidence, clock} = this.context;
    const quarantine = this.crashes.quarantine();
    if (quarantine === undefined) return false;
    evidence.countRejected(quarantine);
    this.record.log('quarantined', {part: quarantine.part});
    const reason = quarantineReason(quarantine);
    this.refuse(reason, quarantine.endsAtMs - clock.monotonicMs());
    return true;
  }

  /** Ends the request, and returns true, if it may not be sent because of a planned stop. */
  private refuseForStop(): boolean {
    if (this.fitsIntoStop()) return false;
    this.refuse(STOPPING, STOP_RETRY_AFTER_MS);
    return true;
  }

  /** A started stream always fits, since the caller gets no better answer if it is cut now. */
  private fitsIntoStop(): boolean {
    const {plannedStop} = this.resources;
    return (
      this.reply.isStarted() ||
      plannedStop.allows(this.request, this.remainingMs())
    );
  }

  private async send(target: TargetState): Promise<EndedAttempt> {
    const {request, context} = this;
    // If a pause has just ended, this check reports it, and `handlePause` refuses the request.
    context.pauses.pauseMs();
    this.hasPaused = false;
    if (this.isFinished) return notSentAttempt(target, 'already finished');
    if (this.remainingMs() <= DEADLINE_MARGIN_MS) {
      return notSentAttempt(target, 'overdue');
    }
    const isContinuation = this.reply.isStarted();
    const recordEnd = this.resources.plannedStop.startAttempt(request);
    const race = this.second.race(target);
    this.attempt = race.attempt;
    const ended = await race.ended;
    if (!isContinuation) recordEnd(ended.result.end);
    return ended;
  }

  /** Logs the attempt and updates the health of its target. */
  private recordResult(ended: EndedAttempt): void {
    const {target, result, silences} = ended;
    if (ended.isRecorded) return;
    if (!this.isFinished) this.second.recordEnd(ended);
    const nowMs = this.context.clock.monotonicMs();
    const {caller} = this.request;
    this.crashes.recordEnd(target, result);
    this.record.log('attempt', {
      target: target.listing.target.id,
      adapter: caller.adapter,
      ...attemptFields(result),
      deadline_ms: caller.deadlineMs,
      waited_ms: Math.round(this.chooser.waitedMs),
      prompt_tokens: caller.promptTokens,
      prompt_parts: this.crashes.sharedParts.join(','),
      sends: this.sends.count,
    });
    if (this.isFinished && result.end !== ATTEMPT_END.answered) return;
    const isRecorded =
      result.end === ATTEMPT_END.silent && silences?.wasUnusual();
    if (isRecorded) return;
    target.health = healthAfter(target.health, result, nowMs);
  }

  /** Forwards the answer, retries, refuses or fails after an attempt. */
  private handleResult(
    target: TargetState,
    result: AttemptResult,
    mayRepeat: boolean,
  ): void {
    const {route} = this.request;
    const {end, answer} = result;
    const state: DeliveryState = {
      end,
      isIdempotent: isIdempotent(route) && mayRepeat,
      sends: this.sends.count,
      maxAttempts: route.maxAttempts,
      mayHaveRun: this.mayHaveRun,
      remainingMs: this.remainingMs(),
      hasBudget: this.retries.isAllowed(),
    };
    const delivery = nextDelivery(state);
    if (lacksBudget(state)) {
      this.record.log('retry_without_budget', this.retries.countRefusal(end));
    }
    switch (delivery) {
      case DELIVERY.forward:
        this.forward(answer);
        break;
      case DELIVERY.retry:
        this.record.log('retry', {
          after: target.listing.target.id,
          ...this.retries.reserve(end, this.sends.count > 0),
        });
        break;
      case DELIVERY.refuse:
        this.refuse(end);
        break;
      case DELIVERY.fail:
        this.fail(failureStatus(end), end);
        break;
    }
  }

  private forward(answer: TargetAnswer | undefined): void {
    if (answer === undefined) {
      this.fail(HTTP_STATUS.badGateway, 'no_answer');
      return;
    }
    this.isFinished = true;
    if (this.reply.isStarted()) {
      // If the continuation of a stream failed or may be truncated, the stream is incomplete.
      if (this.stream.isCompletedBy(answer)) this.reply.end();
      else this.reply.abort('continuation_failed');
    } else if (REFUSAL_STATUSES.has(answer.status)) {
      // The status would promise that the request has not run, which the target did not state.
      this.isFinished = false;
      this.fail(HTTP_STATUS.badGateway, 'refusal_without_promise');
      return;
    } else {
      this.reply.send(answer);
    }
    this.finish('answered', {status: answer.status});
  }

  /** Ends the request if it has no final answer yet, shortly before its deadline or the process exits. */
  endUnanswered(reason: string): void {
    if (this.isFinished) return;
    const mayBeRunning = this.attempt !== undefined || this.mayHaveRun;
    this.reply.discardHeld();
    if (mayBeRunning) this.fail(HTTP_STATUS.gatewayTimeout, reason);
    else this.refuse(reason);
    this.attempt?.cancel(reason);
  }

  /** Answers that the request has not run; fails it instead if that is not certain. */
  private refuse(
    reason: string,
    retryAfterMs: number = this.chooser.expectedRetryAfterMs(),
  ): void {
    if (this.reply.isStarted() || this.mayHaveRun) {
      this.fail(HTTP_STATUS.badGateway, reason);
      return;
    }
    this.sendError(HTTP_STATUS.unavailable, retryAfterMs);
    this.context.metrics.count('refused', reason);
    this.finish('refused', {
      reason,
      retry_after_ms: Math.round(retryAfterMs),
    });
  }

  /**
   * Answers with an error that leaves open whether the request has run, or aborts
   * a started stream.
   */
  private fail(status: number, reason: string): void {
    if (this.reply.isStarted()) this.reply.abort(reason);
    else this.sendError(status, undefined);
    this.context.metrics.count('failed', reason);
    this.finish('failed', {reason, status});
  }

  /** Answers with an error status and no body. */
  private sendError(status: number, retryAfterMs: number | undefined): void {
    const {requestId} = this.request.caller;
    const {protocol} = this.resources;
    this.reply.send(emptyAnswer(protocol, requestId, status, retryAfterMs));
  }

  /** Ends the request and records its outcome. */
  private finish(outcome: string, fields: LogFields): void {
    this.isFinished = true;
    this.chooser.release();
    this.record.finish(outcome, {...fields, sends: this.sends.count});
  }
}
