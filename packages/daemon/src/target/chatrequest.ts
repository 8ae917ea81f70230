/** Checks of the values of a chat request. */
import {refusal, type Refusal} from '@balsamnotch/core';
import type {ChatRequest} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import type {CheckedEnvelope} from './admission.js';
import type {Chat, ChatStart} from './chat.js';

/** Longest adapter or version name, in characters. */
const NAME_MAX_LENGTH = 128;

/** Longest answer of one chat, in tokens. */
const TOKENS_MAX = 1_000_000;

function bad(message: string): Result<never, Refusal> {
  return Err(refusal('bad_message', message));
}

function isName(name: string): boolean {
  return name.length > 0 && name.length <= NAME_MAX_LENGTH;
}

/** Size of the text of a request, in UTF-16 code units; at most its size in bytes. */
function textLength({messages, prefix}: ChatRequest): number {
  const texts = [
    ...messages.flatMap(message => [message.role, message.content]),
    ...prefix,
  ];
  return texts.reduce((sum, text) => sum + text.length, 0);
}

/** What a chat is started with, if the values of its request are possible. */
export function checkChatRequest(
  request: ChatRequest,
  envelope: CheckedEnvelope,
  options: {readonly arrivedMs: number; readonly bodyBytes: number},
): Result<ChatStart, Refusal> {
  const {adapter, version, priority, messages, prefix, maxTokens} = request;
  if (!isName(adapter) || !isName(version)) return bad('impossible adapter');
  if (textLength(request) > options.bodyBytes) return bad('oversized chat');
  if (maxTokens > TOKENS_MAX) return bad('impossible number of tokens');
  if (priority !== 'interactive' && priority !== 'batch' && priority !== '') {
    return bad('unknown priority');
  }
  if (!request.attach && (messages.length === 0 || maxTokens === 0)) {
    return bad('chat without messages or tokens');
  }
  return Ok({
    id: envelope.requestId,
    caller: envelope.caller,
    deadlineMs: envelope.deadlineMs,
    arrivedMs: options.arrivedMs,
    adapter,
    version,
    priority: priority === 'batch' ? 'batch' : 'interactive',
    messages: messages.map(({role, content}) => ({role, content})),
    maxTokens,
    prefix: [...prefix],
    base: request.attach ? request.offset : prefix.length,
  });
}

/** Refuses an attachment that does not fit the chat; undefined when it fits. */
export function refuseAttachment(
  chat: Chat,
  start: ChatStart,
): Refusal | undefined {
  // An id alone must not give one caller the answer of another.
  if (chat.start.caller !== start.caller) {
    return refusal('not_found', 'this target does not hold the chat');
  }
  if (chat.adapter !== start.adapter || chat.version !== start.version) {
    return refusal('bad_message', 'request id belongs to another chat');
  }
  return undefined;
}

/** Refuses an offset that the chat cannot have; undefined when it is possible. */
export function refuseOffset(chat: Chat, offset: number): Refusal | undefined {
  if (offset >= chat.start.base && offset <= chat.length) return undefined;
  return refusal('bad_offset', `offset ${offset} of ${chat.length} tokens`);
}

/**
 * Tells whether a start with the id of a known chat may read that chat: its
 * prefix must be what the chat has. An entry that continued an answer at another
 * target and comes back has other tokens, and the rest would not fit them.
 */
export function continuesChat(chat: Chat, start: ChatStart): boolean {
  const {base, prefix} = chat.start;
  if (start.base < base) return true;
  if (start.base > chat.length) return false;
  return start.prefix.every((token, offset) => {
    const known = offset < base ? prefix[offset] : chat.tokens[offset - base];
    // A chat that was taken over from the engine does not know its prefix.
    return known === undefined || known === token;
  });
}
