/** `Target.Chat` and `Target.Cancel`: starts chats, and streams them to entries. */
import {refusal, type Refusal} from '@balsamnotch/core';
import type {ChatEvent, ChatRequest, Envelope, Report} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  checkEnvelope,
  checkIncarnation,
  refuseNewWork,
  type AdmissionParts,
  type CheckedEnvelope,
} from './admission.js';
import {CHAT_STATE, type Chat, type ChatStart} from './chat.js';
import {
  checkChatRequest,
  continuesChat,
  refuseAttachment,
  refuseOffset,
} from './chatrequest.js';
import type {ChatController} from './chats.js';
import {
  chatAccepted,
  chatChunk,
  chatEnd,
  chatHeartbeat,
  chatRefusal,
} from './events.js';
import type {TargetLimits} from './systems.js';
import {whilePending} from './wakeup.js';

/** Parts of the chat service. */
export interface ChatServiceParts extends AdmissionParts {
  readonly chats: ChatController;
  readonly limits: TargetLimits;
  readonly report: () => Report;
  /** Requests in progress at this node. */
  readonly inProgress: () => number;
}

/** A chat to read from an offset. */
interface Reading {
  readonly chat: Chat;
  readonly offset: number;
}

/** Stream of one attachment to a chat. */
export async function* serveChat(
  request: ChatRequest,
  signal: AbortSignal,
  parts: ChatServiceParts,
): AsyncGenerator<ChatEvent> {
  // Fetching a later revision may take longer than an entry waits in silence.
  const opening = whilePending(
    openChat(request, parts),
    parts.limits.heartbeatMs,
  );
  let step = await opening.next();
  for (; !step.done; step = await opening.next()) yield chatHeartbeat();
  const reading = step.value;
  if (reading.isErr()) {
    parts.context.metrics.refused(reading.error.reason);
    yield chatRefusal(reading.error, parts.report());
    return;
  }
  yield* readChat(reading.value, signal, parts);
}

async function openChat(
  request: ChatRequest,
  parts: ChatServiceParts,
): Promise<Result<Reading, Refusal>> {
  const arrivedMs = parts.context.clock.monotonicMs();
  const envelope = checkEnvelope(request.envelope, arrivedMs);
  if (envelope.isErr()) return Err(envelope.error);
  if (request.service !== parts.context.settings.service) {
    return Err(refusal('unknown_service', 'not a service of this target'));
  }
  const {bodyBytes} = parts.context.settings.limits;
  const options = {arrivedMs, bodyBytes};
  const start = checkChatRequest(request, envelope.value, options);
  if (start.isErr()) return Err(start.error);
  const attached = attach(request, start.value, envelope.value, parts);
  if (attached !== undefined) return attached;
  return beginChat(request, start.value, envelope.value, parts);
}

/** Attaches to a chat that this node or its engine holds; undefined when a new one is to start. */
function attach(
  request: ChatRequest,
  start: ChatStart,
  envelope: CheckedEnvelope,
  {chats, context, pauses}: ChatServiceParts,
): Result<Reading, Refusal> | undefined {
  const {offset} = request;
  const known = chats.find(start.id);
  if (known === undefined && !request.attach) return undefined;
  const wrong = checkIncarnation(envelope, context.incarnation);
  if (wrong !== undefined) return Err(wrong);
  if (known !== undefined) {
    const refused = refuseAttachment(known, start);
    if (refused !== undefined) return Err(refused);
    if (!request.attach && !continuesChat(known, start)) {
      chats.cancel(known, 'replaced by a start with another prefix');
      return undefined;
    }
    const wrongOffset = refuseOffset(known, offset);
    return wrongOffset ? Err(wrongOffset) : Ok({chat: known, offset});
  }
  if (pauses.isPaused()) return Err(refusal('paused', 'node was paused'));
  return Ok({chat: chats.adopt(start), offset});
}

async function beginChat(
  request: ChatRequest,
  start: ChatStart,
  envelope: CheckedEnvelope,
  parts: ChatServiceParts,
): Promise<Result<Reading, Refusal>> {
  const {offset} = request;
  if (offset !== start.base) {
    return Err(refusal('bad_offset', 'offset and prefix do not match'));
  }
  const refused = await refuseNewWork(envelope, parts);
  if (refused !== undefined) return Err(refused);
  // The same chat may have arrived on another connection in the meantime.
  const attached = attach(request, start, envelope, parts);
  if (attached !== undefined) return attached;
  if (parts.inProgress() >= parts.context.settings.limits.requests) {
    return Err(refusal('overloaded', 'too many requests in progress'));
  }
  return parts.chats.begin(start).map(chat => ({chat, offset}));
}

/** Next event of an attachment, with its effect on the reading position. */
function nextEvent(
  chat: Chat,
  position: number,
  report: () => Report,
): ChatEvent | undefined {
  if (chat.engineIncarnation !== '' && position < chat.length) {
    return chatChunk(chat, position);
  }
  if (chat.state === CHAT_STATE.ended) return chatEnd(chat, report());
  if (chat.refused !== undefined) return chatRefusal(chat.refused, report());
  return undefined;
}

async function* readChat(
  {chat, offset}: Reading,
  signal: AbortSignal,
  {context, limits, report}: ChatServiceParts,
): AsyncGenerator<ChatEvent> {
  const reader = Symbol(chat.id);
  chat.reader = reader;
  // Wakes an older attachment, which ends.
  chat.changed.notify();
  let position = offset;
  try {
    yield chatAccepted(report());
    while (chat.reader === reader && !signal.aborted) {
      const event = nextEvent(chat, position, report);
      if (event === undefined) {
        const {length, state} = chat;
        await chat.changed.wait(limits.heartbeatMs, signal);
        const silent = chat.length === length && chat.state === state;
        if (silent && chat.reader === reader) yield chatHeartbeat();
        continue;
      }
      const {event: kind} = event;
      if (kind.case === 'refusal') {
        context.metrics.refused(chat.refused?.reason ?? 'engine_failed');
      }
      yield event;
      if (kind.case === 'end') chat.readMs = context.clock.monotonicMs();
      if (kind.case === 'chunk') position += kind.value.tokens.length;
      else return;
    }
  } finally {
    if (chat.reader === reader) {
      chat.reader = undefined;
      chat.detachedMs = context.clock.monotonicMs();
    }
  }
}

/** Cancels the chat of the caller that asks. */
export function cancelChat(
  envelope: Envelope | undefined,
  {chats, context}: ChatServiceParts,
): void {
  const checked = checkEnvelope(envelope, context.clock.monotonicMs());
  if (checked.isErr()) return context.metrics.refused(checked.error.reason);
  const chat = chats.find(checked.value.requestId);
  if (chat === undefined || chat.start.caller !== checked.value.caller) return;
  chats.cancel(chat, 'caller no longer reads');
}
