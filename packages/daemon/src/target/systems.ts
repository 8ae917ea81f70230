/** Outside systems and limits of a target node. */
import {LOAD_LIMITS, type LoadLimits} from '@balsamnotch/core';
import type {Engine, PlainService} from '@balsamnotch/systems';

/** Decides when a load order may be given. */
export interface LoadPermits {
  mayLoad(nowMs: number): boolean;
  /** Called once for each load order, after `mayLoad` has said yes. */
  loadStarted(nowMs: number): void;
}

/** Times of a target node, in milliseconds, and its service concurrency. */
export interface TargetLimits {
  /** Silence on a stream after which a heartbeat is sent. */
  readonly heartbeatMs: number;
  /** Time for which a chat without an entry connection goes on. */
  readonly detachedMs: number;
  /** Time for which a finished chat is kept after it was read to the end. */
  readonly keepChatMs: number;
  /** Time for which a planned stop waits for finished answers to be read. */
  readonly drainUnreadMs: number;
  /** Time for which a non-repeatable call waits for the service. */
  readonly callTimeoutMs: number;
  /** Calls that the service runs at once. */
  readonly callsAtOnce: number;
  /** Interval of reading the engine's state. */
  readonly engineReadMs: number;
  /** Time without an answer of the engine after which its waiting chats are refused. */
  readonly engineUnreachableMs: number;
  readonly loads: LoadLimits;
}

/** Limits that hold unless the caller gives others. */
export const TARGET_LIMITS: TargetLimits = {
  heartbeatMs: 200,
  detachedMs: 5_000,
  keepChatMs: 60_000,
  drainUnreadMs: 10_000,
  callTimeoutMs: 30_000,
  callsAtOnce: 8,
  engineReadMs: 1_000,
  engineUnreachableMs: 1_000,
  loads: LOAD_LIMITS,
};

/** What a target node works with beside its context. */
export interface TargetSystems {
  /** Set beside a model engine. */
  readonly engine?: Engine;
  /** Set beside a plain service. */
  readonly plain?: PlainService;
  readonly permits?: LoadPermits;
  readonly limits?: Partial<TargetLimits>;
}
