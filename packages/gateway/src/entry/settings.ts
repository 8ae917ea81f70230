/** Settings of an entry. */
import type {
  AllotmentTolerance,
  HoldLimits,
  RetryLimits,
} from '@balsamnotch/core';

/** Settings of an entry. */
export interface EntrySettings {
  /** `ip:port` at which callers connect. */
  readonly listen: string;
  /** `ip:port` of the readiness endpoint for the load balancer. */
  readonly readyListen: string;
  /** Path of the readiness endpoint. */
  readonly readyPath: string;
  /** `ip:port` at which the entry receives datagrams of target nodes. */
  readonly nodeListen: string;
  /** Port of the target nodes, for datagrams and Connect. */
  readonly nodePort: number;
  readonly retries: RetryLimits;
  /**
   * Requests that may be sent to a second target beside the first one while their answer is late, as
   * a fraction of the repeatable requests of a route, 0 to 1; 0, the default, for none.
   */
  readonly secondAttemptShare?: number;
  /**
   * Whether the entry refuses requests for a plain service of which its targets would answer too
   * many late; false if absent.
   */
  readonly sharesPlainTargets?: boolean;
  /** Use beyond the allotments of accounts that the operators tolerate; default: none. */
  readonly allotmentTolerance?: AllotmentTolerance;
  /** Longest time for a planned stop, in milliseconds. */
  readonly stopTimeoutMs: number;
  /** What callers' connections may hold together; default: no limits. */
  readonly holds?: HoldLimits;
}

/** Settings of the entry that its targets use. */
export type TargetsSettings = Pick<
  EntrySettings,
  'nodeListen' | 'nodePort' | 'allotmentTolerance'
>;
