/** One chat at a target node: its tokens, its state and the one entry connection that reads it. */
import {
  OUTCOME,
  refusal,
  type WorkPriority,
  type QueuedWork,
  type Refusal,
} from '@balsamnotch/core';
import type {Generation, GenerationEvent} from '@balsamnotch/systems';
import {Wakeup} from './wakeup.js';

/** States of a chat. */
export const CHAT_STATE = {
  /** Waits for its adapter or for room in the batch. */
  queued: 'queued',
  /** Sent to the engine. */
  generating: 'generating',
  /** Complete; the tokens are kept for reading. */
  ended: 'ended',
  refused: 'refused',
} as const;

/** One of the values of {@link CHAT_STATE}. */
export type ChatState = (typeof CHAT_STATE)[keyof typeof CHAT_STATE];

/** What a chat is started with. */
export interface ChatStart extends QueuedWork {
  readonly id: string;
  readonly caller: string;
  readonly adapter: string;
  readonly version: string;
  readonly priority: WorkPriority & Generation['priority'];
  readonly messages: Generation['messages'];
  readonly maxTokens: number;
  readonly prefix: readonly string[];
  /** Offset of the first token that this chat gets from the engine. */
  readonly base: number;
  /** Monotonic arrival time in milliseconds. */
  readonly arrivedMs: number;
}

/** What to do after an event of a generation. */
export type Verdict =
  | 'go_on'
  | 'ended'
  | 'gap'
  /** The engine restarted, and this node has not read its state since. */
  | 'new_incarnation'
  | 'wrong_adapter';

/** A chat. Its owner is the chat controller. */
export class Chat implements QueuedWork {
  readonly changed = new Wakeup();
  /** Aborted when the engine's stream is to be left; one for each start. */
  stop = new AbortController();
  readonly priority: ChatStart['priority'];
  readonly deadlineMs: number;
  readonly tokens: string[] = [];
  state: ChatState = CHAT_STATE.queued;
  /** Id of the generation in the engine. */
  generationId: string;
  /** Engine incarnation that produces the tokens; empty until it is checked. */
  engineIncarnation = '';
  finishReason = '';
  refused?: Refusal;
  /** Attachment that reads the chat; an older one ends. */
  reader?: symbol;
  detachedMs: number;
  startedMs = 0;
  endedMs = 0;
  /** Time at which a reader had everything; 0 before. */
  readMs = 0;
  /** Returns to the queue without a token. */
  requeues = 0;

  constructor(readonly start: ChatStart) {
    this.priority = start.priority;
    this.deadlineMs = start.deadlineMs;
    this.generationId = start.id;
    this.detachedMs = start.arrivedMs;
  }

  get id(): string {
    return this.start.id;
  }

  get adapter(): string {
    return this.start.adapter;
  }

  get version(): string {
    return this.start.version;
  }

  /** Offset of the next token. */
  get length(): number {
    return this.start.base + this.tokens.length;
  }

  get isOpen(): boolean {
    return (
      this.state === CHAT_STATE.queued || this.state === CHAT_STATE.generating
    );
  }

  /** Generation of this chat as the engine gets it. */
  generation(): Generation {
    const {adapter, version, messages, maxTokens, prefix, priority} =
      this.start;
    const id = this.generationId;
    return {id, adapter, version, messages, maxTokens, prefix, priority};
  }

  /** Takes an event of the engine; `incarnation` is the engine's as this node knows it. */
  take(event: GenerationEvent, incarnation: string): Verdict {
    switch (event.kind) {
      case 'started':
        return this.takeIdentity(event, incarnation);
      case 'token':
        return this.takeToken(event.offset, event.token);
      case 'end':
        if (this.engineIncarnation === '') return 'wrong_adapter';
        if (event.total !== this.length) return 'gap';
        this.finishReason = event.finishReason;
        return 'ended';
    }
  }

  refuse(refused: Refusal, nowMs: number): void {
    this.refused = refused;
    this.finish(CHAT_STATE.refused, nowMs);
  }

  finish(state: ChatState, nowMs: number): void {
    this.state = state;
    this.endedMs = nowMs;
    this.changed.notify();
  }

  private takeIdentity(
    event: Extract<GenerationEvent, {kind: 'started'}>,
    incarnation: string,
  ): Verdict {
    const matches =
      event.id === this.generationId &&
      event.adapter === this.adapter &&
      event.version === this.version &&
      ['', event.engineIncarnation].includes(this.engineIncarnation);
    if (!matches) return 'wrong_adapter';
    if (event.engineIncarnation !== incarnation) return 'new_incarnation';
    this.engineIncarnation = event.engineIncarnation;
    return 'go_on';
  }

  private takeToken(offset: number, token: string): Verdict {
    // Nothing is forwarded before the engine has named the adapter.
    if (this.engineIncarnation === '') return 'wrong_adapter';
    if (offset > this.length) return 'gap';
    if (offset < this.length) return 'go_on';
    this.tokens.push(token);
    this.changed.notify();
    return 'go_on';
  }
}

/** Refusal of a chat that may have run in the engine in part. */
export function engineFailed(message: string): Refusal {
  return refusal('engine_failed', message, {
    outcome: OUTCOME.unknown,
    retryAfterMs: 100,
  });
}
