/** Writes a streamed chat to its caller as server-sent events. */
import type {ServerResponse} from 'node:http';
import {REFUSAL_STATUS, type Refusal} from '@balsamnotch/core';
import type {ChatPiece, Reply} from './request.js';

/** Time that a caller may leave a full buffer unread, in milliseconds. */
export const CALLER_STALL_MS = 10_000;

/** Error object of a refusal towards callers. */
export function errorBody(refused: Refusal, requestId: string): unknown {
  const {reason, message, outcome, retryAfterMs} = refused;
  return {error: {reason, message, outcome, retryAfterMs, requestId}};
}

/** HTTP status of a refusal. */
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

/** How the writing of a stream ended. */
export type WriteEnd =
  | {readonly kind: 'complete'}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'caller_gone'};

/**
 * Resolves to true when the response takes more data, to false when the caller
 * is gone or has read nothing for `stallMs`.
 */
export function writable(
  response: ServerResponse,
  stallMs: number,
): Promise<boolean> {
  if (response.destroyed) return Promise.resolve(false);
  if (!response.writableNeedDrain) return Promise.resolve(true);
  return new Promise(resolve => {
    const finish = (value: boolean) => {
      clearTimeout(timer);
      response.off('drain', onDrain);
      response.off('close', onClose);
      resolve(value);
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

/** Events of one piece. */
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

/** Writes the pieces; reads no further piece while the caller does not read. */
export async function writeEvents(
  response: ServerResponse,
  reply: Extract<Reply, {kind: 'events'}>,
  stallMs: number,
): Promise<WriteEnd> {
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
    if (!(await writable(response, stallMs))) break;
  }
  response.destroy();
  return {kind: 'caller_gone'};
}
