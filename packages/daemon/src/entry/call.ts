/** Runs one call to a plain service over as many attempts as it needs. */
import {create} from '@bufbuild/protobuf';
import {
  OUTCOME,
  WORK,
  answered,
  beginAttempts,
  connectFailed,
  knownOutcome,
  lastRetryReason,
  lost,
  nextStep,
  refusal,
  refused,
  sent,
  settled,
  ticketIssued,
  usesRetryBudget,
  type Attempts,
  type HeldTicket,
  type Refusal,
  type Situation,
  type Step,
} from '@balsamnotch/core';
import * as wire from '@balsamnotch/wire';
import {outcomeFromWire, refusalFromWire} from '../node/convert.js';
import {candidatesOf, waitBefore} from './candidates.js';
import {phaseAt, sleep, stopAfter, type Parts} from './parts.js';
import type {Session} from './peer.js';
import type {CallPlan, Permitted, Reply, ReplyHeaders} from './request.js';
import {StreamError, supervised} from './supervise.js';
import {issueTicket} from './tickets.js';

/** Largest part of a call's time that is kept for `Settle`, in milliseconds. */
const SETTLE_RESERVE_MS = 500;

/** Part of a short call's time that is kept for `Settle`. */
const SETTLE_RESERVE_SHARE = 0.2;

/** Time for a target to answer `Settle`, in milliseconds. */
const SETTLE_MS = 400;

/** Time before the second request to settle a call, in milliseconds; later ones wait longer. */
const SETTLE_AGAIN_MS = 50;

function begin({ticket, operation}: CallPlan): Attempts {
  if (operation.repeatable) return beginAttempts(WORK.repeatable);
  if (ticket === undefined) return beginAttempts(WORK.ticketed);
  const {target, incarnation} = ticket.ticket;
  const held = {text: ticket.text, target, incarnation, issuedHere: false};
  return beginAttempts(WORK.ticketed, held);
}

/** A call in progress. */
class CallRun {
  private attempts: Attempts;
  private result: wire.CallResult | undefined;
  private readonly reserveMs: number;
  /** Requests to settle that were made. */
  private settles = 0;

  constructor(
    private readonly parts: Parts,
    private readonly request: Permitted,
    private readonly plan: CallPlan,
  ) {
    this.attempts = begin(plan);
    const share = request.budgetMs * SETTLE_RESERVE_SHARE;
    this.reserveMs = plan.operation.repeatable
      ? 0
      : Math.min(SETTLE_RESERVE_MS, share);
  }

  async run(): Promise<Reply> {
    for (;;) {
      await this.parts.checkPause();
      const step = this.nextStep();
      if (step.kind === 'reply') return this.reply();
      if (step.kind === 'refuse') return this.refuse(step.refusal);
      // A call under a ticket goes on at its target without a reader.
      if (this.request.gone.aborted) return this.callerGone();
      if (step.kind === 'issue') this.issue(step.target);
      else if (step.kind === 'settle') await this.settle(step.ticket);
      else await this.attempt(step.target);
    }
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }

  /** Time left for the call itself, in milliseconds. */
  private leftMs(): number {
    const endMs = this.request.deadlineMs - this.reserveMs;
    return Math.max(0, endMs - this.nowMs());
  }

  private nextStep(): Step {
    const step = nextStep(this.attempts, this.situation());
    const reason = lastRetryReason(this.attempts);
    // An issued ticket is followed by its send, which is not counted again.
    const issued = step.kind === 'send' && this.attempts.work === WORK.ticketed;
    const another = step.kind === 'send' || step.kind === 'issue';
    if (this.attempts.count === 0 || reason === undefined) return step;
    if (step.kind === 'reattach') this.parts.limits.retried(reason, false);
    else if (another && !issued) {
      this.parts.limits.retried(reason, usesRetryBudget(this.attempts));
    }
    return step;
  }

  private situation(): Situation {
    const {deadlineMs} = this.request;
    return {
      phase: phaseAt(this.nowMs(), deadlineMs, this.reserveMs),
      candidates: candidatesOf(
        this.parts,
        this.plan,
        this.request.configuration,
        this.attempts.count > 0,
      ),
      mayRetry: this.parts.limits.mayRetry(),
    };
  }

  private issue(target: string): void {
    const ticket = issueTicket(this.parts, this.request.caller.name, target);
    this.attempts =
      ticket === undefined
        ? connectFailed(this.attempts, target)
        : ticketIssued(this.attempts, ticket);
  }

  /** One send of the call, until its answer arrived or it failed. */
  private async attempt(target: string): Promise<void> {
    const {targets, context} = this.parts;
    await sleep(waitBefore(this.attempts, target, context.random()));
    // Counted while the connection opens, else a target that is gone stays the
    // least busy one and gets every call that arrives before its first failure.
    const ended = targets.sending(target);
    const startedMs = this.nowMs();
    const session = await targets.connect(target, this.leftMs());
    if (session === undefined) {
      ended();
      this.attempts = connectFailed(this.attempts, target);
      return;
    }
    const stop = stopAfter(this.leftMs(), this.request.gone);
    this.attempts = sent(this.attempts, target);
    try {
      await this.read(target, session, stop.signal);
      this.attempts = lost(this.attempts, 'stream_broken');
    } catch (error) {
      this.failed(target, session, startedMs, error);
    } finally {
      stop.end();
      ended();
      session.release();
    }
  }

  private failed(
    target: string,
    session: Session,
    startedMs: number,
    error: unknown,
  ): void {
    if (!(error instanceof StreamError)) throw error;
    const reason = error.end === 'broken' ? 'stream_broken' : 'silent';
    this.attempts = lost(this.attempts, reason);
    if (error.end === 'stopped') return;
    this.parts.targets.failed(target, startedMs);
    if (error.end === 'silent') session.abandon();
  }

  private async read(
    target: string,
    session: Session,
    stop: AbortSignal,
  ): Promise<void> {
    const request = this.message(target);
    const events = supervised(
      signal => session.client.call(request, {signal}),
      stop,
    );
    for await (const message of events) {
      const {event, report} = message;
      this.parts.targets.countUnknown(message);
      this.parts.targets.observe(target, report);
      if (event.case === 'refusal') {
        this.attempts = refused(this.attempts, refusalFromWire(event.value));
        return;
      }
      if (event.case === 'result') {
        this.parts.targets.observe(target, event.value.report);
        this.result = event.value;
        this.attempts = answered(this.attempts);
        return;
      }
    }
  }

  private envelope(target: string, incarnation: string): wire.Envelope {
    const {requestId, caller} = this.request;
    return this.parts.targets.envelope(target, {
      requestId,
      caller: caller.name,
      budgetMs: this.leftMs(),
      incarnation,
    });
  }

  private message(target: string): wire.CallRequest {
    const {plan, attempts, request} = this;
    const report = this.parts.targets.status(target)?.report;
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

  /** Asks the ticket's target what became of the call. A failure leaves the question open. */
  private async settle(ticket: HeldTicket): Promise<void> {
    const {targets, context} = this.parts;
    if (targets.status(ticket.target) === undefined) {
      // A target that is gone from the VM list answers no more.
      const gone = {outcome: OUTCOME.unknown, running: false};
      this.attempts = settled(this.attempts, gone);
      return;
    }
    if (this.settles++ > 0) await sleep(this.settleAgainMs());
    const leftMs = Math.max(1, this.request.deadlineMs - this.nowMs());
    const session = await targets.connect(ticket.target, leftMs);
    if (session === undefined) return;
    // The protocol takes whole milliseconds only.
    const timeoutMs = Math.max(1, Math.ceil(Math.min(SETTLE_MS, leftMs)));
    const envelope = this.envelope(ticket.target, ticket.incarnation);
    try {
      const answer = await session.client.settle(
        {envelope, ticket: ticket.text, cancel: true},
        {timeoutMs},
      );
      this.settled(ticket, answer);
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

  private settleAgainMs(): number {
    const waitMs = SETTLE_AGAIN_MS * 2 ** Math.min(this.settles - 2, 3);
    const leftMs = this.request.deadlineMs - this.nowMs();
    return Math.max(0, Math.min(waitMs, leftMs));
  }

  private settled(ticket: HeldTicket, answer: wire.SettleResponse): void {
    this.parts.targets.observe(ticket.target, answer.report);
    this.parts.context.metrics.count('settled');
    if (answer.result !== undefined) {
      this.result = answer.result;
      this.attempts = answered(this.attempts);
      return;
    }
    const outcome = outcomeFromWire(answer.outcome);
    this.attempts = settled(this.attempts, {outcome, running: answer.running});
  }

  private headers(): ReplyHeaders {
    const ticket = this.attempts.ticket?.text;
    return ticket === undefined ? {} : {'idempotency-key': ticket};
  }

  private reply(): Reply {
    const headers = this.headers();
    return {
      kind: 'bytes',
      status: this.result?.status ?? 502,
      contentType: this.result?.contentType ?? '',
      body: this.result?.body ?? '',
      headers,
    };
  }

  private refuse(refused: Refusal): Reply {
    const headers = this.headers();
    return {kind: 'refused', refusal: refused, settled: true, headers};
  }

  private callerGone(): Reply {
    const outcome = knownOutcome(this.attempts);
    return this.refuse(refusal('caller_gone', 'caller went away', {outcome}));
  }
}

/** Runs a call. */
export function runCall(
  parts: Parts,
  request: Permitted,
  plan: CallPlan,
): Promise<Reply> {
  return new CallRun(parts, request, plan).run();
}
