/** Runs the generation of a chat in the engine and resumes its stream when it breaks. */
import {OUTCOME, refusal, type Refusal} from '@balsamnotch/core';
import {
  ENGINE_ERROR,
  type Engine,
  type EngineError,
  type GenerationEvent,
} from '@balsamnotch/systems';
import type {Observable} from 'rxjs';
import {engineFailedRefusal, type Chat, type EventResult} from './chat.js';

/** Consecutive resumes of a broken stream without a new token before the chat fails. */
const MAX_RESUMES = 3;

/** Mean wait before the first resume, in milliseconds; it doubles with each further resume. */
const RESUME_BACKOFF_MS = 50;

/** How the generation of a chat ended. */
export type GenerationEnd =
  | {readonly kind: 'ended'}
  /** The engine started nothing; the chat may be queued again. */
  | {readonly kind: 'not_started'; readonly message: string}
  /** `mayRun` is true if the engine may still be generating. */
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      readonly mayRun: boolean;
    };

/** How one stream of the engine ended. A kind `event` carries the result of its last event. */
type StreamEnd =
  | {readonly kind: 'event'; readonly result: EventResult}
  | {readonly kind: 'error'; readonly error: EngineError}
  | {readonly kind: 'stopped'};

function isEngineError(error: unknown): error is EngineError {
  return typeof error === 'object' && error !== null && 'kind' in error;
}

/** Reads one stream of the engine into the chat until it ends, breaks or is aborted. */
function readStream(
  chat: Chat,
  events$: Observable<GenerationEvent>,
  engineIncarnation: () => string,
): Promise<StreamEnd> {
  return new Promise(resolve => {
    const signal = chat.abortController.signal;
    const finish = (end: StreamEnd) => {
      signal.removeEventListener('abort', handleAbort);
      resolve(end);
      // A source that emits synchronously has not returned its subscription yet.
      queueMicrotask(() => subscription.unsubscribe());
    };
    const handleAbort = () => finish({kind: 'stopped'});
    const brokenStream = (message: string): StreamEnd => ({
      kind: 'error',
      error: {kind: ENGINE_ERROR.broken, message},
    });
    let hasEnded = false;
    const subscription = events$.subscribe({
      next: event => {
        if (hasEnded) return;
        const result = chat.handleEvent(event, engineIncarnation());
        if (result === 'go_on') return;
        hasEnded = true;
        finish({kind: 'event', result});
      },
      error: (error: unknown) =>
        finish(
          isEngineError(error)
            ? {kind: 'error', error}
            : brokenStream(String(error)),
        ),
      complete: () => finish(brokenStream('stream ended without an end event')),
    });
    signal.addEventListener('abort', handleAbort);
    if (signal.aborted) handleAbort();
  });
}

/** How the generation ended with its stream; undefined if the stream must be resumed. */
function generationEnd(chat: Chat, end: StreamEnd): GenerationEnd | undefined {
  if (end.kind === 'stopped') {
    const cancelled = refusal('cancelled', 'chat was cancelled', {
      outcome: OUTCOME.unknown,
    });
    return {kind: 'refused', refusal: cancelled, mayRun: true};
  }
  if (end.kind === 'event') return endAfterEvent(end.result);
  const {kind, message} = end.error;
  const hasStarted = chat.engineIncarnation !== '';
  switch (kind) {
    case ENGINE_ERROR.broken:
      return undefined;
    case ENGINE_ERROR.unreachable:
      return hasStarted ? undefined : {kind: 'not_started', message};
    case ENGINE_ERROR.notLoaded:
      return {kind: 'not_started', message};
    case ENGINE_ERROR.notFound:
      if (!hasStarted) return {kind: 'not_started', message};
      break;
    case ENGINE_ERROR.failed:
    case ENGINE_ERROR.fenced:
  }
  const mayRun = kind !== ENGINE_ERROR.notFound;
  return {kind: 'refused', refusal: engineFailedRefusal(message), mayRun};
}

function endAfterEvent(result: EventResult): GenerationEnd | undefined {
  if (result === 'ended') return {kind: 'ended'};
  if (result !== 'wrong_adapter') return undefined;
  const mismatch = refusal(
    'wrong_adapter',
    'engine stream does not match the requested generation, adapter or version',
    {retryAfterMs: 100},
  );
  return {kind: 'refused', refusal: mismatch, mayRun: true};
}

/** Dependencies of a generation. */
export interface GenerationParts {
  readonly engine: Engine;
  /** Engine incarnation from the last read of the engine's state. */
  readonly engineIncarnation: () => string;
  readonly random: () => number;
  /** Reads the engine's state again, including its incarnation. */
  readonly refreshEngine: () => void;
}

/** Runs a chat in the engine. With `resume`, the engine already has its generation. */
export async function runGeneration(
  chat: Chat,
  {engine, engineIncarnation, random, refreshEngine}: GenerationParts,
  {resume}: {readonly resume: boolean},
): Promise<GenerationEnd> {
  let stream = resume
    ? engine.resume(chat.generationId, chat.length)
    : engine.generate(chat.generation());
  let resumes = 0;
  let previousLength = chat.length;
  for (;;) {
    const streamEnd = await readStream(chat, stream, engineIncarnation);
    const end = generationEnd(chat, streamEnd);
    if (end !== undefined) return end;
    refreshEngine();
    if (chat.length > previousLength) resumes = 0;
    previousLength = chat.length;
    if (resumes++ >= MAX_RESUMES) {
      const failure = engineFailedRefusal('engine stream broke repeatedly');
      return {kind: 'refused', refusal: failure, mayRun: true};
    }
    const waitMs = RESUME_BACKOFF_MS * 2 ** (resumes - 1) * (0.5 + random());
    await chat.changed.wait(waitMs, chat.abortController.signal);
    stream = engine.resume(chat.generationId, chat.length);
  }
}
