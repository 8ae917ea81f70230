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
  routeCandidates,
  sent,
  startAttempt,
  tokensOf,
  type Assembly,
  type Attempts,
  type Situation,
  type Step,
  type StreamFault,
} from '@balsamnotch/core';
import * as wire from '@balsamnotch/wire';
import {refusalFromWire} from '../node/convert.js';
import {phaseAt, stopAfter, type Parts, type Stop} from './parts.js';
import type {Session} from './peer.js';
import type {ChatPiece, ChatPlan, Permitted} from './request.js';
import {StreamError, supervised} from './supervise.js';

/** Time for a target to take the cancellation of a chat, in milliseconds. */
const CANCEL_MS = 800;

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
      this.parts.limits.retried(reason, step.kind === 'send');
    }
    return step;
  }

  private situation(): Situation {
    const nowMs = this.nowMs();
    const {tolerances, weightStore} = this.request.configuration;
    const views = this.parts.targets.views(this.plan.service.name);
    const options = {tolerances, loadMs: weightStore.loadMs};
    const candidates = routeCandidates(this.plan, views, nowMs, options);
    return {
      // An answer that the caller reads already is not cut off by the deadline.
      phase: this.hasStarted()
        ? PHASE.open
        : phaseAt(nowMs, this.request.deadlineMs, 0),
      candidates: candidates.map(({target}) => target),
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
    const {targets} = this.parts;
    const session = await targets.connect(target);
    if (session === undefined) {
      targets.failed(target);
      this.attempts = connectFailed(this.attempts, target);
      return;
    }
    if (!attach) this.cancelElsewhere(target);
    this.assembly = startAttempt(this.assembly);
    this.attempts = sent(this.attempts, target, attach);
    this.holders.add(target);
    this.producer = target;
    const ended = targets.sending(target);
    try {
      yield* this.read(target, session, attach);
      this.attempts = lost(this.attempts, 'stream_broken');
    } catch (error) {
      this.failed(target, session, error);
    } finally {
      ended();
      session.release();
    }
  }

  private failed(target: string, session: Session, error: unknown): void {
    if (!(error instanceof StreamError)) throw error;
    if (error.end === 'stopped') {
      this.attempts = lost(this.attempts, 'silent');
      return;
    }
    this.parts.targets.failed(target);
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
    const report = this.parts.targets.standing(target)?.report;
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
      if (name !== kept) void this.cancelAt(name);
    }
    this.holders.clear();
  }

  /** Tells a target that nobody reads the chat any more; a loss of the message costs only its time. */
  private async cancelAt(name: string): Promise<void> {
    const {targets, context} = this.parts;
    const session = await targets.connect(name);
    if (session === undefined) return;
    const envelope = targets.envelope(name, {
      requestId: this.request.requestId,
      caller: this.request.caller.name,
      budgetMs: CANCEL_MS,
      incarnation: '',
    });
    try {
      await session.client.cancel({envelope}, {timeoutMs: CANCEL_MS});
    } catch (error) {
      context.log.debug('cancel_failed', {target: name, error: `${error}`});
    } finally {
      session.release();
    }
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
