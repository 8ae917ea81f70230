/** Wire events of chats and calls. */
import {create} from '@bufbuild/protobuf';
import type {CallAnswer, Refusal} from '@balsamnotch/core';
import * as wire from '@balsamnotch/wire';
import {refusalToWire} from '../node/convert.js';
import type {Chat} from './chat.js';

/** First event of a chat stream. */
export function chatAccepted(report: wire.Report): wire.ChatEvent {
  return create(wire.ChatEventSchema, {
    event: {case: 'accepted', value: {report}},
  });
}

/** Tokens of a chat from an offset to its present end. */
export function chatChunk(chat: Chat, offset: number): wire.ChatEvent {
  const {id, adapter, version, engineIncarnation} = chat;
  const tokens = chat.tokens.slice(offset - chat.start.base);
  return create(wire.ChatEventSchema, {
    event: {
      case: 'chunk',
      value: {
        requestId: id,
        adapter,
        version,
        engineIncarnation,
        offset,
        tokens,
      },
    },
  });
}

/** Last event of a complete chat. */
export function chatEnd(chat: Chat, report: wire.Report): wire.ChatEvent {
  const {id: requestId, length: total, finishReason} = chat;
  return create(wire.ChatEventSchema, {
    event: {case: 'end', value: {requestId, total, finishReason, report}},
  });
}

/** Last event of a refused chat. */
export function chatRefusal(
  refused: Refusal,
  report: wire.Report,
): wire.ChatEvent {
  return create(wire.ChatEventSchema, {
    event: {case: 'refusal', value: refusalToWire(refused)},
    report,
  });
}

/** Sent when nothing else was for a while. */
export function chatHeartbeat(): wire.ChatEvent {
  return create(wire.ChatEventSchema, {event: {case: 'heartbeat', value: {}}});
}

/** Result message of a call. */
export function callResult(
  answer: CallAnswer,
  report: wire.Report,
): wire.CallResult {
  return create(wire.CallResultSchema, {...answer, report});
}

/** Last event of an answered call. */
export function callAnswered(
  answer: CallAnswer,
  report: wire.Report,
): wire.CallEvent {
  return create(wire.CallEventSchema, {
    event: {case: 'result', value: callResult(answer, report)},
  });
}

/** Last event of a refused call. */
export function callRefusal(
  refused: Refusal,
  report: wire.Report,
): wire.CallEvent {
  return create(wire.CallEventSchema, {
    event: {case: 'refusal', value: refusalToWire(refused)},
    report,
  });
}

/** Sent when nothing else was for a while. */
export function callHeartbeat(): wire.CallEvent {
  return create(wire.CallEventSchema, {event: {case: 'heartbeat', value: {}}});
}
