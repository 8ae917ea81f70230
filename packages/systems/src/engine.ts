/** What the daemon asks of a model engine. */
import type {AdapterVersion} from '@balsamnotch/core';
import type {Result} from 'ts-results-es';
import type {Observable} from 'rxjs';

/** Kinds of failure of an engine request. */
export const ENGINE_ERROR = {
  /** No connection; nothing was sent. */
  unreachable: 'unreachable',
  /** The connection broke or timed out after sending. */
  broken: 'broken',
  /** The engine refused an order with an old fencing number. */
  fenced: 'fenced',
  /** The adapter version is not loaded. */
  notLoaded: 'not_loaded',
  /** The engine does not know the generation. */
  notFound: 'not_found',
  /** The order or generation failed in the engine. */
  failed: 'failed',
} as const;

/** A failed engine request. */
export interface EngineError {
  readonly kind: (typeof ENGINE_ERROR)[keyof typeof ENGINE_ERROR];
  readonly message: string;
}

/** State that an engine reports. */
export interface EngineState {
  readonly incarnation: string;
  /** Highest fencing number seen by this engine incarnation; 0 for none. */
  readonly fence: number;
  readonly slots: number;
  readonly batchSize: number;
  readonly loaded: readonly AdapterVersion[];
  readonly active: number;
}

/** Order to load or evict an adapter version. */
export interface EngineOrder extends AdapterVersion {
  readonly kind: 'load' | 'evict';
  readonly fence: number;
}

/** Request for a generation. */
export interface Generation extends AdapterVersion {
  readonly id: string;
  readonly messages: ReadonlyArray<{
    readonly role: string;
    readonly content: string;
  }>;
  readonly maxTokens: number;
  /** Tokens already generated elsewhere; the first new token follows them. */
  readonly prefix: readonly string[];
  readonly priority: 'interactive' | 'batch';
}

/** Event of a generation stream. */
export type GenerationEvent =
  | {
      readonly kind: 'started';
      readonly id: string;
      readonly engineIncarnation: string;
      readonly adapter: string;
      readonly version: string;
    }
  /** Offsets count tokens from the start of the answer, prefix included. */
  | {readonly kind: 'token'; readonly offset: number; readonly token: string}
  | {
      readonly kind: 'end';
      readonly total: number;
      readonly finishReason: string;
    };

/** A model engine. Streams end with an `end` event, or fail with an {@link EngineError}. */
export interface Engine {
  state(): Promise<Result<EngineState, EngineError>>;
  /** Resolves when the order has taken effect. */
  order(order: EngineOrder): Promise<Result<void, EngineError>>;
  generate(generation: Generation): Observable<GenerationEvent>;
  /** Reads a generation again from a token offset. */
  resume(id: string, offset: number): Observable<GenerationEvent>;
  cancel(id: string): Promise<Result<void, EngineError>>;
}
