/**
 * Interface to the header protocol between callers, the entry and targets. The
 * adapter to a platform implements it.
 */
import type {IncomingHttpHeaders} from 'node:http';

/** Request properties read from a caller's headers. */
export interface CallerHeaders {
  /** Names the client account: the host that it calls, and its credentials if there are any. */
  readonly account: readonly string[];
  /** Id that the caller gave to this request; empty if absent. */
  readonly requestId: string;
  /** Time for which the caller waits, in milliseconds; 0 if not stated. */
  readonly deadlineMs: number;
  /** Base model; empty for a plain service. */
  readonly model: string;
  /** Adapter of the base model; empty for the base model itself. */
  readonly adapter: string;
  /** Number of prompt tokens; 0 if not stated. */
  readonly promptTokens: number;
  /** Largest number of tokens that the answer may have; 0 if not stated. */
  readonly outputTokens: number;
  /** Key of the caller's account; empty if the caller sent none. Secret. */
  readonly accountKey: string;
  /**
   * Ids of the parts of the prompt, in order. Other requests may share them, except the
   * last one, which belongs to the request or its session. Empty if not stated.
   */
  readonly promptParts: readonly string[];
  /** Id of the last event that the caller has of a stream that it takes up; empty for a new request. */
  readonly lastEventId: string;
  /**
   * Request id of the client attempt that brought the first event of a stream that the caller takes
   * up; empty if absent or not usable.
   */
  readonly resumes: string;
}

/** Values that the entry adds to the headers of a forwarded request. */
export interface ForwardedHeaders {
  /** Time left until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Id of the target incarnation that may run the request. */
  readonly targetId: string;
  /** Size of the body in bytes; undefined for a request without a body. */
  readonly bodyBytes?: number;
  /** Priority of the request; 0 is the highest. */
  readonly priority: number;
  /** Whether to leave out the header with the key of the caller's account. */
  readonly dropsKey: boolean;
  /** Name of the caller's account; undefined if it has none. A caller cannot state it. */
  readonly accountName?: string;
  /** Required version of the adapter; 0 for any. */
  readonly adapterVersion: number;
  /** Id of the last event sent to the caller; undefined to keep the caller's `Last-Event-Id`. */
  readonly resumeAfter?: number;
}

/** Answer properties read from a target's headers. */
export interface TargetHeaders {
  /** Id of the request that was answered; empty if not stated. */
  readonly requestId: string;
  /** Whether the answer carries the target's signature. */
  readonly isSigned: boolean;
  /** Whether the target states that the request did not run. */
  readonly isNotRun: boolean;
  /** Id of the target that answered; empty if not stated. */
  readonly targetId: string;
  /** Time after which the target closes an idle connection, in milliseconds; 0 if not stated. */
  readonly idleMs: number;
  /**
   * Number of requests per second that the target takes from all entries together; undefined
   * if it states no limit.
   */
  readonly limitPerSecond: number | undefined;
  /** Whether the target states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * Time for which the target asks for no requests as it refuses one, in milliseconds; NaN if it
   * states something else, and undefined if it states nothing.
   */
  readonly pauseMs: number | undefined;
}

/** Reads and writes the headers of forwarded requests and their answers. */
export interface ForwardProtocol {
  /** Reads the headers of a caller's request, by lower-case name. */
  readonly readCallerHeaders: (headers: IncomingHttpHeaders) => CallerHeaders;
  /**
   * Headers to send to a target, as alternating names and values: the caller's,
   * without those that a caller may not set, and the entry's.
   */
  readonly forwardHeaders: (
    rawHeaders: readonly string[],
    forwarded: ForwardedHeaders,
  ) => readonly string[];
  /** Reads the headers of a target's answer, by lower-case name. */
  readonly readTargetHeaders: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => TargetHeaders;
  /**
   * Headers to return to the caller, as alternating names and values: the
   * target's end-to-end headers.
   */
  readonly returnHeaders: (rawHeaders: readonly string[]) => string[];
  /**
   * Headers of an answer that the entry generates itself, as alternating names and
   * values. `retryAfterMs` is undefined if the answer has no retry delay.
   */
  readonly entryAnswerHeaders: (
    requestId: string,
    retryAfterMs: number | undefined,
  ) => string[];
}
