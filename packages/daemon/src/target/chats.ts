/** Controller of chats: queue, start in the engine, attachments, retention and cancels. */
import {
  OUTCOME,
  adapterKey,
  batchDelayMs,
  enqueue,
  nextWork,
  refusal,
  splitExpired,
  type AdapterDemand,
  type AdapterVersion,
  type Refusal,
  type WorkQueue,
} from '@balsamnotch/core';
import type {Engine} from '@balsamnotch/systems';
import {Err, Ok, type Result} from 'ts-results-es';
import type {NodeContext} from '../node/context.js';
import {CHAT_STATE, Chat, engineFailed, type ChatStart} from './chat.js';
import type {DemandSource, EngineController} from './engine.js';
import {runGeneration, type GenerationEnd} from './generations.js';
import {MovingMean} from './mean.js';
import type {PauseWatch} from './pauses.js';
import type {TargetLimits} from './systems.js';

/** Times that a chat returns to the queue after the engine did not start it. */
const REQUEUES = 5;

/** Interval of repeating a cancel that the engine has not confirmed, in milliseconds. */
const CANCEL_INTERVAL_MS = 500;

/** Parts of a chat controller. */
export interface ChatParts {
  readonly context: NodeContext;
  readonly engine: Engine;
  readonly controller: EngineController;
  readonly pauses: PauseWatch;
  readonly limits: TargetLimits;
  /** Requests that may wait, from the configuration in force. */
  readonly queueLimit: () => number;
}

/** Owner of all chats of this node. */
export class ChatController implements DemandSource {
  /** Chats by request id: open ones, and ended ones that may be read again. */
  private readonly chats = new Map<string, Chat>();
  private queue: WorkQueue<Chat> = [];
  /** Chats in the engine, also those whose cancel is not confirmed; they pin their adapter. */
  private readonly inEngine = new Set<Chat>();
  private readonly mean = new MovingMean();
  private batchTimer?: NodeJS.Timeout;

  constructor(private readonly parts: ChatParts) {
    const {controller, pauses} = parts;
    controller.serve(this);
    controller.changed$.subscribe(() => this.dispatch());
    controller.loadFailed$.subscribe(load => this.refuseLoad(load));
    controller.restarted$.subscribe(() => this.engineRestarted());
    pauses.paused$.subscribe(() => this.paused());
  }

  get queued(): number {
    return this.queue.length;
  }

  get active(): number {
    return this.inEngine.size;
  }

  /** Mean time of a chat in the engine, in milliseconds. */
  get serviceMs(): number {
    return this.mean.ms;
  }

  find(id: string): Chat | undefined {
    return this.chats.get(id);
  }

  /** Queues a new chat. */
  begin(start: ChatStart): Result<Chat, Refusal> {
    if (this.parts.controller.isUnreachable) return Err(engineUnreachable());
    const chat = new Chat(start);
    const queue = enqueue(this.queue, chat, this.parts.queueLimit());
    if (queue.isErr()) return Err(queue.error);
    this.queue = queue.value;
    this.chats.set(chat.id, chat);
    this.parts.controller.requested(chat);
    if (this.isInEngine(chat.id)) this.renameGeneration(chat);
    this.dispatch();
    this.parts.controller.step();
    return Ok(chat);
  }

  /** Takes over a generation that an earlier process of this node started. */
  adopt(start: ChatStart): Chat {
    const chat = new Chat(start);
    this.chats.set(chat.id, chat);
    this.run(chat, {resume: true});
    return chat;
  }

  /** Stops a chat that nobody reads any more. */
  cancel(chat: Chat, reason: string): void {
    if (!chat.isOpen) return;
    const ran = chat.state === CHAT_STATE.generating;
    const outcome = ran ? OUTCOME.unknown : OUTCOME.notRun;
    this.refuse(chat, refusal('cancelled', reason, {outcome}));
  }

  demands(): readonly AdapterDemand[] {
    const demands = new Map<string, AdapterDemand>();
    const add = (chat: Chat, queued: number, active: number) => {
      const key = adapterKey(chat);
      const sinceMs = chat.start.arrivedMs;
      const {adapter, version} = chat;
      const known = demands.get(key);
      demands.set(key, {
        adapter,
        version,
        queued: (known?.queued ?? 0) + queued,
        active: (known?.active ?? 0) + active,
        sinceMs: Math.min(known?.sinceMs ?? sinceMs, sinceMs),
      });
    };
    this.queue.forEach(chat => add(chat, 1, 0));
    this.inEngine.forEach(chat => add(chat, 0, 1));
    return [...demands.values()];
  }

  generating(): ReadonlySet<string> {
    return new Set([...this.inEngine].map(chat => chat.generationId));
  }

  /** Chats that are not finished. */
  inProgress(): number {
    return [...this.chats.values()].filter(chat => chat.isOpen).length;
  }

  /** Ended chats that were not read to the end and may still be. */
  unread(nowMs: number): number {
    const {drainUnreadMs} = this.parts.limits;
    return [...this.chats.values()].filter(
      chat =>
        chat.state === CHAT_STATE.ended &&
        chat.readMs === 0 &&
        nowMs - chat.endedMs <= drainUnreadMs,
    ).length;
  }

  /** Called by the timer. */
  tick(): void {
    const nowMs = this.nowMs();
    const {kept, expired} = splitExpired(this.queue, nowMs);
    this.queue = kept;
    const late = refusal('deadline_exceeded', 'deadline passed in the queue');
    expired.forEach(chat => this.refuse(chat, late));
    if (this.parts.controller.isUnreachable) {
      this.queue.forEach(chat => this.refuse(chat, engineUnreachable()));
    }
    for (const chat of this.chats.values()) this.sweep(chat, nowMs);
    this.dispatch();
  }

  /** Starts the queued chats that the engine can run now. */
  private dispatch(): void {
    const {controller, pauses} = this.parts;
    const delayMs = this.batchDelay();
    if (delayMs > 0) {
      this.batchTimer ??= setTimeout(() => {
        this.batchTimer = undefined;
        this.dispatch();
      }, delayMs).unref();
      return;
    }
    while (this.inEngine.size < controller.batchSize) {
      if (pauses.isPaused() || !controller.isFresh) return;
      const nowMs = this.nowMs();
      const chat = nextWork(
        this.queue,
        each => controller.isLoaded(each) && nowMs <= each.deadlineMs,
      );
      if (chat === undefined) return;
      this.queue = this.queue.filter(each => each !== chat);
      this.run(chat, {resume: false});
    }
  }

  /** Time for which an idle engine waits for a fuller batch, in milliseconds. */
  private batchDelay(): number {
    const {controller, context} = this.parts;
    const ready = this.queue.filter(chat => controller.isLoaded(chat));
    const arrivals = ready.map(chat => chat.start.arrivedMs);
    const work = {
      requests: ready.length,
      active: this.inEngine.size,
      sinceMs: Math.min(...arrivals),
    };
    if (ready.length === 0) return 0;
    const {batchSize} = controller;
    const {batchWaitMs = 0} = context.configuration.current()?.tolerances ?? {};
    return batchDelayMs(work, this.nowMs(), {batchSize, batchWaitMs});
  }

  private run(chat: Chat, options: {readonly resume: boolean}): void {
    const {engine, controller, context} = this.parts;
    chat.state = CHAT_STATE.generating;
    chat.startedMs = this.nowMs();
    this.inEngine.add(chat);
    const incarnation = () => controller.incarnation;
    const {random} = context;
    const readAgain = () => controller.readAgain();
    const parts = {engine, incarnation, random, readAgain};
    void runGeneration(chat, parts, options).then(end =>
      this.generationEnded(chat, end, options),
    );
  }

  private generationEnded(
    chat: Chat,
    end: GenerationEnd,
    {resume}: {readonly resume: boolean},
  ): void {
    switch (end.kind) {
      case 'ended':
        this.inEngine.delete(chat);
        this.measure(this.nowMs() - chat.startedMs);
        if (chat.isOpen) chat.finish(CHAT_STATE.ended, this.nowMs());
        break;
      case 'not_started':
        this.inEngine.delete(chat);
        if (chat.isOpen && resume) this.refuse(chat, notHeld());
        else if (chat.isOpen) this.requeue(chat, end.message);
        break;
      case 'refused':
        // An engine that failed may have restarted.
        if (chat.isOpen) this.parts.controller.readAgain();
        if (chat.isOpen) this.refuse(chat, end.refusal);
        if (end.mayRun) void this.cancelInEngine(chat);
        else this.inEngine.delete(chat);
    }
    this.dispatch();
    this.parts.controller.step();
  }

  /** The engine did not start the chat: its state is read again before the next try. */
  private requeue(chat: Chat, message: string): void {
    if (chat.requeues++ >= REQUEUES) {
      const failed = engineFailed(message);
      return this.refuse(chat, {...failed, outcome: OUTCOME.notRun});
    }
    this.renameGeneration(chat);
    chat.stop = new AbortController();
    chat.state = CHAT_STATE.queued;
    this.queue = [chat, ...this.queue];
    this.parts.controller.readAgain();
  }

  /** A generation id is sent once, so that a late start of the old one is not taken for the new one. */
  private renameGeneration(chat: Chat): void {
    const suffix = this.parts.context.randomId().slice(0, 8);
    chat.generationId = `${chat.id}-${suffix}`;
  }

  private isInEngine(id: string): boolean {
    return [...this.inEngine].some(chat => chat.id === id);
  }

  /** Cancels in the engine until it confirms; until then the adapter stays pinned. */
  private async cancelInEngine(chat: Chat): Promise<void> {
    const {engine, controller} = this.parts;
    const incarnation = controller.incarnation;
    const never = new AbortController().signal;
    while (incarnation === controller.incarnation) {
      const answer = await engine.cancel(chat.generationId);
      if (answer.isOk() || answer.error.kind === 'not_found') break;
      await chat.changed.wait(CANCEL_INTERVAL_MS, never);
    }
    this.inEngine.delete(chat);
    this.dispatch();
    controller.step();
  }

  /** Ends a chat with a refusal. The same request id may start again. */
  private refuse(chat: Chat, refused: Refusal): void {
    if (!chat.isOpen) return;
    this.queue = this.queue.filter(each => each !== chat);
    if (this.chats.get(chat.id) === chat) this.chats.delete(chat.id);
    chat.refuse(refused, this.nowMs());
    chat.stop.abort();
  }

  private refuseLoad(load: AdapterVersion): void {
    const key = adapterKey(load);
    const failed = refusal('load_failed', `${key} could not be loaded`, {
      retryAfterMs: 1_000,
    });
    this.queue
      .filter(chat => adapterKey(chat) === key)
      .forEach(chat => this.refuse(chat, failed));
  }

  /** Streams of the old incarnation are gone; queued chats stay and load again. */
  private engineRestarted(): void {
    const {controller} = this.parts;
    for (const chat of [...this.inEngine]) {
      const {engineIncarnation} = chat;
      if (engineIncarnation === controller.incarnation) continue;
      // Its stream tells whether the engine has it: it may have started after the restart.
      if (chat.isOpen && engineIncarnation === '') continue;
      this.inEngine.delete(chat);
      this.refuse(chat, engineFailed('engine restarted'));
    }
  }

  private paused(): void {
    const refused = refusal('paused', 'node was paused', {retryAfterMs: 100});
    this.queue.forEach(chat => this.refuse(chat, refused));
  }

  private sweep(chat: Chat, nowMs: number): void {
    const {detachedMs, keepChatMs} = this.parts.limits;
    const detached = chat.reader === undefined;
    if (chat.isOpen) {
      if (detached && nowMs - chat.detachedMs > detachedMs) {
        this.cancel(chat, 'no entry reads this chat');
      }
      return;
    }
    const sinceMs = Math.max(chat.endedMs, chat.readMs, chat.detachedMs);
    if (detached && nowMs - sinceMs > keepChatMs) this.chats.delete(chat.id);
  }

  private measure(ms: number): void {
    this.parts.context.metrics.timing('chat_in_engine', ms);
    this.mean.add(ms);
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }
}

/** The chat did not start, so another target may serve it. */
function engineUnreachable(): Refusal {
  return refusal('engine_failed', 'the engine does not answer', {
    retryAfterMs: 1_000,
  });
}

/** Neither this node nor its engine has the chat. */
export function notHeld(): Refusal {
  return refusal('not_found', 'this target does not hold the chat', {
    outcome: OUTCOME.unknown,
  });
}
