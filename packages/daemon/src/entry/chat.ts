/** Runs one chat over as many attempts as it needs and gives its answer in pieces. */
import {create} from '@bufbuild/protobuf';
import {
  PHASE,
  STREAM_FAULT,
  WORK,
  acceptChunk,
  acceptEnd,
  answered,
  beginAttempts,
  connectFailed,
  emptyAssembly,
  lastRetryReason,
  lost,
  nextStep,
  progressed,
  refusal,
  refused,
  sent,
  startAttempt,
  tokensOf,
  usesRetryBudget,
  type Assembly,
  type Attempts,
  type Situation,
  type Step,
  type StreamFault,
} from '@balsamnotch/core';
import * as wire from '@balsamnotch/wire';
import {refusalFromWire} from '../node/convert.js';
import {cancelChat} from './cancel.js';
import {candidatesOf, waitBefore} from './candidates.js';
import {phaseAt, sleep, stopAfter, type Parts, type Stop} from './parts.js';
import type {Session} from './peer.js';
import type {ChatPiece, ChatPlan, Permitted} from './request.js';
import {StreamError, supervised} from './supervise.js';

/** A chat in progress. */
class ChatRun {
  private attempts: Attempts = beginAttempts(WORK.chat);
  private assembly: Assembly;
  private readonly stop: Stop;
  /** Targets that may hold the chat; they are told when it is abandoned. */
  private readonly holders = new Set<string>();
  /** The target that the last attempt went to. */
  private producer = '';

  constructor(
    private readonly parts: Parts,
    private readonly request: Permitted,
    private readonly plan: ChatPlan,
  ) {
    const {requestId, deadlineMs, gone} = request;
    const {adapter, version} = plan;
    this.assembly = emptyAssembly({requestId, adapter, version});
    this.stop = stopAfter(deadlineMs - this.nowMs(), gone);
  }

  async *run(): AsyncGenerator<ChatPiece, void> {
    try {
      for (;;) {
        await this.parts.checkPause();
        const step = this.nextStep();
        if (step.kind !== 'send' && step.kind !== 'reattach') {
          yield this.lastPiece(step);
          return;
        }
        yield* this.attempt(step.target, step.kind === 'reattach');
        if (this.request.gone.aborted) return;
      }
    } finally {
      this.stop.end();
      this.cancelElsewhere(this.attempts.answered ? this.producer : '');
    }
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }

  private hasStarted(): boolean {
    return this.assembly.received > 0 && this.plan.task.stream;
  }

  private nextStep(): Step {
    const step = nextStep(this.attempts, this.situation());
    const reason = lastRetryReason(this.attempts);
    const another = step.kind === 'send' || step.kind === 'reattach';
    if (this.attempts.count > 0 && another && reason !== undefined) {
      const startsWork = step.kind === 'send' && usesRetryBudget(this.attempts);
      this.parts.limits.retried(reason, startsWork);
    }
    return step;
  }

  private situation(): Situation {
    const {configuration, deadlineMs} = this.request;
    return {
      // An answer that the caller reads already is not cut off by the deadline.
      phase: this.hasStarted()
        ? PHASE.open
        : phaseAt(this.nowMs(), deadlineMs, 0),
      candidates: candidatesOf(
        this.parts,
        this.plan,
        configuration,
        this.attempts.count > 0,
      ),
      mayRetry: this.parts.limits.mayRetry(),
    };
  }

  private lastPiece(step: Step): ChatPiece {
    if (step.kind === 'refuse') {
      return {kind: 'refused', refusal: step.refusal};
    }
    return {
      kind: 'end',
      total: this.assembly.received,
      finishReason: this.assembly.finishReason ?? 'stop',
    };
  }

  /** One send or reattach, until its answer is complete or it failed. */
  private async *attempt(
    target: string,
    attach: boolean,
  ): AsyncGenerator<ChatPiece, void> {
    const {targets, context} = this.parts;
    await sleep(waitBefore(this.attempts, target, context.random()));
    const ended = targets.sending(target);
    const startedMs = this.nowMs();
    const session = await targets.connect(target, this.budgetMs());
    if (session === undefined) {
      ended();
      this.attempts = connectFailed(this.attempts, target);
      return;
    }
    if (!attach) this.cancelElsewhere(target);
    this.assembly = startAttempt(this.assembly);
    this.attempts = sent(this.attempts, target, attach);
    this.holders.add(target);
    this.producer = target;
    if (!attach) {
      const counts = this.parts.popularity(this.plan.service.name);
      counts.sent(target, this.nowMs());
    }
    try {
      yield* this.read(target, session, attach);
      this.attempts = lost(this.attempts, 'stream_broken');
    } catch (error) {
      this.failed(target, session, startedMs, error);
    } finally {
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
    if (error.end === 'stopped') {
      this.attempts = lost(this.attempts, 'silent');
      return;
    }
    this.parts.targets.failed(target, startedMs);
    if (error.end === 'silent') session.abandon();
    const reason = error.end === 'silent' ? 'silent' : 'stream_broken';
    this.attempts = lost(this.attempts, reason);
  }

  private async *read(
    target: string,
    session: Session,
    attach: boolean,
  ): AsyncGenerator<ChatPiece, void> {
    const attempt = this.assembly.attempt;
    const message = this.message(target, attach);
    const events = supervised(
      signal => session.client.chat(message, {signal}),
      this.stop.signal,
    );
    for await (const event of events) {
      void this.parts.checkPause();
      this.parts.targets.countUnknown(event);
      this.parts.targets.observe(target, event.report);
      const fresh = this.accept(target, attempt, event);
      if (fresh === undefined) return;
      if (fresh.length === 0) continue;
      this.attempts = progressed(this.attempts);
      if (this.hasStarted()) this.stop.withoutLimit();
      yield {kind: 'tokens', tokens: fresh};
    }
  }

  /** Takes one event; returns new tokens, or undefined when the attempt has ended. */
  private accept(
    target: string,
    attempt: number,
    {event}: wire.ChatEvent,
  ): readonly string[] | undefined {
    switch (event.case) {
      case 'accepted':
        this.parts.targets.observe(target, event.value.report);
        return [];
      case 'chunk': {
        const result = acceptChunk(this.assembly, attempt, event.value);
        if (result.isErr()) return this.fault(result.error);
        this.assembly = result.value.assembly;
        return result.value.fresh;
      }
      case 'end': {
        this.parts.targets.observe(target, event.value.report);
        const result = acceptEnd(this.assembly, attempt, event.value);
        if (result.isErr()) return this.fault(result.error);
        this.assembly = result.value;
        this.attempts = answered(this.attempts);
        return undefined;
      }
      case 'refusal':
        this.attempts = refused(this.attempts, refusalFromWire(event.value));
        this.holders.delete(target);
        return undefined;
      case 'heartbeat':
      case undefined:
        return [];
    }
  }

  /** A chunk or end that does not belong here ends the attempt. */
  private fault(fault: StreamFault): readonly string[] | undefined {
    this.parts.context.metrics.count('stream_fault', fault);
    if (fault === STREAM_FAULT.stale) return [];
    if (fault === STREAM_FAULT.gap || fault === STREAM_FAULT.engineChanged) {
      this.attempts = lost(this.attempts, 'stream_broken');
      return undefined;
    }
    // More tokens than the end counts: no attempt can tell which ones are right.
    const reason =
      fault === STREAM_FAULT.wrongIdentity ? 'wrong_adapter' : 'bad_message';
    const message = `target sent an answer that does not fit: ${fault}`;
    const outcome = 'unknown';
    this.attempts = refused(this.attempts, refusal(reason, message, {outcome}));
    return undefined;
  }

  private message(target: string, attach: boolean): wire.ChatRequest {
    const {plan, request, assembly} = this;
    const report = this.parts.targets.status(target)?.report;
    const envelope = this.parts.targets.envelope(target, {
      requestId: request.requestId,
      caller: request.caller.name,
      budgetMs: this.budgetMs(),
      // A restarted node may still resume the chat from its engine.
      incarnation: attach ? '' : (report?.incarnation ?? ''),
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
      prefix: attach ? [] : [...tokensOf(assembly)],
      attach,
    });
  }

  /** Time left; an answer that has started gets the whole time for each further attempt. */
  private budgetMs(): number {
    if (this.hasStarted()) return this.request.budgetMs;
    return Math.max(0, this.request.deadlineMs - this.nowMs());
  }

  /** Frees the engines of all targets that may hold the chat, except one. */
  private cancelElsewhere(kept: string): void {
    for (const name of this.holders) {
      if (name !== kept) void cancelChat(this.parts, this.request, name);
    }
    this.holders.clear();
  }
}

/** Runs a chat. The pieces end with `end` or `refused`; without either when the caller went away. */
export function runChat(
  parts: Parts,
  request: Permitted,
  plan: ChatPlan,
): AsyncGenerator<ChatPiece, void> {
  return new ChatRun(parts, request, plan).run();
}
