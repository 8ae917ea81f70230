/** A chat on a target node: its tokens, its state and the entry connection that reads it. */
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
  /** Waiting for its adapter to be loaded, or for room in the batch. */
  queued: 'queued',
  /** Sent to the engine. */
  generating: 'generating',
  /** Complete; the tokens are kept so that an entry can still read them. */
  ended: 'ended',
  refused: 'refused',
} as const;

/** One of the values of {@link CHAT_STATE}. */
export type ChatState = (typeof CHAT_STATE)[keyof typeof CHAT_STATE];

/** Validated parameters of a chat. */
export interface ChatSpec extends QueuedWork {
  readonly id: string;
  readonly caller: string;
  readonly adapter: string;
  readonly version: string;
  readonly priority: WorkPriority & Generation['priority'];
  readonly messages: Generation['messages'];
  readonly maxTokens: number;
  readonly prefix: readonly string[];
  /** Offset in the answer of the first token that this chat receives from the engine. */
  readonly baseOffset: number;
  /** Arrival time on the node's monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
}

/** Result of handling one event of a generation stream. */
export type EventResult =
  | 'go_on'
  | 'ended'
  /** Tokens are missing between the chat and the event. */
  | 'gap'
  /** The engine has restarted, and this node has not read its state since. */
  | 'new_incarnation'
  /** The stream names another generation or adapter version, or none yet. */
  | 'wrong_adapter';

/**
 * State of one chat, owned by the chat controller. Times are readings of the
 * node's monotonic clock, in milliseconds.
 */
export class Chat implements QueuedWork {
  /** Notified when tokens arrive, the state changes or another attachment takes over. */
  readonly changed = new Wakeup();
  /** Aborts reading the engine's stream; replaced when the chat is requeued. */
  abortController = new AbortController();
  readonly priority: ChatSpec['priority'];
  readonly deadlineMs: number;
  readonly tokens: string[] = [];
  state: ChatState = CHAT_STATE.queued;
  /** Id of the chat's generation in the engine. */
  generationId: string;
  /** Engine incarnation that generates the tokens; empty until the engine has confirmed it. */
  engineIncarnation = '';
  finishReason = '';
  /** Set in state `refused`. */
  refusal?: Refusal;
  /** Attachment that reads the chat; a new one replaces it, and the old one ends. */
  reader?: symbol;
  /** End of the last attachment; the arrival time before the first. */
  detachedAtMs: number;
  /** Time at which the chat was last sent to the engine; 0 before that. */
  startedAtMs = 0;
  endedAtMs = 0;
  /** Time at which an attachment had read the whole answer; 0 before that. */
  readAtMs = 0;
  /** Number of times that the chat returned to the queue because the engine did not start it. */
  requeues = 0;

  constructor(readonly spec: ChatSpec) {
    this.priority = spec.priority;
    this.deadlineMs = spec.deadlineMs;
    this.generationId = spec.id;
    this.detachedAtMs = spec.arrivedAtMs;
  }

  get id(): string {
    return this.spec.id;
  }

  get adapter(): string {
    return this.spec.adapter;
  }

  get version(): string {
    return this.spec.version;
  }

  /** Number of tokens of the answer so far, prefix included; also the offset of the next token. */
  get length(): number {
    return this.spec.baseOffset + this.tokens.length;
  }

  get isOpen(): boolean {
    return (
      this.state === CHAT_STATE.queued || this.state === CHAT_STATE.generating
    );
  }

  /** Generation request for the engine. */
  generation(): Generation {
    const {adapter, version, messages, maxTokens, prefix, priority} = this.spec;
    const id = this.generationId;
    return {id, adapter, version, messages, maxTokens, prefix, priority};
  }

  /**
   * Applies an event of the engine. `knownIncarnation` is the engine incarnation
   * from this node's last read of the engine's state.
   */
  handleEvent(event: GenerationEvent, knownIncarnation: string): EventResult {
    switch (event.kind) {
      case 'started':
        return this.handleStarted(event, knownIncarnation);
      case 'token':
        return this.handleToken(event.offset, event.token);
      case 'end':
        if (this.engineIncarnation === '') return 'wrong_adapter';
        if (event.total !== this.length) return 'gap';
        this.finishReason = event.finishReason;
        return 'ended';
    }
  }

  refuse(cause: Refusal, nowMs: number): void {
    this.refusal = cause;
    this.finish(CHAT_STATE.refused, nowMs);
  }

  finish(state: ChatState, nowMs: number): void {
    this.state = state;
    this.endedAtMs = nowMs;
    this.changed.notify();
  }

  private handleStarted(
    event: Extract<GenerationEvent, {kind: 'started'}>,
    knownIncarnation: string,
  ): EventResult {
    const matches =
      event.id === this.generationId &&
      event.adapter === this.adapter &&
      event.version === this.version &&
      ['', event.engineIncarnation].includes(this.engineIncarnation);
    if (!matches) return 'wrong_adapter';
    if (event.engineIncarnation !== knownIncarnation) return 'new_incarnation';
    this.engineIncarnation = event.engineIncarnation;
    return 'go_on';
  }

  private handleToken(offset: number, token: string): EventResult {
    // No token is forwarded before the engine has confirmed the adapter.
    if (this.engineIncarnation === '') return 'wrong_adapter';
    if (offset > this.length) return 'gap';
    if (offset < this.length) return 'go_on';
    this.tokens.push(token);
    this.changed.notify();
    return 'go_on';
  }
}

/** Refusal of a chat that the engine may have started, so its outcome is unknown. */
export function engineFailedRefusal(message: string): Refusal {
  return refusal('engine_failed', message, {
    outcome: OUTCOME.unknown,
    retryAfterMs: 100,
  });
}
