/** Writes streamed chats to callers as server-sent events. */
import type {ServerResponse} from 'node:http';
import {REFUSAL_STATUS, type Refusal} from '@balsamnotch/core';
import type {ChatPiece, Reply} from './request.js';

/**
 * Time after which a caller that does not drain a full buffer is disconnected, in
 * milliseconds.
 */
export const CALLER_STALL_TIMEOUT_MS = 10_000;

/** Returns the JSON body that reports a refusal to the caller. */
export function errorBody(refusal: Refusal, requestId: string): unknown {
  const {reason, message, outcome, retryAfterMs} = refusal;
  return {error: {reason, message, outcome, retryAfterMs, requestId}};
}

/** Returns the HTTP status of a refusal. */
export function statusOf({reason}: Refusal): number {
  return REFUSAL_STATUS[reason];
}

function chunkObject(
  id: string,
  model: string,
  content: string,
  finishReason: string | null,
): unknown {
  const delta = content === '' ? {} : {content};
  return {
    id,
    object: 'chat.completion.chunk',
    model,
    choices: [{index: 0, delta, finish_reason: finishReason}],
  };
}

/** Result of writing a stream. */
export type WriteResult =
  | {readonly kind: 'complete'}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'caller_gone'};

/**
 * Resolves to true once the response accepts more data, or to false if the caller has
 * disconnected or the buffer was not drained within `stallMs`.
 */
export function waitUntilWritable(
  response: ServerResponse,
  stallMs: number,
): Promise<boolean> {
  if (response.destroyed) return Promise.resolve(false);
  if (!response.writableNeedDrain) return Promise.resolve(true);
  return new Promise(resolve => {
    const finish = (isWritable: boolean) => {
      clearTimeout(timer);
      response.off('drain', onDrain);
      response.off('close', onClose);
      resolve(isWritable);
    };
    const onDrain = () => finish(true);
    const onClose = () => finish(false);
    const timer = setTimeout(() => finish(false), stallMs);
    response.once('drain', onDrain);
    response.once('close', onClose);
  });
}

function eventText(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Formats a piece as server-sent events. */
function pieceText(piece: ChatPiece, id: string, model: string): string {
  switch (piece.kind) {
    case 'tokens':
      return eventText(chunkObject(id, model, piece.tokens.join(''), null));
    case 'end':
      return (
        eventText(chunkObject(id, model, '', piece.finishReason)) +
        'data: [DONE]\n\n'
      );
    case 'refused':
      return eventText(errorBody(piece.refusal, id));
  }
}

/**
 * Writes the pieces with backpressure: while the buffer is full, waits for the caller to
 * drain it before reading the next piece.
 */
export async function writeEvents(
  response: ServerResponse,
  reply: Extract<Reply, {kind: 'events'}>,
  stallMs: number,
): Promise<WriteResult> {
  const id = reply.headers['x-request-id'] ?? '';
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    ...reply.headers,
  });
  for await (const piece of reply.pieces) {
    response.write(pieceText(piece, id, reply.model));
    if (piece.kind === 'refused') {
      response.end();
      return {kind: 'refused', refusal: piece.refusal};
    }
    if (piece.kind === 'end') {
      response.end();
      return {kind: 'complete'};
    }
    if (!(await waitUntilWritable(response, stallMs))) break;
  }
  response.destroy();
  return {kind: 'caller_gone'};
}
