/** Validation of chat requests and of attachments to existing chats. */
import {refusal, type Refusal} from '@balsamnotch/core';
import type {ChatRequest} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import type {CheckedEnvelope} from './admission.js';
import type {Chat, ChatSpec} from './chat.js';

/** Longest adapter or version name, in UTF-16 code units. */
const MAX_NAME_LENGTH = 128;

/** Largest `max_tokens` of one chat. */
const MAX_ANSWER_TOKENS = 1_000_000;

function invalid(message: string): Result<never, Refusal> {
  return Err(refusal('bad_message', message));
}

function isName(name: string): boolean {
  return name.length > 0 && name.length <= MAX_NAME_LENGTH;
}

/** Length of all texts of a request, in UTF-16 code units, which is at most their size in bytes. */
function textLength({messages, prefix}: ChatRequest): number {
  const texts = [
    ...messages.flatMap(message => [message.role, message.content]),
    ...prefix,
  ];
  return texts.reduce((sum, text) => sum + text.length, 0);
}

/** Validates a chat request; refuses values out of range as `bad_message`. */
export function checkChatRequest(
  request: ChatRequest,
  envelope: CheckedEnvelope,
  options: {readonly arrivedAtMs: number; readonly maxBytes: number},
): Result<ChatSpec, Refusal> {
  const {adapter, version, priority, messages, prefix, maxTokens} = request;
  if (!isName(adapter) || !isName(version)) return invalid('invalid adapter');
  if (textLength(request) > options.maxBytes) return invalid('chat too long');
  if (maxTokens > MAX_ANSWER_TOKENS) return invalid('max_tokens is too large');
  if (priority !== 'interactive' && priority !== 'batch' && priority !== '') {
    return invalid('unknown priority');
  }
  if (!request.attach && (messages.length === 0 || maxTokens === 0)) {
    return invalid('chat has no messages, or max_tokens is 0');
  }
  return Ok({
    id: envelope.requestId,
    caller: envelope.caller,
    deadlineMs: envelope.deadlineMs,
    arrivedAtMs: options.arrivedAtMs,
    adapter,
    version,
    priority: priority === 'batch' ? 'batch' : 'interactive',
    messages: messages.map(({role, content}) => ({role, content})),
    maxTokens,
    prefix: [...prefix],
    baseOffset: request.attach ? request.offset : prefix.length,
  });
}

/** Refuses an attachment by another caller or for another adapter; undefined if it is allowed. */
export function refuseAttachment(
  chat: Chat,
  spec: ChatSpec,
): Refusal | undefined {
  // The request id alone must not let one caller read the answer of another.
  if (chat.spec.caller !== spec.caller) {
    return refusal('not_found', 'chat is not known to this target');
  }
  if (chat.adapter !== spec.adapter || chat.version !== spec.version) {
    return refusal(
      'bad_message',
      'request id is in use by a chat of another adapter version',
    );
  }
  return undefined;
}

/** Refuses an offset outside the tokens that the chat has; undefined if it is in range. */
export function refuseOffset(chat: Chat, offset: number): Refusal | undefined {
  if (offset >= chat.spec.baseOffset && offset <= chat.length) return undefined;
  return refusal(
    'bad_offset',
    `offset ${offset} is out of range: the chat has ${chat.length} tokens`,
  );
}

/**
 * Returns whether a request to start a chat may read the existing chat with the
 * same id: its prefix must equal the tokens of that chat. An entry that continued
 * the answer at another target and then returns has different tokens, which the
 * rest of the existing chat would not continue.
 */
export function continuesChat(chat: Chat, spec: ChatSpec): boolean {
  const {baseOffset, prefix} = chat.spec;
  if (spec.baseOffset < baseOffset) return true;
  if (spec.baseOffset > chat.length) return false;
  return spec.prefix.every((token, offset) => {
    const knownToken =
      offset < baseOffset ? prefix[offset] : chat.tokens[offset - baseOffset];
    // This node does not have the prefix of a chat that it adopted from the engine.
    return knownToken === undefined || knownToken === token;
  });
}
