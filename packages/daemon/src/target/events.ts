/** Builds the wire events of chat and call streams. */
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

/** Tokens of a chat from `offset` up to the last one received so far. */
export function chatChunk(chat: Chat, offset: number): wire.ChatEvent {
  const {id, adapter, version, engineIncarnation} = chat;
  const tokens = chat.tokens.slice(offset - chat.spec.baseOffset);
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
  refusal: Refusal,
  report: wire.Report,
): wire.ChatEvent {
  return create(wire.ChatEventSchema, {
    event: {case: 'refusal', value: refusalToWire(refusal)},
    report,
  });
}

/** Keeps a chat stream alive after an interval without other events. */
export function chatHeartbeat(): wire.ChatEvent {
  return create(wire.ChatEventSchema, {event: {case: 'heartbeat', value: {}}});
}

/** Wire message with the answer of a call; also part of a settle response. */
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
  refusal: Refusal,
  report: wire.Report,
): wire.CallEvent {
  return create(wire.CallEventSchema, {
    event: {case: 'refusal', value: refusalToWire(refusal)},
    report,
  });
}

/** Keeps a call stream alive after an interval without other events. */
export function callHeartbeat(): wire.CallEvent {
  return create(wire.CallEventSchema, {event: {case: 'heartbeat', value: {}}});
}
