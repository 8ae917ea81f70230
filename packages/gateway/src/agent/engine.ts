/** Interface of a target node to its local engine, implemented for each platform. */
import type {Result} from 'ts-results-es';
import type {HeldModel} from '@balsamnotch/core';

/** State reported by the engine. */
export interface EngineState {
  /** Start time of the engine in Unix milliseconds; 0 when the engine does not report it. */
  readonly incarnationMs: number;
  /** Number of orders accepted since the engine started. */
  readonly acceptedOrders: number;
  /** Whether an order that excludes others is in progress. */
  readonly isBusy: boolean;
  readonly leaving: boolean;
  /** Remaining run time after a termination notice, in milliseconds; 0 without a notice. */
  readonly remainingMs: number;
  /** Number of running requests. */
  readonly running: number;
  /** Number of waiting requests. */
  readonly waiting: number;
  /** Tokens in use in the KV cache. */
  readonly cacheUsed: number;
  /** Capacity of the KV cache in tokens. */
  readonly cacheTotal: number;
  readonly models: readonly HeldModel[];
  /** Adapters that are being loaded. Each already occupies a slot. */
  readonly loading: ReadonlyArray<{
    readonly model: string;
    readonly adapter: string;
    readonly version: number;
  }>;
}

/** An order to load or unload a model, or an adapter of a model. */
export interface ModelOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Absent for the base model. */
  readonly adapter?: string;
  /** Version to load; 0 loads the newest. */
  readonly version: number;
  /** Name of the node that sends the order. */
  readonly holder: string;
  /** Fencing number; the engine rejects the order if it has seen a higher one. */
  readonly fence: number;
  /** The engine carries out the order only if it has accepted exactly this many orders. */
  readonly expectedOrders: number;
}

/** Kinds of failed engine calls. */
export const ENGINE_FAILURE = {
  /** The engine did not answer; it may have accepted the order. */
  unreachable: 'unreachable',
  /** The engine accepted another order first, or an order is in progress. */
  conflict: 'conflict',
  /** The engine has seen a higher fencing number. */
  fenced: 'fenced',
  /** The engine cannot carry out the order. */
  refused: 'refused',
  /** The engine's report cannot be decoded. */
  invalid: 'invalid',
} as const;

/** A failed engine call. */
export interface EngineFailure {
  readonly kind: (typeof ENGINE_FAILURE)[keyof typeof ENGINE_FAILURE];
  readonly message: string;
}

/** Client for the local engine of a target node. */
export interface ManagedEngine {
  state(): Promise<Result<EngineState, EngineFailure>>;
  /** Sends an order; resolves once the engine has accepted it or the call has failed. */
  order(order: ModelOrder): Promise<Result<void, EngineFailure>>;
}
