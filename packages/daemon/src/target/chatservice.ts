/** `Target.Chat` and `Target.Cancel`: starts chats, streams them to entries and cancels them. */
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
import {CHAT_STATE, type Chat, type ChatSpec} from './chat.js';
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

/** Dependencies of the chat service. */
export interface ChatServiceParts extends AdmissionParts {
  readonly chats: ChatController;
  readonly limits: TargetLimits;
  readonly report: () => Report;
  /** Requests in progress at this node. */
  readonly inProgress: () => number;
}

/** A chat and the offset from which to read it. */
interface ReadPosition {
  readonly chat: Chat;
  readonly offset: number;
}

/** Streams a chat to one attachment, starting the chat if it is new. */
export async function* serveChat(
  request: ChatRequest,
  signal: AbortSignal,
  parts: ChatServiceParts,
): AsyncGenerator<ChatEvent> {
  // Heartbeats keep the stream alive, because catching up with a later revision
  // can take longer than an entry waits on a silent stream.
  const pendingOpen = whilePending(
    openChat(request, parts),
    parts.limits.heartbeatMs,
  );
  let step = await pendingOpen.next();
  for (; !step.done; step = await pendingOpen.next()) yield chatHeartbeat();
  const readPosition = step.value;
  if (readPosition.isErr()) {
    parts.context.metrics.refused(readPosition.error.reason);
    yield chatRefusal(readPosition.error, parts.report());
    return;
  }
  yield* readChat(readPosition.value, signal, parts);
}

async function openChat(
  request: ChatRequest,
  parts: ChatServiceParts,
): Promise<Result<ReadPosition, Refusal>> {
  const arrivedAtMs = parts.context.clock.monotonicMs();
  const envelope = checkEnvelope(request.envelope, arrivedAtMs);
  if (envelope.isErr()) return Err(envelope.error);
  if (request.service !== parts.context.settings.service) {
    return Err(
      refusal(
        'unknown_service',
        'this target does not serve the requested service',
      ),
    );
  }
  const {bodyBytes} = parts.context.settings.limits;
  const options = {arrivedAtMs, maxBytes: bodyBytes};
  const spec = checkChatRequest(request, envelope.value, options);
  if (spec.isErr()) return Err(spec.error);
  const attached = attach(request, spec.value, envelope.value, parts);
  if (attached !== undefined) return attached;
  return beginChat(request, spec.value, envelope.value, parts);
}

/**
 * Attaches to a chat that this node has, or adopts one from its engine. Returns
 * undefined if a new chat must be started.
 */
function attach(
  request: ChatRequest,
  spec: ChatSpec,
  envelope: CheckedEnvelope,
  {chats, context, pauses}: ChatServiceParts,
): Result<ReadPosition, Refusal> | undefined {
  const {offset} = request;
  const existing = chats.find(spec.id);
  if (existing === undefined && !request.attach) return undefined;
  const incarnationRefusal = checkIncarnation(envelope, context.incarnation);
  if (incarnationRefusal !== undefined) return Err(incarnationRefusal);
  if (existing !== undefined) {
    const attachmentRefusal = refuseAttachment(existing, spec);
    if (attachmentRefusal !== undefined) return Err(attachmentRefusal);
    if (!request.attach && !continuesChat(existing, spec)) {
      chats.cancel(existing, 'replaced by a request with another prefix');
      return undefined;
    }
    const offsetRefusal = refuseOffset(existing, offset);
    return offsetRefusal ? Err(offsetRefusal) : Ok({chat: existing, offset});
  }
  if (pauses.isPaused()) return Err(refusal('paused', 'node was paused'));
  return Ok({chat: chats.adopt(spec), offset});
}

async function beginChat(
  request: ChatRequest,
  spec: ChatSpec,
  envelope: CheckedEnvelope,
  parts: ChatServiceParts,
): Promise<Result<ReadPosition, Refusal>> {
  const {offset} = request;
  if (offset !== spec.baseOffset) {
    return Err(
      refusal('bad_offset', 'offset differs from the length of the prefix'),
    );
  }
  const admissionRefusal = await refuseNewWork(envelope, parts);
  if (admissionRefusal !== undefined) return Err(admissionRefusal);
  // While admission waited, another connection may have started the same chat.
  const attached = attach(request, spec, envelope, parts);
  if (attached !== undefined) return attached;
  if (parts.inProgress() >= parts.context.settings.limits.requests) {
    return Err(refusal('overloaded', 'too many requests in progress'));
  }
  return parts.chats.begin(spec).map(chat => ({chat, offset}));
}

/** Next event for an attachment at a token offset; undefined if there is nothing to send yet. */
function nextEvent(
  chat: Chat,
  position: number,
  report: () => Report,
): ChatEvent | undefined {
  if (chat.engineIncarnation !== '' && position < chat.length) {
    return chatChunk(chat, position);
  }
  if (chat.state === CHAT_STATE.ended) return chatEnd(chat, report());
  if (chat.refusal !== undefined) return chatRefusal(chat.refusal, report());
  return undefined;
}

async function* readChat(
  {chat, offset}: ReadPosition,
  signal: AbortSignal,
  {context, limits, report}: ChatServiceParts,
): AsyncGenerator<ChatEvent> {
  const reader = Symbol(chat.id);
  chat.reader = reader;
  // Wakes the previous attachment so that it ends.
  chat.changed.notify();
  let position = offset;
  try {
    yield chatAccepted(report());
    while (chat.reader === reader && !signal.aborted) {
      const event = nextEvent(chat, position, report);
      if (event === undefined) {
        const {length, state} = chat;
        await chat.changed.wait(limits.heartbeatMs, signal);
        const isUnchanged = chat.length === length && chat.state === state;
        if (isUnchanged && chat.reader === reader) yield chatHeartbeat();
        continue;
      }
      const {event: payload} = event;
      if (payload.case === 'refusal') {
        context.metrics.refused(chat.refusal?.reason ?? 'engine_failed');
      }
      yield event;
      if (payload.case === 'end') chat.readAtMs = context.clock.monotonicMs();
      if (payload.case === 'chunk') position += payload.value.tokens.length;
      else return;
    }
  } finally {
    if (chat.reader === reader) {
      chat.reader = undefined;
      chat.detachedAtMs = context.clock.monotonicMs();
    }
  }
}

/** Cancels a chat if the request comes from the chat's own caller. */
export function cancelChat(
  envelope: Envelope | undefined,
  {chats, context}: ChatServiceParts,
): void {
  const checked = checkEnvelope(envelope, context.clock.monotonicMs());
  if (checked.isErr()) return context.metrics.refused(checked.error.reason);
  const chat = chats.find(checked.value.requestId);
  if (chat === undefined || chat.spec.caller !== checked.value.caller) return;
  chats.cancel(chat, 'caller no longer reads the answer');
}
