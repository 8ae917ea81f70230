/** Runs a chat, with retries, and yields its answer in pieces. */
import {create} from '@bufbuild/protobuf';
import {
  PHASE,
  STREAM_FAULT,
  WORK,
  acceptChunk,
  acceptEnd,
  addAnswer,
  beginAttempts,
  addConnectFailure,
  emptyAssembly,
  lastRetryReason,
  addLoss,
  nextStep,
  addProgress,
  refusal,
  addRefusal,
  addSend,
  startAttempt,
  assembledTokens,
  usesRetryBudget,
  type Assembly,
  type Attempts,
  type StepConditions,
  type Step,
  type StreamFault,
} from '@balsamnotch/core';
import * as wire from '@balsamnotch/wire';
import {refusalFromWire} from '../node/convert.js';
import {cancelChat} from './cancel.js';
import {candidateNames, retryDelayMs} from './candidates.js';
import {
  phaseAt,
  sleep,
  startAbortTimer,
  type EntryComponents,
  type AbortTimer,
} from './parts.js';
import type {Session} from './peer.js';
import type {ChatPiece, ChatPlan, PermittedRequest} from './request.js';
import {StreamError, superviseStream} from './supervise.js';

/** State of a chat in progress. */
class ChatRun {
  private attempts: Attempts = beginAttempts(WORK.chat);
  private assembly: Assembly;
  private readonly abortTimer: AbortTimer;
  /**
   * Targets that may still be working on the chat. They are asked to cancel it when it
   * is sent to another target or abandoned.
   */
  private readonly activeTargets = new Set<string>();
  /** Target of the last send or reattach. */
  private lastTarget = '';

  constructor(
    private readonly entry: EntryComponents,
    private readonly request: PermittedRequest,
    private readonly plan: ChatPlan,
  ) {
    const {requestId, deadlineMs, abortSignal} = request;
    const {adapter, version} = plan;
    this.assembly = emptyAssembly({requestId, adapter, version});
    this.abortTimer = startAbortTimer(deadlineMs - this.nowMs(), abortSignal);
  }

  async *run(): AsyncGenerator<ChatPiece, void> {
    try {
      for (;;) {
        await this.entry.checkPause();
        const step = this.nextStep();
        if (step.kind !== 'send' && step.kind !== 'reattach') {
          yield this.finalPiece(step);
          return;
        }
        yield* this.makeAttempt(step.target, step.kind === 'reattach');
        if (this.request.abortSignal.aborted) return;
      }
    } finally {
      this.abortTimer.dispose();
      this.cancelOtherTargets(this.attempts.answered ? this.lastTarget : '');
    }
  }

  private nowMs(): number {
    return this.entry.context.clock.monotonicMs();
  }

  private hasStarted(): boolean {
    return this.assembly.received > 0 && this.plan.task.stream;
  }

  private nextStep(): Step {
    const step = nextStep(this.attempts, this.situation());
    const reason = lastRetryReason(this.attempts);
    const isAnotherAttempt = step.kind === 'send' || step.kind === 'reattach';
    if (
      this.attempts.attemptCount > 0 &&
      isAnotherAttempt &&
      reason !== undefined
    ) {
      const startsWork = step.kind === 'send' && usesRetryBudget(this.attempts);
      this.entry.limits.recordRetry(reason, startsWork);
    }
    return step;
  }

  private situation(): StepConditions {
    const {configuration, deadlineMs} = this.request;
    return {
      // The deadline does not cut off an answer that is already streaming to the caller.
      phase: this.hasStarted()
        ? PHASE.open
        : phaseAt(this.nowMs(), deadlineMs, 0),
      candidates: candidateNames(
        this.entry,
        this.plan,
        configuration,
        this.attempts.attemptCount > 0,
      ),
      mayRetry: this.entry.limits.mayRetry(),
    };
  }

  private finalPiece(step: Step): ChatPiece {
    if (step.kind === 'refuse') {
      return {kind: 'refused', refusal: step.refusal};
    }
    return {
      kind: 'end',
      total: this.assembly.received,
      finishReason: this.assembly.finishReason ?? 'stop',
    };
  }

  /** Sends the chat or reattaches to it, and yields new tokens until the attempt ends. */
  private async *makeAttempt(
    target: string,
    isReattach: boolean,
  ): AsyncGenerator<ChatPiece, void> {
    const {targets, context} = this.entry;
    await sleep(retryDelayMs(this.attempts, target, context.random()));
    const endSend = targets.beginSend(target);
    const startedMs = this.nowMs();
    const session = await targets.connect(target, this.budgetMs());
    if (session === undefined) {
      endSend();
      this.attempts = addConnectFailure(this.attempts, target);
      return;
    }
    if (!isReattach) this.cancelOtherTargets(target);
    this.assembly = startAttempt(this.assembly);
    this.attempts = addSend(this.attempts, target, isReattach);
    this.activeTargets.add(target);
    this.lastTarget = target;
    if (!isReattach) {
      const popularity = this.entry.popularityOf(this.plan.service.name);
      popularity.recordSend(target, this.nowMs());
    }
    try {
      yield* this.readAnswer(target, session, isReattach);
      this.attempts = addLoss(this.attempts, 'stream_broken');
    } catch (error) {
      this.handleFailure(target, session, startedMs, error);
    } finally {
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
    if (error.end === 'stopped') {
      this.attempts = addLoss(this.attempts, 'silent');
      return;
    }
    this.entry.targets.markFailed(target, startedMs);
    if (error.end === 'silent') session.abandon();
    const reason = error.end === 'silent' ? 'silent' : 'stream_broken';
    this.attempts = addLoss(this.attempts, reason);
  }

  private async *readAnswer(
    target: string,
    session: Session,
    isReattach: boolean,
  ): AsyncGenerator<ChatPiece, void> {
    const attempt = this.assembly.attempt;
    const chatRequest = this.buildRequest(target, isReattach);
    const events = superviseStream(
      signal => session.client.chat(chatRequest, {signal}),
      this.abortTimer.signal,
    );
    for await (const event of events) {
      void this.entry.checkPause();
      this.entry.targets.countUnknownFields(event);
      this.entry.targets.recordReport(target, event.report);
      const newTokens = this.handleEvent(target, attempt, event);
      if (newTokens === undefined) return;
      if (newTokens.length === 0) continue;
      this.attempts = addProgress(this.attempts);
      if (this.hasStarted()) this.abortTimer.clearTimeLimit();
      yield {kind: 'tokens', tokens: newTokens};
    }
  }

  /** Handles one event. Returns its new tokens, or undefined if the attempt has ended. */
  private handleEvent(
    target: string,
    attempt: number,
    {event}: wire.ChatEvent,
  ): readonly string[] | undefined {
    switch (event.case) {
      case 'accepted':
        this.entry.targets.recordReport(target, event.value.report);
        return [];
      case 'chunk': {
        const result = acceptChunk(this.assembly, attempt, event.value);
        if (result.isErr()) return this.handleFault(result.error);
        this.assembly = result.value.assembly;
        return result.value.fresh;
      }
      case 'end': {
        this.entry.targets.recordReport(target, event.value.report);
        const result = acceptEnd(this.assembly, attempt, event.value);
        if (result.isErr()) return this.handleFault(result.error);
        this.assembly = result.value;
        this.attempts = addAnswer(this.attempts);
        return undefined;
      }
      case 'refusal':
        this.attempts = addRefusal(this.attempts, refusalFromWire(event.value));
        this.activeTargets.delete(target);
        return undefined;
      case 'heartbeat':
      case undefined:
        return [];
    }
  }

  /**
   * Handles a chunk or end that does not continue the answer. Stale ones are ignored; any
   * other fault ends the attempt.
   */
  private handleFault(fault: StreamFault): readonly string[] | undefined {
    this.entry.context.metrics.count('stream_fault', fault);
    if (fault === STREAM_FAULT.stale) return [];
    if (fault === STREAM_FAULT.gap || fault === STREAM_FAULT.engineChanged) {
      this.attempts = addLoss(this.attempts, 'stream_broken');
      return undefined;
    }
    // With `too_many`, the end event counts fewer tokens than were received, and no further
    // attempt can tell which ones are correct.
    const reason =
      fault === STREAM_FAULT.wrongIdentity ? 'wrong_adapter' : 'bad_message';
    const message = `target sent an invalid answer: ${fault}`;
    const outcome = 'unknown';
    this.attempts = addRefusal(
      this.attempts,
      refusal(reason, message, {outcome}),
    );
    return undefined;
  }

  private buildRequest(target: string, isReattach: boolean): wire.ChatRequest {
    const {plan, request, assembly} = this;
    const report = this.entry.targets.status(target)?.report;
    const envelope = this.entry.targets.envelope(target, {
      requestId: request.requestId,
      caller: request.caller.name,
      budgetMs: this.budgetMs(),
      // Accept any incarnation: a restarted target node can still resume the chat from
      // its engine.
      incarnation: isReattach ? '' : (report?.incarnation ?? ''),
    });
    return create(wire.ChatRequestSchema, {
      envelope,
      service: plan.service.name,
      adapter: plan.adapter,
      version: plan.version,
      messages: plan.task.messages.map(message => ({...message})),
      maxTokens: plan.task.maxTokens,
      priority: request.priority,
      offset: assembly.received,
      prefix: isReattach ? [] : [...assembledTokens(assembly)],
      attach: isReattach,
    });
  }

  /**
   * Returns the remaining time in milliseconds. Once the answer is streaming to the
   * caller, each further attempt gets the full budget.
   */
  private budgetMs(): number {
    if (this.hasStarted()) return this.request.budgetMs;
    return Math.max(0, this.request.deadlineMs - this.nowMs());
  }

  /** Cancels the chat on all targets that may be working on it, except the one named. */
  private cancelOtherTargets(except: string): void {
    for (const name of this.activeTargets) {
      if (name !== except) void cancelChat(this.entry, this.request, name);
    }
    this.activeTargets.clear();
  }
}

/**
 * Runs a chat. The last piece is `end` or `refused`. If the caller disconnects, the
 * sequence may end without either.
 */
export function runChat(
  entry: EntryComponents,
  request: PermittedRequest,
  plan: ChatPlan,
): AsyncGenerator<ChatPiece, void> {
  return new ChatRun(entry, request, plan).run();
}
