/** Assembly of one chat answer from the chunks of one or more attempts. */
import {Err, Ok, type Result} from 'ts-results-es';
import type {AdapterVersion} from './report.js';

/** What every chunk of an answer must name. */
export interface AnswerIdentity extends AdapterVersion {
  readonly requestId: string;
}

/** Tokens of one answer as they arrive. */
export interface Chunk extends AnswerIdentity {
  readonly engineIncarnation: string;
  /** Position of the first token in the whole answer. */
  readonly offset: number;
  readonly tokens: readonly string[];
}

/** End event of an answer. */
export interface AnswerEnd {
  readonly requestId: string;
  /** Tokens of the whole answer. */
  readonly total: number;
  readonly finishReason: string;
}

/** Why a chunk or an end was not accepted. */
export const STREAM_FAULT = {
  /** From an attempt that was abandoned; it is ignored. */
  stale: 'stale',
  /** Of another request, adapter or version. */
  wrongIdentity: 'wrong_identity',
  /** The engine restarted within one attempt. */
  engineChanged: 'engine_changed',
  /** Tokens are missing before the chunk or the end; they are fetched again. */
  gap: 'gap',
  /** The end names fewer tokens than were received. */
  tooMany: 'too_many',
  /** The answer was complete before. */
  afterEnd: 'after_end',
} as const;

/** One of the values of {@link STREAM_FAULT}. */
export type StreamFault = (typeof STREAM_FAULT)[keyof typeof STREAM_FAULT];

/** Accepted tokens, newest first, so that adding some copies none. */
interface Part {
  readonly tokens: readonly string[];
  readonly before?: Part;
}

/** An answer as far as it was received. */
export interface Assembly {
  readonly identity: AnswerIdentity;
  /** Number of the attempt whose chunks are accepted; 0 before the first. */
  readonly attempt: number;
  /** Engine incarnation of this attempt; empty before its first chunk. */
  readonly engineIncarnation: string;
  /** Tokens received, and so the offset expected next. */
  readonly received: number;
  readonly parts?: Part;
  /** Set when the answer is complete. */
  readonly finishReason?: string;
}

/** An accepted chunk: the new assembly and the tokens that were not known before. */
export interface Accepted {
  readonly assembly: Assembly;
  readonly fresh: readonly string[];
}

/** An answer of which nothing was received. */
export function emptyAssembly(identity: AnswerIdentity): Assembly {
  return {identity, attempt: 0, engineIncarnation: '', received: 0};
}

/**
 * Starts another attempt: a send, a reattach or a continuation. Chunks of
 * earlier attempts are stale from now on. Only here may the engine
 * incarnation change.
 */
export function startAttempt(assembly: Assembly): Assembly {
  return {...assembly, attempt: assembly.attempt + 1, engineIncarnation: ''};
}

function identityMatches(identity: AnswerIdentity, chunk: Chunk): boolean {
  return (
    chunk.requestId === identity.requestId &&
    chunk.adapter === identity.adapter &&
    chunk.version === identity.version
  );
}

function chunkFault(
  assembly: Assembly,
  attempt: number,
  chunk: Chunk,
): StreamFault | undefined {
  if (attempt !== assembly.attempt) return STREAM_FAULT.stale;
  if (assembly.finishReason !== undefined) return STREAM_FAULT.afterEnd;
  if (!identityMatches(assembly.identity, chunk)) {
    return STREAM_FAULT.wrongIdentity;
  }
  const engine = assembly.engineIncarnation;
  if (engine !== '' && chunk.engineIncarnation !== engine) {
    return STREAM_FAULT.engineChanged;
  }
  if (chunk.offset > assembly.received) return STREAM_FAULT.gap;
  return undefined;
}

/** Adds a chunk of an attempt. Tokens that are known already are skipped. */
export function acceptChunk(
  assembly: Assembly,
  attempt: number,
  chunk: Chunk,
): Result<Accepted, StreamFault> {
  const fault = chunkFault(assembly, attempt, chunk);
  if (fault !== undefined) return Err(fault);
  const fresh = chunk.tokens.slice(assembly.received - chunk.offset);
  const next = {...assembly, engineIncarnation: chunk.engineIncarnation};
  if (fresh.length === 0) return Ok({assembly: next, fresh});
  return Ok({
    assembly: {
      ...next,
      received: assembly.received + fresh.length,
      parts: {tokens: fresh, before: assembly.parts},
    },
    fresh,
  });
}

/** Completes the answer when the total of the end equals the tokens received. */
export function acceptEnd(
  assembly: Assembly,
  attempt: number,
  end: AnswerEnd,
): Result<Assembly, StreamFault> {
  if (attempt !== assembly.attempt) return Err(STREAM_FAULT.stale);
  if (assembly.finishReason !== undefined) return Err(STREAM_FAULT.afterEnd);
  if (end.requestId !== assembly.identity.requestId) {
    return Err(STREAM_FAULT.wrongIdentity);
  }
  if (end.total > assembly.received) return Err(STREAM_FAULT.gap);
  if (end.total < assembly.received) return Err(STREAM_FAULT.tooMany);
  return Ok({...assembly, finishReason: end.finishReason});
}

/** All tokens received, in order. */
export function tokensOf(assembly: Assembly): readonly string[] {
  const parts: (readonly string[])[] = [];
  for (let part = assembly.parts; part !== undefined; part = part.before) {
    parts.push(part.tokens);
  }
  return parts.reverse().flat();
}
