/** One attempt to have a request served by one target. */
import {
  createInputTimer,
  openExchange,
  type HttpResponseHead,
} from '@balsamnotch/systems';
import {
  ATTEMPT_END,
  SILENCE_PHASE,
  createEventSplitter,
  type AttemptEnd,
  type EventBatch,
  type Unavailability,
} from '@balsamnotch/core';
import type {LogFields} from '@balsamnotch/daemon';
import type {AnswerMemory, BufferedAnswer} from './answermemory.js';
import type {ForwardProtocol, TargetHeaders} from './protocol.js';
import type {SilenceWatch} from './silences.js';
import type {TargetState} from './targets.js';

/**
 * Time to open a connection to a target, in milliseconds: 100 times the network
 * delay between failure domains, and shorter than any latency objective.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Largest answer that is buffered until it is complete, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Largest event of a stream, in bytes. Events normally carry a few tokens each. */
const MAX_EVENT_BYTES = 256 * 1024;

const OK = 200;
const REDIRECT = 300;
const SERVER_ERROR = 500;

/** A request as it is sent to a target. */
export interface OutgoingRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Names and values alternately. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A complete answer, or the head of a streamed one. */
export interface TargetAnswer {
  readonly status: number;
  /** Names and values alternately, as returned to the caller. */
  readonly rawHeaders: readonly string[];
  /** Empty for a stream. */
  /** In pieces as they were received. */
  readonly body: readonly Buffer[];
  /**
   * Whether the target's answer has a `Content-Length` or `Transfer-Encoding` header.
   * One that ends with its connection may have been ended by a crash of the target.
   */
  readonly isFramed: boolean;
}

/** Result of an attempt. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** What ended the attempt, for the log. */
  readonly detail: string;
  /** The answer, if it was received completely; the head alone for a stream. */
  readonly answer?: TargetAnswer;
  /** Time until the request was written, in milliseconds; 0 if it was not. */
  readonly connectMs: number;
  /** Time until the head of the answer arrived, in milliseconds; 0 if none did. */
  readonly firstByteMs: number;
  /** Time until the first complete event of a stream arrived, in milliseconds; 0 if none did. */
  readonly firstEventMs: number;
  /** Time from the first complete event of a stream to the end, in milliseconds; 0 if none came. */
  readonly runMs: number;
  /** Longest time between two reads of events of a stream, in milliseconds; 0 for other answers. */
  readonly longestPauseMs: number;
  /** Whether a different target answered at the address. */
  readonly isReplaced: boolean;
  /** Whether the target's end of the connection was lost before the answer was complete. */
  readonly isConnectionLost: boolean;
  /**
   * Statement of the target because of which the request was not sent; undefined if it was
   * sent or failed otherwise.
   */
  readonly withdrawnFor?: Unavailability;
  /** Whether {@link AttemptOptions.mayWrite} forbade to send the request. */
  readonly isWithheld: boolean;
}

/** Returns the result of an attempt that ended before anything was sent. */
export function notSentResult(detail: string): AttemptResult {
  return {
    end: ATTEMPT_END.notSent,
    detail,
    connectMs: 0,
    firstByteMs: 0,
    firstEventMs: 0,
    runMs: 0,
    longestPauseMs: 0,
    isReplaced: false,
    isConnectionLost: false,
    isWithheld: false,
  };
}

/** Returns how an attempt ended, for the log. */
export function attemptFields({
  end,
  detail,
  connectMs,
  firstByteMs,
  firstEventMs,
  longestPauseMs,
}: AttemptResult): LogFields {
  return {
    end,
    detail,
    connect_ms: Math.round(connectMs),
    first_byte_ms: Math.round(firstByteMs),
    first_event_ms: Math.round(firstEventMs),
    longest_pause_ms: Math.round(longestPauseMs),
  };
}

/** Receives what a target states of itself in its answer. */
export interface StatementObserver {
  /** Called with the limit that the target's answer states; see {@link TargetHeaders.limitPerSecond}. */
  readonly onLimit: (limitPerSecond: number | undefined) => void;
  /** Called when the target's answer states that it is leaving. */
  readonly onLeaving: () => void;
  /** Called when the target's answer asks for a pause; see {@link TargetHeaders.pauseMs}. */
  readonly onPause: (pauseMs: number) => void;
}

/** Receives the events of a stream, and statements of the target, during an attempt. */
export interface AttemptObserver extends StatementObserver {
  /**
   * Called with complete events. Returns false if the caller's connection is
   * congested; reading then stops until {@link Attempt.resume} is called.
   */
  readonly onEvents: (batch: EventBatch, head: TargetAnswer) => boolean;
}

/** Options of {@link openAttempt}. */
export interface AttemptOptions {
  readonly protocol: ForwardProtocol;
  readonly isStream: boolean;
  /**
   * Longest wait for the first body bytes of an answer or the first event of a
   * stream, in milliseconds.
   */
  readonly firstByteTimeoutMs: number;
  /** Longest gap between events of a stream, in milliseconds. */
  readonly gapTimeoutMs: number;
  /** Replaces these times, and judges a silence of unusual length; without it the attempt ends. */
  readonly silences?: SilenceWatch;
  readonly observer: AttemptObserver;
  /**
   * Called when the connection is open, before the request is written; nothing is sent if it
   * resolves to false. It must not reject.
   */
  readonly mayWrite?: () => Promise<boolean>;
  /** Memory accounting of the answers that the entry buffers. */
  readonly memory: AnswerMemory;
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number;
}

/** An attempt in progress. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Ends the attempt as broken and closes the connection, so the target drops the request. */
  readonly cancel: (detail: string) => void;
  /** Continues reading after `onEvents` returned false. */
  readonly resume: () => void;
}

function isSuccess(status: number): boolean {
  return status >= OK && status < REDIRECT;
}

/**
 * Returns whether an answer belongs to the request. A refusal without an id does only on a
 * connection that has carried no other request; later ones may be repeated refusals.
 */
function isAnswerTo(
  requestId: string,
  headers: TargetHeaders,
  {isConnectionReused}: HttpResponseHead,
): boolean {
  if (headers.requestId === requestId) return true;
  return headers.requestId === '' && headers.isNotRun && !isConnectionReused;
}

/** Classifies an answer by its status and headers, before its body has arrived. */
function classifyAnswer(status: number, headers: TargetHeaders): AttemptEnd {
  if (headers.isNotRun) return ATTEMPT_END.notRun;
  if (status < OK) return ATTEMPT_END.broken;
  if (isSuccess(status)) {
    return headers.isSigned ? ATTEMPT_END.answered : ATTEMPT_END.broken;
  }
  return status >= SERVER_ERROR ? ATTEMPT_END.failed : ATTEMPT_END.answered;
}

/** Head of an answer as it is returned to the caller, with an empty body. */
function returnedHead(
  {status, rawHeaders, headers}: HttpResponseHead,
  protocol: ForwardProtocol,
): TargetAnswer {
  return {
    status,
    rawHeaders: protocol.returnHeaders(rawHeaders),
    body: [],
    isFramed:
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined,
  };
}

/** Sends a request to a target. Failures are reported in the result; it never rejects. */
export function openAttempt(
  target: TargetState,
  request: OutgoingRequest,
  options: AttemptOptions,
): Attempt {
  const {protocol, isStream, observer, memory, now} = options;
  const {silences} = options;
  const firstByteTimeoutMs =
    silences?.unusualMs(SILENCE_PHASE.firstByte) ?? options.firstByteTimeoutMs;
  const gapTimeoutMs =
    silences?.unusualMs(SILENCE_PHASE.betweenEvents) ?? options.gapTimeoutMs;
  const startedAtMs = now();
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let connectMs = 0;
  let firstByteMs = 0;
  let firstEventMs = 0;
  let lastEventAtMs = 0;
  /** Monotonic time since which the target owes the next bytes, in milliseconds. */
  let silentSinceMs = startedAtMs;
  let longestPauseMs = 0;
  let head: HttpResponseHead | undefined;
  /** The head as it is returned to the caller. */
  let headForCaller: TargetAnswer | undefined;
  /** How the attempt ends if the rest of the answer arrives. */
  let answerEnd: AttemptEnd = ATTEMPT_END.broken;
  let resolveResult: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>(resolve => {
    resolveResult = resolve;
  });
  let isFinished = false;
  let isReplaced = false;
  let isConnectionLost = false;
  let isPaused = false;
  let withdrawnFor: Unavailability | undefined;
  let isWithheld = false;
  const finish = (end: AttemptEnd, detail: string, answer?: TargetAnswer) => {
    if (isFinished) return;
    isFinished = true;
    timer.clear();
    unavailability.unsubscribe();
    memory.release(bufferedAnswer);
    resolveResult({
      end,
      detail,
      answer,
      connectMs,
      firstByteMs,
      firstEventMs,
      runMs: firstEventMs === 0 ? 0 : now() - startedAtMs - firstEventMs,
      longestPauseMs,
      isReplaced,
      isConnectionLost,
      withdrawnFor,
      isWithheld,
    });
  };
  const abandon = (end: AttemptEnd, detail: string) => {
    finish(end, detail);
    close();
  };
  const bufferedAnswer: BufferedAnswer = {
    abandon: () =>
      abandon(ATTEMPT_END.broken, 'buffered answers exceed the memory limit'),
  };
  const timer = createInputTimer(() => {
    if (isPaused) return;
    const isFirst = lastEventAtMs === 0;
    const phase = isFirst
      ? SILENCE_PHASE.firstByte
      : SILENCE_PHASE.betweenEvents;
    const waitMs = silences?.judge(phase, now() - silentSinceMs) ?? 0;
    if (waitMs > 0) {
      timer.restart(waitMs);
      return;
    }
    abandon(
      ATTEMPT_END.silent,
      isFirst
        ? 'no first byte or first event in time'
        : 'no further event in time',
    );
  });
  timer.restart(firstByteTimeoutMs);
  // The request may wait for a connection while another request's answer states this.
  const unavailability = target.stated.unavailable$.subscribe(reason => {
    withdrawnFor = reason;
    abandon(ATTEMPT_END.notSent, reason);
  });
  const isStreaming = () =>
    isStream && head !== undefined && isSuccess(head.status);

  const handleHead = (receivedHead: HttpResponseHead) => {
    const headers = protocol.readTargetHeaders(
      receivedHead.status,
      receivedHead.headers,
    );
    target.connections.setStatedIdleTime(headers.idleMs);
    firstByteMs = now() - startedAtMs;
    isReplaced =
      headers.targetId !== '' && headers.targetId !== target.listing.target.id;
    // True of the target whichever of its requests the answer belongs to.
    if (headers.isLeaving && !isReplaced) observer.onLeaving();
    if (!isAnswerTo(request.requestId, headers, receivedHead)) {
      // The outcome of this request is unknown.
      abandon(
        ATTEMPT_END.broken,
        headers.requestId === ''
          ? 'answer names no request'
          : 'answer belongs to another request',
      );
      return;
    }
    if (headers.pauseMs !== undefined && !isReplaced) {
      observer.onPause(headers.pauseMs);
    }
    // A refusal need not name the limit, so it does not end one.
    const statesLimit =
      headers.isSigned || headers.limitPerSecond !== undefined;
    if (statesLimit && !isReplaced) observer.onLimit(headers.limitPerSecond);
    head = receivedHead;
    headForCaller = returnedHead(receivedHead, protocol);
    answerEnd = classifyAnswer(receivedHead.status, headers);
    if (answerEnd === ATTEMPT_END.broken) {
      abandon(answerEnd, `unsigned answer or status ${receivedHead.status}`);
    }
  };
  const handleStreamChunk = (chunk: Buffer) => {
    const batch = splitter.push(chunk);
    if (splitter.pendingBytes > MAX_EVENT_BYTES) {
      abandon(ATTEMPT_END.broken, 'event too large');
      return;
    }
    if (batch === undefined || headForCaller === undefined) return;
    if (batch.bytes.length > 0) handleEvents(batch, headForCaller);
    if (batch.fault !== undefined) abandon(ATTEMPT_END.broken, batch.fault);
  };
  const handleEvents = (batch: EventBatch, callerHead: TargetAnswer) => {
    const nowMs = now();
    firstEventMs ||= nowMs - startedAtMs;
    if (lastEventAtMs > 0) {
      longestPauseMs = Math.max(longestPauseMs, nowMs - lastEventAtMs);
    }
    lastEventAtMs = nowMs;
    silentSinceMs = nowMs;
    silences?.recordInput();
    timer.restart(gapTimeoutMs);
    if (observer.onEvents(batch, callerHead)) return;
    isPaused = true;
    head?.pause();
  };
  const handleChunk = (chunk: Buffer) => {
    if (isFinished || head === undefined) return;
    if (isStreaming()) {
      handleStreamChunk(chunk);
      return;
    }
    timer.clear();
    silences?.recordInput();
    bufferedBytes += chunk.length;
    chunks.push(chunk);
    if (bufferedBytes > MAX_ANSWER_BYTES) {
      abandon(ATTEMPT_END.broken, 'answer too large');
      return;
    }
    memory.add(bufferedAnswer, chunk.length);
  };
  const handleEnd = () => {
    if (head === undefined || headForCaller === undefined) return;
    const isEmpty = firstEventMs === 0 && !headForCaller.isFramed;
    if (isStreaming() && (splitter.pendingBytes > 0 || isEmpty)) {
      isConnectionLost = true;
      finish(
        ATTEMPT_END.broken,
        isEmpty
          ? 'stream ended before its first event'
          : 'stream ended in the middle of an event',
      );
      return;
    }
    const body = [...chunks];
    chunks.length = 0;
    finish(answerEnd, `status ${head.status}`, {...headForCaller, body});
  };
  /** Ends the attempt if a part of the answer raises an exception; the log has its message. */
  const guarded =
    <Parts extends unknown[]>(handle: (...parts: Parts) => void) =>
    (...parts: Parts) => {
      try {
        handle(...parts);
      } catch (error) {
        const {message} = error as Error;
        abandon(ATTEMPT_END.broken, `exception: ${message}`);
      }
    };
  const close = openExchange(
    {
      method: request.method,
      url: `http://${target.listing.target.address}`,
      path: request.path,
      headers: request.headers,
      body: request.body,
      agent: target.connections,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      mayWrite: async () => {
        const mayWrite = (await options.mayWrite?.()) ?? true;
        isWithheld = !mayWrite;
        return mayWrite;
      },
    },
    {
      onSending: () => {
        connectMs = now() - startedAtMs;
        unavailability.unsubscribe();
      },
      onHead: guarded(handleHead),
      onData: guarded(handleChunk),
      onEnd: guarded(handleEnd),
      onError: error => {
        const isSent = error.kind !== 'unreachable';
        isConnectionLost = isSent;
        finish(
          isSent ? endAfterFailure(answerEnd) : ATTEMPT_END.notSent,
          error.message,
        );
      },
    },
  );
  return {
    result,
    cancel: detail => abandon(ATTEMPT_END.broken, detail),
    resume: () => {
      if (!isPaused) return;
      isPaused = false;
      silentSinceMs = now();
      timer.restart(gapTimeoutMs);
      head?.resume();
    },
  };
}

/** End of an attempt whose connection broke. A refusal whose headers have arrived stays valid. */
function endAfterFailure(end: AttemptEnd): AttemptEnd {
  return end === ATTEMPT_END.notRun ? end : ATTEMPT_END.broken;
}
