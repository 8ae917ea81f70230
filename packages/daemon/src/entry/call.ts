/** Runs a call to a plain service, with retries and settlement. */
import {create} from '@bufbuild/protobuf';
import {
  OUTCOME,
  WORK,
  addAnswer,
  beginAttempts,
  addConnectFailure,
  knownOutcome,
  lastRetryReason,
  addLoss,
  nextStep,
  refusal,
  addRefusal,
  addSend,
  addSettlement,
  addIssuedTicket,
  usesRetryBudget,
  type Attempts,
  type RequestTicket,
  type Refusal,
  type StepConditions,
  type Step,
} from '@balsamnotch/core';
import * as wire from '@balsamnotch/wire';
import {outcomeFromWire, refusalFromWire} from '../node/convert.js';
import {candidateNames, retryDelayMs} from './candidates.js';
import {
  phaseAt,
  sleep,
  startAbortTimer,
  type EntryComponents,
} from './parts.js';
import type {Session} from './peer.js';
import type {
  CallPlan,
  PermittedRequest,
  Reply,
  ReplyHeaders,
} from './request.js';
import {StreamError, superviseStream} from './supervise.js';
import {issueTicket} from './tickets.js';

/**
 * Maximum time of a call that is reserved for `Settle` before the deadline, in
 * milliseconds.
 */
const MAX_SETTLE_RESERVE_MS = 500;

/** Fraction of the time budget that is reserved for `Settle` in short calls. */
const SETTLE_RESERVE_FRACTION = 0.2;

/** Timeout of a `Settle` request, in milliseconds. */
const SETTLE_TIMEOUT_MS = 400;

/**
 * Delay before the second `Settle` request of a call, in milliseconds. Doubles with each
 * further request, at most three times.
 */
const SETTLE_RETRY_DELAY_MS = 50;

function initialAttempts({ticket, operation}: CallPlan): Attempts {
  if (operation.repeatable) return beginAttempts(WORK.repeatable);
  if (ticket === undefined) return beginAttempts(WORK.ticketed);
  const {target, incarnation} = ticket.ticket;
  const heldTicket = {
    text: ticket.text,
    target,
    incarnation,
    issuedHere: false,
  };
  return beginAttempts(WORK.ticketed, heldTicket);
}

/** State of a call in progress. */
class CallRun {
  private attempts: Attempts;
  private result: wire.CallResult | undefined;
  private readonly reserveMs: number;
  /** Number of `Settle` requests sent so far. */
  private settleCount = 0;

  constructor(
    private readonly entry: EntryComponents,
    private readonly request: PermittedRequest,
    private readonly plan: CallPlan,
  ) {
    this.attempts = initialAttempts(plan);
    const fractionMs = request.budgetMs * SETTLE_RESERVE_FRACTION;
    this.reserveMs = plan.operation.repeatable
      ? 0
      : Math.min(MAX_SETTLE_RESERVE_MS, fractionMs);
  }

  async run(): Promise<Reply> {
    for (;;) {
      await this.entry.checkPause();
      const step = this.nextStep();
      if (step.kind === 'reply') return this.resultReply();
      if (step.kind === 'refuse') return this.refusalReply(step.refusal);
      // A target completes a ticketed call even if the entry stops reading its answer.
      if (this.request.abortSignal.aborted) return this.callerGoneReply();
      if (step.kind === 'issue') this.issue(step.target);
      else if (step.kind === 'settle') await this.settle(step.ticket);
      else await this.makeAttempt(step.target);
    }
  }

  private nowMs(): number {
    return this.entry.context.clock.monotonicMs();
  }

  /** Returns the remaining time without the reserve for `Settle`, in milliseconds. */
  private remainingMs(): number {
    const endMs = this.request.deadlineMs - this.reserveMs;
    return Math.max(0, endMs - this.nowMs());
  }

  private nextStep(): Step {
    const step = nextStep(this.attempts, this.situation());
    const reason = lastRetryReason(this.attempts);
    // A retry of a ticketed call is counted when its ticket is issued, not again at the
    // send.
    const isSendAfterIssue =
      step.kind === 'send' && this.attempts.work === WORK.ticketed;
    const isNewAttempt = step.kind === 'send' || step.kind === 'issue';
    if (this.attempts.attemptCount === 0 || reason === undefined) return step;
    if (step.kind === 'reattach') this.entry.limits.recordRetry(reason, false);
    else if (isNewAttempt && !isSendAfterIssue) {
      this.entry.limits.recordRetry(reason, usesRetryBudget(this.attempts));
    }
    return step;
  }

  private situation(): StepConditions {
    const {deadlineMs} = this.request;
    return {
      phase: phaseAt(this.nowMs(), deadlineMs, this.reserveMs),
      candidates: candidateNames(
        this.entry,
        this.plan,
        this.request.configuration,
        this.attempts.attemptCount > 0,
      ),
      mayRetry: this.entry.limits.mayRetry(),
    };
  }

  private issue(target: string): void {
    const ticket = issueTicket(this.entry, this.request.caller.name, target);
    this.attempts =
      ticket === undefined
        ? addConnectFailure(this.attempts, target)
        : addIssuedTicket(this.attempts, ticket);
  }

  /** Sends the call once and reads until it is answered, refused or has failed. */
  private async makeAttempt(target: string): Promise<void> {
    const {targets, context} = this.entry;
    await sleep(retryDelayMs(this.attempts, target, context.random()));
    // Count the send while the connection opens. Otherwise a target that is gone stays
    // the least busy one and attracts every call that arrives before its first failure.
    const endSend = targets.beginSend(target);
    const startedMs = this.nowMs();
    const session = await targets.connect(target, this.remainingMs());
    if (session === undefined) {
      endSend();
      this.attempts = addConnectFailure(this.attempts, target);
      return;
    }
    const abortTimer = startAbortTimer(
      this.remainingMs(),
      this.request.abortSignal,
    );
    this.attempts = addSend(this.attempts, target);
    try {
      await this.readAnswer(target, session, abortTimer.signal);
      this.attempts = addLoss(this.attempts, 'stream_broken');
    } catch (error) {
      this.handleFailure(target, session, startedMs, error);
    } finally {
      abortTimer.dispose();
      endSend();
      session.release();
    }
  }

  private handleFailure(
    target: string,
    session: Session,
    startedMs: number,
    error: unknown,
  ): void {
    if (!(error instanceof StreamError)) throw error;
    const reason = error.end === 'broken' ? 'stream_broken' : 'silent';
    this.attempts = addLoss(this.attempts, reason);
    if (error.end === 'stopped') return;
    this.entry.targets.markFailed(target, startedMs);
    if (error.end === 'silent') session.abandon();
  }

  private async readAnswer(
    target: string,
    session: Session,
    stopSignal: AbortSignal,
  ): Promise<void> {
    const request = this.buildRequest(target);
    const events = superviseStream(
      signal => session.client.call(request, {signal}),
      stopSignal,
    );
    for await (const message of events) {
      const {event, report} = message;
      this.entry.targets.countUnknownFields(message);
      this.entry.targets.recordReport(target, report);
      if (event.case === 'refusal') {
        this.attempts = addRefusal(this.attempts, refusalFromWire(event.value));
        return;
      }
      if (event.case === 'result') {
        this.entry.targets.recordReport(target, event.value.report);
        this.result = event.value;
        this.attempts = addAnswer(this.attempts);
        return;
      }
    }
  }

  private envelope(target: string, incarnation: string): wire.Envelope {
    const {requestId, caller} = this.request;
    return this.entry.targets.envelope(target, {
      requestId,
      caller: caller.name,
      budgetMs: this.remainingMs(),
      incarnation,
    });
  }

  private buildRequest(target: string): wire.CallRequest {
    const {plan, attempts, request} = this;
    const report = this.entry.targets.status(target)?.report;
    const incarnation =
      attempts.ticket?.incarnation ?? report?.incarnation ?? '';
    return create(wire.CallRequestSchema, {
      envelope: this.envelope(target, incarnation),
      service: plan.service.name,
      operation: plan.operation.name,
      body: request.body,
      repeatable: plan.operation.repeatable,
      ticket: attempts.ticket?.text ?? '',
    });
  }

  /**
   * Asks the ticket's target to cancel the call unless it has started, and to return its
   * outcome. If the request fails, the outcome remains unsettled.
   */
  private async settle(ticket: RequestTicket): Promise<void> {
    const {targets, context} = this.entry;
    if (targets.status(ticket.target) === undefined) {
      // A target that was removed from the VM list can no longer answer.
      const unknownSettlement = {outcome: OUTCOME.unknown, running: false};
      this.attempts = addSettlement(this.attempts, unknownSettlement);
      return;
    }
    if (this.settleCount++ > 0) await sleep(this.settleDelayMs());
    const timeToDeadlineMs = Math.max(
      1,
      this.request.deadlineMs - this.nowMs(),
    );
    const session = await targets.connect(ticket.target, timeToDeadlineMs);
    if (session === undefined) return;
    // The protocol accepts only whole milliseconds.
    const timeoutMs = Math.max(
      1,
      Math.ceil(Math.min(SETTLE_TIMEOUT_MS, timeToDeadlineMs)),
    );
    const envelope = this.envelope(ticket.target, ticket.incarnation);
    try {
      const answer = await session.client.settle(
        {envelope, ticket: ticket.text, cancel: true},
        {timeoutMs},
      );
      this.handleSettlement(ticket, answer);
    } catch (error) {
      context.log.debug('settle_failed', {
        target: ticket.target,
        error: `${error}`,
      });
      session.abandon();
    } finally {
      session.release();
    }
  }

  private settleDelayMs(): number {
    const delayMs =
      SETTLE_RETRY_DELAY_MS * 2 ** Math.min(this.settleCount - 2, 3);
    const timeToDeadlineMs = this.request.deadlineMs - this.nowMs();
    return Math.max(0, Math.min(delayMs, timeToDeadlineMs));
  }

  private handleSettlement(
    ticket: RequestTicket,
    answer: wire.SettleResponse,
  ): void {
    this.entry.targets.recordReport(ticket.target, answer.report);
    this.entry.context.metrics.count('settled');
    if (answer.result !== undefined) {
      this.result = answer.result;
      this.attempts = addAnswer(this.attempts);
      return;
    }
    const outcome = outcomeFromWire(answer.outcome);
    this.attempts = addSettlement(this.attempts, {
      outcome,
      running: answer.running,
    });
  }

  private headers(): ReplyHeaders {
    const ticket = this.attempts.ticket?.text;
    return ticket === undefined ? {} : {'idempotency-key': ticket};
  }

  private resultReply(): Reply {
    const headers = this.headers();
    return {
      kind: 'bytes',
      status: this.result?.status ?? 502,
      contentType: this.result?.contentType ?? '',
      body: this.result?.body ?? '',
      headers,
    };
  }

  private refusalReply(finalRefusal: Refusal): Reply {
    const headers = this.headers();
    return {
      kind: 'refused',
      refusal: finalRefusal,
      isFinal: true,
      headers,
    };
  }

  private callerGoneReply(): Reply {
    const outcome = knownOutcome(this.attempts);
    return this.refusalReply(
      refusal('caller_gone', 'caller went away', {outcome}),
    );
  }
}

/** Runs a call and returns its reply; refusals and failures are replies too. */
export function runCall(
  entry: EntryComponents,
  request: PermittedRequest,
  plan: CallPlan,
): Promise<Reply> {
  return new CallRun(entry, request, plan).run();
}
