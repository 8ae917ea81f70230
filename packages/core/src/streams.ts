/** Assembles one chat answer from the chunks of one or more attempts. */
import {Err, Ok, type Result} from 'ts-results-es';
import type {AdapterVersion} from './report.js';

/** Identity that every chunk of an answer must carry. */
export interface AnswerIdentity extends AdapterVersion {
  readonly requestId: string;
}

/** Consecutive tokens of one answer. */
export interface Chunk extends AnswerIdentity {
  readonly engineIncarnation: string;
  /** Position of the first token of the chunk in the whole answer. */
  readonly offset: number;
  readonly tokens: readonly string[];
}

/** End event of an answer, sent after its last chunk. */
export interface AnswerEnd {
  readonly requestId: string;
  /** Number of tokens in the whole answer. */
  readonly total: number;
  readonly finishReason: string;
}

/** Reasons for rejecting a chunk or an end event. */
export const STREAM_FAULT = {
  /** It belongs to an abandoned attempt and is ignored. */
  stale: 'stale',
  /** It belongs to another request, adapter or version. */
  wrongIdentity: 'wrong_identity',
  /** The engine restarted within one attempt. */
  engineChanged: 'engine_changed',
  /** Tokens are missing before the chunk or the end event. They are fetched again. */
  gap: 'gap',
  /** The end event states fewer tokens than were received. */
  tooMany: 'too_many',
  /** The answer is already complete. */
  afterEnd: 'after_end',
} as const;

/** One of the values of {@link STREAM_FAULT}. */
export type StreamFault = (typeof STREAM_FAULT)[keyof typeof STREAM_FAULT];

/** Linked list of accepted tokens, newest first. Adding tokens copies none of the earlier ones. */
interface TokenList {
  readonly tokens: readonly string[];
  readonly previous?: TokenList;
}

/** The part of an answer received so far. */
export interface Assembly {
  readonly identity: AnswerIdentity;
  /** Number of the attempt whose chunks are accepted; 0 before the first. */
  readonly attempt: number;
  /** Engine incarnation that serves this attempt; empty before its first chunk. */
  readonly engineIncarnation: string;
  /** Number of tokens received, which is also the next expected offset. */
  readonly received: number;
  readonly newestTokens?: TokenList;
  /** Set when the answer is complete. */
  readonly finishReason?: string;
}

/** Result of an accepted chunk: the new assembly and the tokens not received before. */
export interface AcceptedChunk {
  readonly assembly: Assembly;
  readonly fresh: readonly string[];
}

/** Returns the assembly of an answer before its first token. */
export function emptyAssembly(identity: AnswerIdentity): Assembly {
  return {identity, attempt: 0, engineIncarnation: '', received: 0};
}

/**
 * Starts another attempt: a send, a reattach or a continuation. Chunks of
 * earlier attempts become stale. The engine incarnation may change only between
 * attempts.
 */
export function startAttempt(assembly: Assembly): Assembly {
  return {...assembly, attempt: assembly.attempt + 1, engineIncarnation: ''};
}

function matchesIdentity(identity: AnswerIdentity, chunk: Chunk): boolean {
  return (
    chunk.requestId === identity.requestId &&
    chunk.adapter === identity.adapter &&
    chunk.version === identity.version
  );
}

function findChunkFault(
  assembly: Assembly,
  attempt: number,
  chunk: Chunk,
): StreamFault | undefined {
  if (attempt !== assembly.attempt) return STREAM_FAULT.stale;
  if (assembly.finishReason !== undefined) return STREAM_FAULT.afterEnd;
  if (!matchesIdentity(assembly.identity, chunk)) {
    return STREAM_FAULT.wrongIdentity;
  }
  const expectedEngine = assembly.engineIncarnation;
  if (expectedEngine !== '' && chunk.engineIncarnation !== expectedEngine) {
    return STREAM_FAULT.engineChanged;
  }
  if (chunk.offset > assembly.received) return STREAM_FAULT.gap;
  return undefined;
}

/** Adds a chunk of an attempt. Skips tokens that were already received. */
export function acceptChunk(
  assembly: Assembly,
  attempt: number,
  chunk: Chunk,
): Result<AcceptedChunk, StreamFault> {
  const fault = findChunkFault(assembly, attempt, chunk);
  if (fault !== undefined) return Err(fault);
  const fresh = chunk.tokens.slice(assembly.received - chunk.offset);
  const next = {...assembly, engineIncarnation: chunk.engineIncarnation};
  if (fresh.length === 0) return Ok({assembly: next, fresh});
  return Ok({
    assembly: {
      ...next,
      received: assembly.received + fresh.length,
      newestTokens: {tokens: fresh, previous: assembly.newestTokens},
    },
    fresh,
  });
}

/** Completes the answer if the total in the end event equals the number of tokens received. */
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

/** Returns all tokens received, in order. */
export function assembledTokens(assembly: Assembly): readonly string[] {
  const batches: (readonly string[])[] = [];
  for (
    let batch = assembly.newestTokens;
    batch !== undefined;
    batch = batch.previous
  ) {
    batches.push(batch.tokens);
  }
  return batches.reverse().flat();
}
