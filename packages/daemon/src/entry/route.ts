/** Builds the filter chain, executes permitted requests and creates their replies. */
import {refusal} from '@balsamnotch/core';
import {runCall} from './call.js';
import {candidateNames} from './candidates.js';
import {runChat} from './chat.js';
import {
  admit,
  authenticate,
  assignRequestId,
  keepOutcomeUnknown,
  limitCallerRate,
  readBodyWithinLimit,
  parseRequest,
  authorize,
  requireOpen,
} from './filters.js';
import type {EntryComponents} from './parts.js';
import {
  jsonReply,
  modelName,
  refuse,
  type IncomingRequest,
  type ChatPiece,
  type ChatPlan,
  type IdentifiedRequest,
  type PermittedRequest,
  type Reply,
  type TicketPlan,
} from './request.js';
import {issueTicket} from './tickets.js';

async function* prependPiece(
  first: ChatPiece,
  rest: AsyncGenerator<ChatPiece, void>,
): AsyncGenerator<ChatPiece, void> {
  try {
    yield first;
    yield* rest;
  } finally {
    // Needed if the reader stops at the first piece, before it iterates over the rest.
    await rest.return();
  }
}

function refusalReply(chatRefusal: ReturnType<typeof refusal>): Reply {
  return {
    kind: 'refused',
    refusal: chatRefusal,
    isFinal: true,
    headers: {},
  };
}

function callerGoneReply(): Reply {
  const outcome = 'unknown';
  return refusalReply(refusal('caller_gone', 'caller went away', {outcome}));
}

/**
 * Waits for the first piece, because a refusal can only set the HTTP status before
 * streaming starts.
 */
async function streamedChat(
  pieces: AsyncGenerator<ChatPiece, void>,
  plan: ChatPlan,
): Promise<Reply> {
  const first = await pieces.next();
  if (first.done) return callerGoneReply();
  if (first.value.kind === 'refused') return refusalReply(first.value.refusal);
  return {
    kind: 'events',
    pieces: prependPiece(first.value, pieces),
    model: modelName(plan),
    headers: {},
  };
}

async function bufferedChat(
  pieces: AsyncGenerator<ChatPiece, void>,
  {requestId}: PermittedRequest,
  plan: ChatPlan,
): Promise<Reply> {
  const tokens: string[] = [];
  for await (const piece of pieces) {
    if (piece.kind === 'refused') return refusalReply(piece.refusal);
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
  return callerGoneReply();
}

function ticketReply(
  entry: EntryComponents,
  request: PermittedRequest,
  plan: TicketPlan,
): Reply {
  const target = candidateNames(entry, plan, request.configuration)[0];
  const ticket =
    target && issueTicket(entry, request.caller.name, target)?.text;
  if (!ticket) {
    const options = {retryAfterMs: 1_000};
    return refuse(refusal('no_target', 'no target takes new work', options));
  }
  return jsonReply(200, {ticket}, {'idempotency-key': ticket});
}

async function execute(
  entry: EntryComponents,
  request: PermittedRequest,
): Promise<Reply> {
  const {plan} = request;
  switch (plan.kind) {
    case 'chat': {
      const pieces = runChat(entry, request, plan);
      return plan.task.stream
        ? streamedChat(pieces, plan)
        : bufferedChat(pieces, request, plan);
    }
    case 'call':
      return runCall(entry, request, plan);
    case 'ticket':
      return ticketReply(entry, request, plan);
  }
}

/** Creates the request handler: the filter chain followed by execution. */
export function createHandler(
  entry: EntryComponents,
): (request: IncomingRequest) => Promise<Reply> {
  const checkOpen = requireOpen(entry);
  const identifyRequest = assignRequestId(entry);
  const authenticateCaller = authenticate(entry);
  const limitRate = limitCallerRate(entry);
  const admitWork = admit(entry);
  const handlePermitted = (request: PermittedRequest) =>
    limitRate(request, limited =>
      admitWork(limited, admitted => execute(entry, admitted)),
    );
  const handleOpen = (request: IdentifiedRequest) =>
    authenticateCaller(request, authenticated =>
      readBodyWithinLimit(authenticated, buffered =>
        parseRequest(buffered, parsed => authorize(parsed, handlePermitted)),
      ),
    );
  return incoming =>
    identifyRequest(incoming, identified =>
      keepOutcomeUnknown(identified, request => checkOpen(request, handleOpen)),
    );
}
