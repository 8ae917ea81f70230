/** The end of the filter chain: runs the work and builds the reply. */
import {refusal} from '@balsamnotch/core';
import {runCall} from './call.js';
import {candidatesOf} from './candidates.js';
import {runChat} from './chat.js';
import {
  admit,
  authenticate,
  identify,
  keepOutcomeOpen,
  limitCaller,
  limitSize,
  parse,
  permit,
  whileOpen,
} from './filters.js';
import type {Parts} from './parts.js';
import {
  jsonReply,
  modelName,
  refuse,
  type Arrival,
  type ChatPiece,
  type ChatPlan,
  type Identified,
  type Permitted,
  type Reply,
  type TicketPlan,
} from './request.js';
import {issueTicket} from './tickets.js';

async function* withFirst(
  first: ChatPiece,
  rest: AsyncGenerator<ChatPiece, void>,
): AsyncGenerator<ChatPiece, void> {
  try {
    yield first;
    yield* rest;
  } finally {
    // Also when the reader stops before it asked for the rest.
    await rest.return();
  }
}

function refusedChat(refused: ReturnType<typeof refusal>): Reply {
  return {kind: 'refused', refusal: refused, settled: true, headers: {}};
}

function callerGone(): Reply {
  const outcome = 'unknown';
  return refusedChat(refusal('caller_gone', 'caller went away', {outcome}));
}

/** Waits for the first piece, so that an early refusal has its own status. */
async function streamedChat(
  pieces: AsyncGenerator<ChatPiece, void>,
  plan: ChatPlan,
): Promise<Reply> {
  const first = await pieces.next();
  if (first.done) return callerGone();
  if (first.value.kind === 'refused') return refusedChat(first.value.refusal);
  return {
    kind: 'events',
    pieces: withFirst(first.value, pieces),
    model: modelName(plan),
    headers: {},
  };
}

async function wholeChat(
  pieces: AsyncGenerator<ChatPiece, void>,
  {requestId}: Permitted,
  plan: ChatPlan,
): Promise<Reply> {
  const tokens: string[] = [];
  for await (const piece of pieces) {
    if (piece.kind === 'refused') return refusedChat(piece.refusal);
    if (piece.kind === 'tokens') {
      tokens.push(...piece.tokens);
      continue;
    }
    return jsonReply(200, {
      id: requestId,
      object: 'chat.completion',
      model: modelName(plan),
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: tokens.join('')},
          finish_reason: piece.finishReason,
        },
      ],
      usage: {completion_tokens: piece.total},
    });
  }
  return callerGone();
}

function runTicket(parts: Parts, request: Permitted, plan: TicketPlan): Reply {
  const target = candidatesOf(parts, plan, request.configuration)[0];
  const ticket =
    target && issueTicket(parts, request.caller.name, target)?.text;
  if (!ticket) {
    const options = {retryAfterMs: 1_000};
    return refuse(refusal('no_target', 'no target takes new work', options));
  }
  return jsonReply(200, {ticket}, {'idempotency-key': ticket});
}

async function route(parts: Parts, request: Permitted): Promise<Reply> {
  const {plan} = request;
  switch (plan.kind) {
    case 'chat': {
      const pieces = runChat(parts, request, plan);
      return plan.task.stream
        ? streamedChat(pieces, plan)
        : wholeChat(pieces, request, plan);
    }
    case 'call':
      return runCall(parts, request, plan);
    case 'ticket':
      return runTicket(parts, request, plan);
  }
}

/** The whole path of a request. */
export function handler(parts: Parts): (arrival: Arrival) => Promise<Reply> {
  const checkOpen = whileOpen(parts);
  const identifyRequest = identify(parts);
  const authenticateCaller = authenticate(parts);
  const limitRate = limitCaller(parts);
  const admitWork = admit(parts);
  const permitted = (request: Permitted) =>
    limitRate(request, limited =>
      admitWork(limited, admitted => route(parts, admitted)),
    );
  const opened = (request: Identified) =>
    authenticateCaller(request, known =>
      limitSize(known, sized =>
        parse(sized, parsed => permit(parsed, permitted)),
      ),
    );
  return arrival =>
    identifyRequest(arrival, identified =>
      keepOutcomeOpen(identified, request => checkOpen(request, opened)),
    );
}
