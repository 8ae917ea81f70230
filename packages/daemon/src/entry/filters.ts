/** Filters of the entry, in the order in which a request passes them. */
import {createHash} from 'node:crypto';
import type {Caller, Configuration} from '@balsamnotch/config';
import {
  OUTCOME,
  admit as admitRequest,
  decodeTicket,
  refusal,
} from '@balsamnotch/core';
import {refreshCandidates} from './candidates.js';
import type {Parts} from './parts.js';
import {parseBudget, parsePriority, parseTask} from './parse.js';
import {planOf} from './plan.js';
import {
  refuse,
  type Arrival,
  type Authenticated,
  type Filter,
  type Identified,
  type Parsed,
  type Permitted,
  type Sized,
} from './request.js';

/** Gives the request its id, and counts it and its refusal. */
export function identify({
  context,
  limits,
}: Parts): Filter<Arrival, Identified> {
  return async (arrival, next) => {
    const requestId = context.randomId();
    limits.countRequest();
    context.metrics.count('requests');
    const reply = await next({...arrival, requestId});
    const nowMs = context.clock.monotonicMs();
    context.metrics.timing('request_ms', nowMs - arrival.arrivedMs);
    if (reply.kind === 'refused') context.metrics.refused(reply.refusal.reason);
    return {...reply, headers: {...reply.headers, 'x-request-id': requestId}};
  };
}

/**
 * With a ticket that the caller sent, an earlier request may have started the
 * call. A refusal of this request alone then leaves the outcome open.
 */
export const keepOutcomeOpen: Filter<Identified, Identified> = async (
  request,
  next,
) => {
  const reply = await next(request);
  const key = request.headers['idempotency-key'];
  const presented = typeof key === 'string' && decodeTicket(key).isOk();
  if (reply.kind !== 'refused' || reply.settled || !presented) return reply;
  const headers = {...reply.headers, 'idempotency-key': key};
  const open = {...reply.refusal, outcome: OUTCOME.unknown};
  return {...reply, refusal: open, headers};
};

/** Refuses everything while the entry is full or has stopped. */
export function whileOpen({closed}: Parts): Filter<Identified, Identified> {
  return async (request, next) => {
    const refused = closed();
    return refused === undefined ? next(request) : refuse(refused);
  };
}

/** Callers by the hash of their key, for each configuration that was in force. */
const callersByKey = new WeakMap<Configuration, ReadonlyMap<string, Caller>>();

function callerOf(
  configuration: Configuration,
  key: string,
): Caller | undefined {
  let callers = callersByKey.get(configuration);
  if (callers === undefined) {
    callers = new Map(
      configuration.callers.map(caller => [caller.keySha256, caller]),
    );
    callersByKey.set(configuration, callers);
  }
  return callers.get(createHash('sha256').update(key).digest('hex'));
}

/** Finds the caller of the key in `Authorization`, before the body of the request is read. */
export function authenticate({
  context,
}: Parts): Filter<Identified, Authenticated> {
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

/** Reads the body up to its limit; the limit of the header is kept by the HTTP server. */
export const limitSize: Filter<Authenticated, Sized> = async (
  request,
  next,
) => {
  const body = await request.readBody();
  if (body.isErr()) return refuse(body.error);
  return next({...request, body: body.value});
};

/** Finds the meaning of path, headers and body. */
export const parse: Filter<Sized, Parsed> = async (request, next) => {
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
    deadlineMs: request.arrivedMs + budget.value,
  });
};

/** Finds what the request refers to and checks that the caller may use it. */
export const permit: Filter<Parsed, Permitted> = async (request, next) => {
  const plan = planOf(request);
  if (plan.isErr()) return refuse(plan.error);
  return next({...request, plan: plan.value});
};

/** Holds the caller to this entry's part of its limit. */
export function limitCaller({limits}: Parts): Filter<Permitted, Permitted> {
  return async (request, next) => {
    const retryAfterMs = limits.take(request.caller);
    if (retryAfterMs === 0) return next(request);
    const message = 'caller is over its limit of requests';
    return refuse(refusal('caller_limit', message, {retryAfterMs}));
  };
}

/** Sheds work that would wait too long; calls under a ticket are shed last, by their target. */
export function admit(parts: Parts): Filter<Permitted, Permitted> {
  const {context, targets} = parts;
  return async (request, next) => {
    const {plan, priority, configuration, deadlineMs} = request;
    if (plan.kind === 'chat') {
      const counts = parts.popularity(plan.service.name);
      counts.requested(plan, context.clock.monotonicMs());
    }
    const names = await refreshCandidates(parts, plan, configuration);
    if (plan.kind === 'ticket') return next(request);
    if (plan.kind === 'call' && !plan.operation.repeatable) {
      return next(request);
    }
    const nowMs = context.clock.monotonicMs();
    const refused = admitRequest(
      {
        priority,
        adapter: plan.kind === 'chat' ? plan : undefined,
        budgetMs: deadlineMs - nowMs,
        queueLimit: plan.service.queueLimit,
        loadMs: configuration.weightStore.loadMs,
      },
      targets.views(plan.service.name).filter(({name}) => names.includes(name)),
      nowMs,
    );
    return refused === undefined ? next(request) : refuse(refused);
  };
}
