/** Counts and logs the requests of callers that end without a complete answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {LogFields} from '@balsamnotch/daemon';
import type {GatewayContext} from '../node/context.js';

/** Causes for which a request ends without a complete answer. */
export const UNANSWERED_CAUSE = {
  /** The caller closed or reset the connection. */
  callerLeft: 'caller_left',
  /** A started answer could not be completed. */
  aborted: 'aborted',
  /** An exception while the request was handled. */
  exception: 'exception',
  /** Later input on the connection was invalid or late. */
  invalidInput: 'invalid_input',
  /** The planned stop ended before the answer was complete. */
  stopEnded: 'stop_ended',
  /** The entry closed the connection for none of the other causes. */
  entryClosed: 'entry_closed',
} as const;

/** One of the values of {@link UNANSWERED_CAUSE}. */
export type UnansweredCause =
  (typeof UNANSWERED_CAUSE)[keyof typeof UNANSWERED_CAUSE];

/** What is known of a forwarded request, for the log. */
export interface ForwardedProgress {
  /** Number of sends to targets. */
  readonly sends: number;
  /** Id of the last target that the request was sent to; empty if none was. */
  readonly target: string;
}

/** A request of a caller whose answer is not complete. */
export interface OpenAnswer {
  /** Sets how far the request has been forwarded; called once it is admitted. */
  setProgress(requestId: string, progress: () => ForwardedProgress): void;
}

/** Options of {@link createOpenAnswers}. */
export interface OpenAnswersOptions {
  readonly context: Pick<GatewayContext, 'clock' | 'log' | 'metrics'>;
  /** Version of the routes in force; 0 before the first. */
  readonly routesVersion: () => number;
  /** Returns the monotonic time at which a planned stop began, in milliseconds; Infinity before. */
  readonly stopBeganAtMs: () => number;
}

/** The requests of an entry whose answers are not complete. */
export interface OpenAnswers {
  /** Follows a request until its answer is complete or its connection has closed. */
  readonly add: (
    incoming: IncomingMessage,
    response: ServerResponse,
  ) => OpenAnswer;
  /**
   * States why the entry is about to close a connection. Only the first cause of a
   * connection is kept.
   */
  readonly recordClose: (
    socket: Socket | null,
    cause: UnansweredCause,
    detail: string,
  ) => void;
  /** Returns the response to a whole request of the connection while it is not complete. */
  readonly pendingOf: (socket: Socket) => ServerResponse | undefined;
  /** Records that other routes came into force. */
  readonly recordRoutes: () => void;
  /** Counts and logs all open requests as ended by the planned stop. */
  readonly endAll: () => void;
  readonly count: () => number;
  /** Returns whether an answer has been handed over completely, but not yet sent. */
  readonly isSending: () => boolean;
}

interface CloseReason {
  readonly cause: UnansweredCause;
  readonly detail: string;
}

/** Derives who closed a connection, if the entry has stated no reason. */
function observedReason(socket: Socket): CloseReason {
  const {errored, readableEnded} = socket;
  if (errored) {
    const {code, message} = errored as NodeJS.ErrnoException;
    return {cause: UNANSWERED_CAUSE.callerLeft, detail: code ?? message};
  }
  return readableEnded
    ? {cause: UNANSWERED_CAUSE.callerLeft, detail: 'end of input'}
    : {cause: UNANSWERED_CAUSE.entryClosed, detail: ''};
}

/** Creates a record without open answers. */
export function createOpenAnswers({
  context: {clock, log, metrics},
  routesVersion,
  stopBeganAtMs,
}: OpenAnswersOptions): OpenAnswers {
  const latest = new WeakMap<Socket, ServerResponse>();
  const reasons = new WeakMap<Socket, CloseReason>();
  /** Open responses by the function that ends their record, for a reason. */
  const open = new Map<(reason?: CloseReason) => void, ServerResponse>();
  let routesSinceMs = clock.monotonicMs();

  /** When a request began and ended, relative to the begin of a planned stop. */
  const stopFields = (startedAtMs: number, nowMs: number): LogFields => {
    const stopMs = stopBeganAtMs();
    if (stopMs === Infinity) return {stopping: false};
    return {
      stopping: true,
      began_stop_ms: Math.round(startedAtMs - stopMs),
      ended_stop_ms: Math.round(nowMs - stopMs),
    };
  };

  const add = (
    incoming: IncomingMessage,
    response: ServerResponse,
  ): OpenAnswer => {
    const {socket} = incoming;
    const startedAtMs = clock.monotonicMs();
    let fields = (): LogFields => ({path: incoming.url ?? ''});
    const end = (reason?: CloseReason) => {
      if (!open.delete(end) || response.writableFinished) return;
      const {cause, detail} =
        reason ?? reasons.get(socket) ?? observedReason(socket);
      const nowMs = clock.monotonicMs();
      metrics.count('unanswered', cause);
      log.warn('unanswered', {
        cause,
        detail,
        ...fields(),
        is_whole: incoming.complete,
        has_begun: response.headersSent,
        ms: Math.round(nowMs - startedAtMs),
        routes_version: routesVersion(),
        routes_age_ms: Math.round(nowMs - routesSinceMs),
        ...stopFields(startedAtMs, nowMs),
      });
    };
    open.set(end, response);
    latest.set(socket, response);
    response.on('close', () => end());
    return {
      setProgress: (requestId, progress) => {
        fields = () => ({request: requestId, ...progress()});
      },
    };
  };
  return {
    add,
    recordClose: (socket, cause, detail) => {
      if (socket === null || reasons.has(socket)) return;
      reasons.set(socket, {cause, detail});
    },
    pendingOf: socket => {
      const response = latest.get(socket);
      const isPending =
        response?.req.complete === true && !response.writableFinished;
      return isPending ? response : undefined;
    },
    recordRoutes: () => {
      routesSinceMs = clock.monotonicMs();
    },
    endAll: () => {
      for (const end of [...open.keys()]) {
        end({cause: UNANSWERED_CAUSE.stopEnded, detail: ''});
      }
    },
    count: () => open.size,
    isSending: () =>
      [...open.values()].some(({writableEnded}) => writableEnded),
  };
}
