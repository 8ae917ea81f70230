/** What a target node asks of the engine beside it; the adapter to a platform implements it. */
import type {Result} from 'ts-results-es';
import type {HeldModel} from '@balsamnotch/core';

/** State that the engine reports. */
export interface EngineState {
  /** Start of the engine, Unix milliseconds; 0 when it does not say. */
  readonly incarnationMs: number;
  /** Orders accepted since its start. */
  readonly acceptedOrders: number;
  /** An order that excludes others is in progress. */
  readonly isBusy: boolean;
  readonly leaving: boolean;
  /** Time that it still runs after a short notice, in milliseconds; 0 without one. */
  readonly remainingMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly cacheUsed: number;
  readonly cacheTotal: number;
  readonly models: readonly HeldModel[];
  /** Adapters that are being loaded; they take a slot. */
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
  /** Version to load; 0 for the newest. */
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
  /** The order holds only if the engine has accepted this many orders. */
  readonly expectedOrders: number;
}

/** Kinds of failure of an engine call. */
export const ENGINE_FAILURE = {
  /** No answer; an order may have been accepted. */
  unreachable: 'unreachable',
  /** Another order came first, or one is in progress. */
  conflict: 'conflict',
  /** The fencing number is lower than one that the engine has seen. */
  fenced: 'fenced',
  /** The engine cannot carry out the order. */
  refused: 'refused',
  invalid: 'invalid',
} as const;

/** A failed engine call. */
export interface EngineFailure {
  readonly kind: (typeof ENGINE_FAILURE)[keyof typeof ENGINE_FAILURE];
  readonly message: string;
}

/** The engine beside a target node. */
export interface ManagedEngine {
  state(): Promise<Result<EngineState, EngineFailure>>;
  /** Resolves when the order was accepted. */
  order(order: ModelOrder): Promise<Result<void, EngineFailure>>;
}
