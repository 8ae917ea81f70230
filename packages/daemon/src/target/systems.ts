/** External systems and limits of a target node. */
import {LOAD_LIMITS, type LoadLimits} from '@balsamnotch/core';
import type {Engine, PlainService} from '@balsamnotch/systems';

/** Rate limit on load orders. */
export interface LoadPermits {
  /** Returns whether a load order may be sent now. */
  mayLoad(nowMs: number): boolean;
  /** Uses one permit; called once for each planned load, after `mayLoad` has returned true. */
  recordLoadStart(nowMs: number): void;
}

/** Limits of a target node. Times are in milliseconds. */
export interface TargetLimits {
  /** Time without an event on a stream after which a heartbeat is sent. */
  readonly heartbeatMs: number;
  /** Time for which a chat continues while no entry is connected to it. */
  readonly detachedTimeoutMs: number;
  /**
   * Retention of a complete chat that has no reader, counted from the end of the
   * chat, its last read to the end or the end of its last attachment, whichever is
   * latest.
   */
  readonly keepChatMs: number;
  /** Maximum time that a planned stop waits for a finished answer to be read. */
  readonly unreadTimeoutMs: number;
  /** Maximum time that a call waits for the service; a repeatable call also ends at its deadline. */
  readonly callTimeoutMs: number;
  /** Maximum number of calls that the service runs concurrently. */
  readonly maxConcurrentCalls: number;
  /** Interval between reads of the engine's state. */
  readonly readIntervalMs: number;
  /** Time without an answer from the engine after which its waiting chats are refused. */
  readonly engineUnreachableMs: number;
  readonly loads: LoadLimits;
}

/** Default limits of a target node. */
export const TARGET_LIMITS: TargetLimits = {
  heartbeatMs: 200,
  detachedTimeoutMs: 5_000,
  keepChatMs: 60_000,
  unreadTimeoutMs: 10_000,
  callTimeoutMs: 30_000,
  maxConcurrentCalls: 8,
  readIntervalMs: 1_000,
  engineUnreachableMs: 1_000,
  loads: LOAD_LIMITS,
};

/** External systems of a target node, and overrides of its defaults. */
export interface TargetSystems {
  /** Set when the node serves a model engine. */
  readonly engine?: Engine;
  /** Set when the node serves a plain service. */
  readonly plain?: PlainService;
  /** Replaces the pool's limit on loads. */
  readonly permits?: LoadPermits;
  readonly limits?: Partial<TargetLimits>;
}
