/** What the entry asks of the protocol between callers and targets; the adapter to a platform implements it. */
import type {IncomingHttpHeaders} from 'node:http';

/** What a caller's headers say about its request. */
export interface CallerHeaders {
  /** Identity of this attempt of the caller; empty when absent. */
  readonly requestId: string;
  /** Time for which the caller waits, in milliseconds; 0 when it does not say. */
  readonly deadlineMs: number;
  /** Base model; empty for a plain service. */
  readonly model: string;
  /** Adapter of the model; empty for the base model itself. */
  readonly adapter: string;
  /** Prompt tokens; 0 when not given. */
  readonly promptTokens: number;
}

/** What the entry adds to a request that it sends on. */
export interface ForwardedHeaders {
  /** Time left for the answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Only this start of the target may run the request. */
  readonly targetId: string;
  /** Absent for a request without a body. */
  readonly bodyBytes?: number;
  /** Rank of the request's route; 0 is the highest. */
  readonly priority: number;
  /** Version of the adapter that must serve; 0 for any. */
  readonly adapterVersion: number;
  /** Id of the last event that the caller has; undefined to leave the caller's own. */
  readonly resumeAfter?: number;
}

/** What a target's headers say about its answer. */
export interface TargetHeaders {
  /** Request that the answer belongs to; empty when it does not say. */
  readonly requestId: string;
  /** The answer carries the target's signature. */
  readonly isSigned: boolean;
  /** The target states that the request did not run. */
  readonly isNotRun: boolean;
  /** Identity of the target that answered; empty when it does not say. */
  readonly targetId: string;
  /** Time after which the target closes an idle connection, in milliseconds; 0 when it does not say. */
  readonly idleMs: number;
}

/** Protocol of forwarded requests. */
export interface ForwardProtocol {
  readonly readCaller: (headers: IncomingHttpHeaders) => CallerHeaders;
  /** Names and values to send: the caller's, without those that a caller may not set, and the entry's. */
  readonly forwardHeaders: (
    rawHeaders: readonly string[],
    forwarded: ForwardedHeaders,
  ) => readonly string[];
  readonly readTarget: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => TargetHeaders;
  /** Names and values to return to the caller: the target's end-to-end headers. */
  readonly returnHeaders: (rawHeaders: readonly string[]) => string[];
  /** Headers of an answer that the entry gives itself. */
  readonly ownHeaders: (
    requestId: string,
    retryAfterMs: number | undefined,
  ) => string[];
}
