/** Runs the generation of a chat in the engine, and resumes it when its stream breaks. */
import {OUTCOME, refusal, type Refusal} from '@balsamnotch/core';
import {
  ENGINE_ERROR,
  type Engine,
  type EngineError,
  type GenerationEvent,
} from '@balsamnotch/systems';
import type {Observable} from 'rxjs';
import {engineFailed, type Chat, type Verdict} from './chat.js';

/** Resumes of a broken stream without a new token before the chat is given up. */
const RESUMES = 3;

/** Wait before the first resume, in milliseconds; it doubles with each. */
const RESUME_BACKOFF_MS = 50;

/** How the engine's part of a chat ended. */
export type GenerationEnd =
  | {readonly kind: 'ended'}
  /** Nothing ran; the chat may wait for its adapter again. */
  | {readonly kind: 'not_started'; readonly message: string}
  /** `mayRun` tells whether the engine may still generate. */
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      readonly mayRun: boolean;
    };

/** How one stream of the engine ended. */
type StreamEnd =
  | {readonly kind: 'verdict'; readonly verdict: Verdict}
  | {readonly kind: 'error'; readonly error: EngineError}
  | {readonly kind: 'stopped'};

function isEngineError(error: unknown): error is EngineError {
  return typeof error === 'object' && error !== null && 'kind' in error;
}

/** Reads one stream of the engine into the chat. */
function readStream(
  chat: Chat,
  events$: Observable<GenerationEvent>,
  incarnation: () => string,
): Promise<StreamEnd> {
  return new Promise(resolve => {
    const signal = chat.stop.signal;
    const finish = (end: StreamEnd) => {
      signal.removeEventListener('abort', stopped);
      resolve(end);
      // A synchronous source has not returned its subscription yet.
      queueMicrotask(() => subscription.unsubscribe());
    };
    const stopped = () => finish({kind: 'stopped'});
    const broken = (message: string): StreamEnd => ({
      kind: 'error',
      error: {kind: ENGINE_ERROR.broken, message},
    });
    let done = false;
    const subscription = events$.subscribe({
      next: event => {
        if (done) return;
        const verdict = chat.take(event, incarnation());
        if (verdict === 'go_on') return;
        done = true;
        finish({kind: 'verdict', verdict});
      },
      error: (error: unknown) =>
        finish(
          isEngineError(error) ? {kind: 'error', error} : broken(String(error)),
        ),
      complete: () => finish(broken('stream ended without an end event')),
    });
    signal.addEventListener('abort', stopped);
    if (signal.aborted) stopped();
  });
}

/** End of the chat after a stream, or undefined when it is to be resumed. */
function endAfter(chat: Chat, end: StreamEnd): GenerationEnd | undefined {
  if (end.kind === 'stopped') {
    const stopped = refusal('cancelled', 'chat was cancelled', {
      outcome: OUTCOME.unknown,
    });
    return {kind: 'refused', refusal: stopped, mayRun: true};
  }
  if (end.kind === 'verdict') return endAfterVerdict(end.verdict);
  const {kind, message} = end.error;
  const begun = chat.engineIncarnation !== '';
  switch (kind) {
    case ENGINE_ERROR.broken:
      return undefined;
    case ENGINE_ERROR.unreachable:
      return begun ? undefined : {kind: 'not_started', message};
    case ENGINE_ERROR.notLoaded:
      return {kind: 'not_started', message};
    case ENGINE_ERROR.notFound:
      if (!begun) return {kind: 'not_started', message};
      break;
    case ENGINE_ERROR.failed:
    case ENGINE_ERROR.fenced:
  }
  const mayRun = kind !== ENGINE_ERROR.notFound;
  return {kind: 'refused', refusal: engineFailed(message), mayRun};
}

function endAfterVerdict(verdict: Verdict): GenerationEnd | undefined {
  if (verdict === 'ended') return {kind: 'ended'};
  if (verdict !== 'wrong_adapter') return undefined;
  const wrong = refusal(
    'wrong_adapter',
    'engine named another adapter, version or incarnation',
    {retryAfterMs: 100},
  );
  return {kind: 'refused', refusal: wrong, mayRun: true};
}

/** Engine and time as a generation uses them. */
export interface GenerationParts {
  readonly engine: Engine;
  /** Engine incarnation as the node knows it at the moment. */
  readonly incarnation: () => string;
  readonly random: () => number;
  /** Reads the engine's state, and with it its incarnation. */
  readonly readAgain: () => void;
}

/** Runs a chat in the engine. With `resume` the engine has its generation already. */
export async function runGeneration(
  chat: Chat,
  {engine, incarnation, random, readAgain}: GenerationParts,
  {resume}: {readonly resume: boolean},
): Promise<GenerationEnd> {
  let stream = resume
    ? engine.resume(chat.generationId, chat.length)
    : engine.generate(chat.generation());
  let resumes = 0;
  let length = chat.length;
  for (;;) {
    const streamEnd = await readStream(chat, stream, incarnation);
    const end = endAfter(chat, streamEnd);
    if (end !== undefined) return end;
    readAgain();
    if (chat.length > length) resumes = 0;
    length = chat.length;
    if (resumes++ >= RESUMES) {
      const failed = engineFailed('engine stream broke repeatedly');
      return {kind: 'refused', refusal: failed, mayRun: true};
    }
    const waitMs = RESUME_BACKOFF_MS * 2 ** (resumes - 1) * (0.5 + random());
    await chat.changed.wait(waitMs, chat.stop.signal);
    stream = engine.resume(chat.generationId, chat.length);
  }
}
