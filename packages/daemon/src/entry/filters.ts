/** Request filters of the entry, in the order in which they run. */
import {createHash} from 'node:crypto';
import type {Caller, Configuration} from '@balsamnotch/config';
import {
  OUTCOME,
  admit as admitRequest,
  decodeTicket,
  refusal,
} from '@balsamnotch/core';
import {refreshCandidates} from './candidates.js';
import type {EntryComponents} from './parts.js';
import {parseBudget, parsePriority, parseTask} from './parse.js';
import {planRequest} from './plan.js';
import {
  refuse,
  type IncomingRequest,
  type AuthenticatedRequest,
  type Filter,
  type IdentifiedRequest,
  type ParsedRequest,
  type PermittedRequest,
  type BufferedRequest,
} from './request.js';

/** Assigns a request ID, and records request count, duration and refusals. */
export function assignRequestId({
  context,
  limits,
}: EntryComponents): Filter<IncomingRequest, IdentifiedRequest> {
  return async (request, next) => {
    const requestId = context.randomId();
    limits.countRequest();
    context.metrics.count('requests');
    const reply = await next({...request, requestId});
    const nowMs = context.clock.monotonicMs();
    context.metrics.timing('request_ms', nowMs - request.receivedAtMs);
    if (reply.kind === 'refused') context.metrics.refused(reply.refusal.reason);
    return {...reply, headers: {...reply.headers, 'x-request-id': requestId}};
  };
}

/**
 * Reports the outcome `unknown` if a request with a caller's ticket is refused before
 * it reaches a target: an earlier request with this ticket may have started the call.
 */
export const keepOutcomeUnknown: Filter<
  IdentifiedRequest,
  IdentifiedRequest
> = async (request, next) => {
  const reply = await next(request);
  const key = request.headers['idempotency-key'];
  const hasTicket = typeof key === 'string' && decodeTicket(key).isOk();
  if (reply.kind !== 'refused' || reply.isFinal || !hasTicket) return reply;
  const headers = {...reply.headers, 'idempotency-key': key};
  const unknownRefusal = {...reply.refusal, outcome: OUTCOME.unknown};
  return {...reply, refusal: unknownRefusal, headers};
};

/**
 * Refuses all requests while the entry is at its request limit or no longer accepts
 * requests.
 */
export function requireOpen({
  closedRefusal,
}: EntryComponents): Filter<IdentifiedRequest, IdentifiedRequest> {
  return async (request, next) => {
    const currentRefusal = closedRefusal();
    return currentRefusal === undefined
      ? next(request)
      : refuse(currentRefusal);
  };
}

/** Per configuration, callers by the SHA-256 hash of their key. */
const callersByConfiguration = new WeakMap<
  Configuration,
  ReadonlyMap<string, Caller>
>();

function callerOf(
  configuration: Configuration,
  key: string,
): Caller | undefined {
  let callers = callersByConfiguration.get(configuration);
  if (callers === undefined) {
    callers = new Map(
      configuration.callers.map(caller => [caller.keySha256, caller]),
    );
    callersByConfiguration.set(configuration, callers);
  }
  return callers.get(createHash('sha256').update(key).digest('hex'));
}

/** Authenticates the caller by its bearer key. Runs before the body is read. */
export function authenticate({
  context,
}: EntryComponents): Filter<IdentifiedRequest, AuthenticatedRequest> {
  return async (request, next) => {
    const configuration = context.configuration.current();
    if (configuration === undefined) {
      const options = {retryAfterMs: 1_000};
      return refuse(refusal('starting', 'no configuration yet', options));
    }
    const match = /^Bearer +(\S+)$/i.exec(request.headers.authorization ?? '');
    const caller = match?.[1] && callerOf(configuration, match[1]);
    if (!caller) {
      return refuse(refusal('unauthenticated', 'unknown or missing key'));
    }
    return next({...request, caller, configuration});
  };
}

/**
 * Reads the body and enforces its size limit. The HTTP server enforces the limit of the
 * header.
 */
export const readBodyWithinLimit: Filter<
  AuthenticatedRequest,
  BufferedRequest
> = async (request, next) => {
  const body = await request.readBody();
  if (body.isErr()) return refuse(body.error);
  return next({...request, body: body.value});
};

/** Parses path, headers and body. */
export const parseRequest: Filter<BufferedRequest, ParsedRequest> = async (
  request,
  next,
) => {
  const task = parseTask(request);
  if (task.isErr()) return refuse(task.error);
  const budget = parseBudget(request);
  if (budget.isErr()) return refuse(budget.error);
  const priority = parsePriority(request);
  if (priority.isErr()) return refuse(priority.error);
  return next({
    ...request,
    task: task.value,
    priority: priority.value,
    budgetMs: budget.value,
    deadlineMs: request.receivedAtMs + budget.value,
  });
};

/** Resolves adapter, service and operation, and checks the permissions of the caller. */
export const authorize: Filter<ParsedRequest, PermittedRequest> = async (
  request,
  next,
) => {
  const plan = planRequest(request);
  if (plan.isErr()) return refuse(plan.error);
  return next({...request, plan: plan.value});
};

/** Enforces this entry's share of the caller's rate limit. */
export function limitCallerRate({
  limits,
}: EntryComponents): Filter<PermittedRequest, PermittedRequest> {
  return async (request, next) => {
    const retryAfterMs = limits.takeCallerToken(request.caller);
    if (retryAfterMs === 0) return next(request);
    const message = 'caller is over its limit of requests';
    return refuse(refusal('caller_limit', message, {retryAfterMs}));
  };
}

/**
 * Refuses chats and repeatable calls that would wait too long. Ticketed calls and ticket
 * requests pass: the target decides on ticketed calls, so they are shed last.
 */
export function admit(
  entry: EntryComponents,
): Filter<PermittedRequest, PermittedRequest> {
  const {context, targets} = entry;
  return async (request, next) => {
    const {plan, priority, configuration, deadlineMs} = request;
    if (plan.kind === 'chat') {
      const popularity = entry.popularityOf(plan.service.name);
      popularity.recordRequest(plan, context.clock.monotonicMs());
    }
    const candidates = await refreshCandidates(entry, plan, configuration);
    if (plan.kind === 'ticket') return next(request);
    if (plan.kind === 'call' && !plan.operation.repeatable) {
      return next(request);
    }
    const nowMs = context.clock.monotonicMs();
    const admissionRefusal = admitRequest(
      {
        priority,
        adapter: plan.kind === 'chat' ? plan : undefined,
        budgetMs: deadlineMs - nowMs,
        queueLimit: plan.service.queueLimit,
        loadMs: configuration.weightStore.loadMs,
      },
      targets
        .views(plan.service.name)
        .filter(({name}) => candidates.includes(name)),
      nowMs,
    );
    return admissionRefusal === undefined
      ? next(request)
      : refuse(admissionRefusal);
  };
}
