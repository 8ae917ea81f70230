/** Chat controller: queues chats, runs them in the engine, keeps their answers and cancels them. */
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
import {CHAT_STATE, Chat, engineFailedRefusal, type ChatSpec} from './chat.js';
import type {DemandSource, EngineController} from './engine.js';
import {runGeneration, type GenerationEnd} from './generations.js';
import {MovingMean} from './mean.js';
import type {PauseWatch} from './pauses.js';
import type {TargetLimits} from './systems.js';

/** Maximum number of times that a chat is requeued because the engine did not start it. */
const MAX_REQUEUES = 5;

/** Interval between attempts to cancel a generation until the engine confirms, in milliseconds. */
const CANCEL_INTERVAL_MS = 500;

/** Dependencies of a {@link ChatController}. */
export interface ChatControllerParts {
  readonly context: NodeContext;
  readonly engine: Engine;
  readonly controller: EngineController;
  readonly pauses: PauseWatch;
  readonly limits: TargetLimits;
  /** Bound on queued requests, from the configuration in force. */
  readonly queueLimit: () => number;
}

/** Owns all chats of this node. */
export class ChatController implements DemandSource {
  /** Chats by request id: open chats, and ended chats that an entry may still read. */
  private readonly chats = new Map<string, Chat>();
  private queue: WorkQueue<Chat> = [];
  /** Chats in the engine, including those with an unconfirmed cancel; each pins its adapter. */
  private readonly inEngine = new Set<Chat>();
  private readonly meanServiceTime = new MovingMean();
  private batchTimer?: NodeJS.Timeout;

  constructor(private readonly parts: ChatControllerParts) {
    const {controller, pauses} = parts;
    controller.setDemandSource(this);
    controller.changed$.subscribe(() => this.dispatch());
    controller.loadFailed$.subscribe(adapterVersion =>
      this.handleFailedLoad(adapterVersion),
    );
    controller.restarted$.subscribe(() => this.handleEngineRestart());
    pauses.paused$.subscribe(() => this.handlePause());
  }

  get queued(): number {
    return this.queue.length;
  }

  get active(): number {
    return this.inEngine.size;
  }

  /** Moving mean of the time that a chat spends in the engine, in milliseconds. */
  get serviceMs(): number {
    return this.meanServiceTime.ms;
  }

  /** Finds a chat by request id. */
  find(id: string): Chat | undefined {
    return this.chats.get(id);
  }

  /** Queues a new chat; refuses it if the queue is full or the engine does not answer. */
  begin(spec: ChatSpec): Result<Chat, Refusal> {
    if (this.parts.controller.isUnreachable) return Err(unreachableRefusal());
    const chat = new Chat(spec);
    const queue = enqueue(this.queue, chat, this.parts.queueLimit());
    if (queue.isErr()) return Err(queue.error);
    this.queue = queue.value;
    this.chats.set(chat.id, chat);
    this.parts.controller.recordRequest(chat);
    if (this.isInEngine(chat.id)) this.assignNewGenerationId(chat);
    this.dispatch();
    this.parts.controller.startLoads();
    return Ok(chat);
  }

  /** Resumes reading a generation that an earlier process of this node started. */
  adopt(spec: ChatSpec): Chat {
    const chat = new Chat(spec);
    this.chats.set(chat.id, chat);
    this.run(chat, {resume: true});
    return chat;
  }

  /** Cancels an open chat; `message` goes into the refusal that a reader receives. */
  cancel(chat: Chat, message: string): void {
    if (!chat.isOpen) return;
    const isGenerating = chat.state === CHAT_STATE.generating;
    const outcome = isGenerating ? OUTCOME.unknown : OUTCOME.notRun;
    this.refuse(chat, refusal('cancelled', message, {outcome}));
  }

  demands(): readonly AdapterDemand[] {
    const demands = new Map<string, AdapterDemand>();
    const add = (chat: Chat, queued: number, active: number) => {
      const key = adapterKey(chat);
      const sinceMs = chat.spec.arrivedAtMs;
      const {adapter, version} = chat;
      const previous = demands.get(key);
      demands.set(key, {
        adapter,
        version,
        queued: (previous?.queued ?? 0) + queued,
        active: (previous?.active ?? 0) + active,
        sinceMs: Math.min(previous?.sinceMs ?? sinceMs, sinceMs),
      });
    };
    this.queue.forEach(chat => add(chat, 1, 0));
    this.inEngine.forEach(chat => add(chat, 0, 1));
    return [...demands.values()];
  }

  generating(): ReadonlySet<string> {
    return new Set([...this.inEngine].map(chat => chat.generationId));
  }

  /** Number of chats that are queued or generating. */
  inProgress(): number {
    return [...this.chats.values()].filter(chat => chat.isOpen).length;
  }

  /** Number of ended chats whose unread answer still delays a planned stop. */
  unread(nowMs: number): number {
    const {unreadTimeoutMs} = this.parts.limits;
    return [...this.chats.values()].filter(
      chat =>
        chat.state === CHAT_STATE.ended &&
        chat.readAtMs === 0 &&
        nowMs - chat.endedAtMs <= unreadTimeoutMs,
    ).length;
  }

  /**
   * Called periodically: refuses expired chats, cancels or deletes chats that have
   * had no reader for too long, and starts queued ones.
   */
  tick(): void {
    const nowMs = this.nowMs();
    const {kept, expired} = splitExpired(this.queue, nowMs);
    this.queue = kept;
    const deadlineRefusal = refusal(
      'deadline_exceeded',
      'deadline passed while the request was queued',
    );
    expired.forEach(chat => this.refuse(chat, deadlineRefusal));
    if (this.parts.controller.isUnreachable) {
      this.queue.forEach(chat => this.refuse(chat, unreachableRefusal()));
    }
    for (const chat of this.chats.values()) this.sweep(chat, nowMs);
    this.dispatch();
  }

  /** Starts the queued chats that the engine can run now. */
  private dispatch(): void {
    const {controller, pauses} = this.parts;
    const delayMs = this.remainingBatchWaitMs();
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
        candidate =>
          controller.isLoaded(candidate) && nowMs <= candidate.deadlineMs,
      );
      if (chat === undefined) return;
      this.queue = this.queue.filter(other => other !== chat);
      this.run(chat, {resume: false});
    }
  }

  /** Time that an idle engine still waits for a fuller batch, in milliseconds. */
  private remainingBatchWaitMs(): number {
    const {controller, context} = this.parts;
    const readyChats = this.queue.filter(chat => controller.isLoaded(chat));
    const arrivals = readyChats.map(chat => chat.spec.arrivedAtMs);
    const readyWork = {
      requests: readyChats.length,
      active: this.inEngine.size,
      sinceMs: Math.min(...arrivals),
    };
    if (readyChats.length === 0) return 0;
    const {batchSize} = controller;
    const {batchWaitMs = 0} = context.configuration.current()?.tolerances ?? {};
    return batchDelayMs(readyWork, this.nowMs(), {batchSize, batchWaitMs});
  }

  private run(chat: Chat, options: {readonly resume: boolean}): void {
    const {engine, controller, context} = this.parts;
    chat.state = CHAT_STATE.generating;
    chat.startedAtMs = this.nowMs();
    this.inEngine.add(chat);
    const engineIncarnation = () => controller.incarnation;
    const {random} = context;
    const refreshEngine = () => controller.refreshState();
    const parts = {engine, engineIncarnation, random, refreshEngine};
    void runGeneration(chat, parts, options).then(end =>
      this.handleGenerationEnd(chat, end, options),
    );
  }

  private handleGenerationEnd(
    chat: Chat,
    end: GenerationEnd,
    {resume}: {readonly resume: boolean},
  ): void {
    switch (end.kind) {
      case 'ended':
        this.inEngine.delete(chat);
        this.recordServiceTime(this.nowMs() - chat.startedAtMs);
        if (chat.isOpen) chat.finish(CHAT_STATE.ended, this.nowMs());
        break;
      case 'not_started':
        this.inEngine.delete(chat);
        if (chat.isOpen && resume) this.refuse(chat, chatNotFoundRefusal());
        else if (chat.isOpen) this.requeue(chat, end.message);
        break;
      case 'refused':
        // The failure may mean that the engine has restarted.
        if (chat.isOpen) this.parts.controller.refreshState();
        if (chat.isOpen) this.refuse(chat, end.refusal);
        if (end.mayRun) void this.cancelInEngine(chat);
        else this.inEngine.delete(chat);
    }
    this.dispatch();
    this.parts.controller.startLoads();
  }

  /**
   * Requeues a chat that the engine did not start. The engine's state is read
   * before the next attempt.
   */
  private requeue(chat: Chat, message: string): void {
    if (chat.requeues++ >= MAX_REQUEUES) {
      const failure = engineFailedRefusal(message);
      return this.refuse(chat, {...failure, outcome: OUTCOME.notRun});
    }
    this.assignNewGenerationId(chat);
    chat.abortController = new AbortController();
    chat.state = CHAT_STATE.queued;
    this.queue = [chat, ...this.queue];
    this.parts.controller.refreshState();
  }

  /**
   * Gives a chat that starts again a new generation id. Otherwise a late start of
   * the earlier generation could be mistaken for the new one.
   */
  private assignNewGenerationId(chat: Chat): void {
    const suffix = this.parts.context.randomId().slice(0, 8);
    chat.generationId = `${chat.id}-${suffix}`;
  }

  private isInEngine(id: string): boolean {
    return [...this.inEngine].some(chat => chat.id === id);
  }

  /**
   * Repeats the cancel until the engine confirms it or restarts. The adapter stays
   * pinned until then.
   */
  private async cancelInEngine(chat: Chat): Promise<void> {
    const {engine, controller} = this.parts;
    const incarnation = controller.incarnation;
    const neverAborted = new AbortController().signal;
    while (incarnation === controller.incarnation) {
      const answer = await engine.cancel(chat.generationId);
      if (answer.isOk() || answer.error.kind === 'not_found') break;
      await chat.changed.wait(CANCEL_INTERVAL_MS, neverAborted);
    }
    this.inEngine.delete(chat);
    this.dispatch();
    controller.startLoads();
  }

  /** Ends a chat with a refusal. A new chat may then use the same request id. */
  private refuse(chat: Chat, cause: Refusal): void {
    if (!chat.isOpen) return;
    this.queue = this.queue.filter(other => other !== chat);
    if (this.chats.get(chat.id) === chat) this.chats.delete(chat.id);
    chat.refuse(cause, this.nowMs());
    chat.abortController.abort();
  }

  private handleFailedLoad(adapterVersion: AdapterVersion): void {
    const key = adapterKey(adapterVersion);
    const failure = refusal(
      'load_failed',
      `adapter ${key} could not be loaded`,
      {
        retryAfterMs: 1_000,
      },
    );
    this.queue
      .filter(chat => adapterKey(chat) === key)
      .forEach(chat => this.refuse(chat, failure));
  }

  /**
   * Refuses the chats of the old engine incarnation, whose streams are gone.
   * Queued chats stay, and their adapters are loaded again.
   */
  private handleEngineRestart(): void {
    const {controller} = this.parts;
    for (const chat of [...this.inEngine]) {
      const {engineIncarnation} = chat;
      if (engineIncarnation === controller.incarnation) continue;
      // The chat may have started after the restart. Its stream tells whether the
      // engine has it.
      if (chat.isOpen && engineIncarnation === '') continue;
      this.inEngine.delete(chat);
      this.refuse(
        chat,
        engineFailedRefusal('engine restarted during the generation'),
      );
    }
  }

  private handlePause(): void {
    const pauseRefusal = refusal('paused', 'node was paused', {
      retryAfterMs: 100,
    });
    this.queue.forEach(chat => this.refuse(chat, pauseRefusal));
  }

  /** Cancels an open chat and deletes a closed one when it has had no reader for too long. */
  private sweep(chat: Chat, nowMs: number): void {
    const {detachedTimeoutMs, keepChatMs} = this.parts.limits;
    const isDetached = chat.reader === undefined;
    if (chat.isOpen) {
      if (isDetached && nowMs - chat.detachedAtMs > detachedTimeoutMs) {
        this.cancel(chat, 'no entry is reading this chat');
      }
      return;
    }
    const usedAtMs = Math.max(chat.endedAtMs, chat.readAtMs, chat.detachedAtMs);
    if (isDetached && nowMs - usedAtMs > keepChatMs) this.chats.delete(chat.id);
  }

  private recordServiceTime(ms: number): void {
    this.parts.context.metrics.timing('chat_in_engine', ms);
    this.meanServiceTime.add(ms);
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }
}

/** Refusal of a chat that did not start; another target may serve it. */
function unreachableRefusal(): Refusal {
  return refusal('engine_failed', 'the engine does not answer', {
    retryAfterMs: 1_000,
  });
}

/** Refusal of an attachment to a chat that neither this node nor its engine has. */
export function chatNotFoundRefusal(): Refusal {
  return refusal('not_found', 'chat is not known to this target', {
    outcome: OUTCOME.unknown,
  });
}
