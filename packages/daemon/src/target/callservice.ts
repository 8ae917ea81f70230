/** `Target.Call` and `Target.Settle`: calls to the plain service beside this node. */
import {create} from '@bufbuild/protobuf';
import {
  CALL_STATE,
  OUTCOME,
  checkTicket,
  decodeTicket,
  outcomeOf,
  refusal,
  type CallRecord,
  type Outcome,
  type Refusal,
  type RefusalReason,
} from '@balsamnotch/core';
import {
  SettleResponseSchema,
  type CallEvent,
  type CallRequest,
  type Report,
  type SettleRequest,
  type SettleResponse,
} from '@balsamnotch/wire';
import {Err, type Result} from 'ts-results-es';
import {outcomeToWire} from '../node/convert.js';
import {
  checkEnvelope,
  refuseNewWork,
  type AdmissionParts,
  type CheckedEnvelope,
} from './admission.js';
import type {CallController} from './calls.js';
import {
  callAnswered,
  callHeartbeat,
  callRefusal,
  callResult,
} from './events.js';
import type {Job, JobStart} from './job.js';
import type {TargetLimits} from './systems.js';
import {whilePending} from './wakeup.js';

/** Longest operation name, in characters. */
const OPERATION_MAX_LENGTH = 128;

/** Parts of the call service. */
export interface CallServiceParts extends AdmissionParts {
  readonly calls: CallController;
  readonly limits: TargetLimits;
  readonly report: () => Report;
  /** Requests in progress at this node. */
  readonly inProgress: () => number;
}

/** Stream of one attachment to a call. */
export async function* serveCall(
  request: CallRequest,
  signal: AbortSignal,
  parts: CallServiceParts,
): AsyncGenerator<CallEvent> {
  // Fetching a later revision may take longer than an entry waits in silence.
  const opening = whilePending(
    openCall(request, parts),
    parts.limits.heartbeatMs,
  );
  let step = await opening.next();
  for (; !step.done; step = await opening.next()) yield callHeartbeat();
  const job = step.value;
  if (job.isErr()) {
    parts.context.metrics.refused(job.error.reason);
    yield callRefusal(job.error, parts.report());
    return;
  }
  yield* readCall(job.value, signal, parts);
}

async function openCall(
  request: CallRequest,
  parts: CallServiceParts,
): Promise<Result<Job, Refusal>> {
  const {settings, clock} = parts.context;
  const envelope = checkEnvelope(request.envelope, clock.monotonicMs());
  if (envelope.isErr()) return Err(envelope.error);
  if (request.service !== settings.service) {
    return Err(refusal('unknown_service', 'not a service of this target'));
  }
  const {operation, body} = request;
  const possible =
    operation.length > 0 &&
    operation.length <= OPERATION_MAX_LENGTH &&
    body.length <= settings.limits.bodyBytes;
  if (!possible) return Err(refusal('bad_message', 'impossible call'));
  return request.repeatable
    ? openRepeatable(request, envelope.value, parts)
    : openTicketed(request, envelope.value, parts);
}

/** Refuses a call that is not to start here; undefined admits it. */
async function refuseCall(
  request: CallRequest,
  envelope: CheckedEnvelope,
  parts: CallServiceParts,
): Promise<Refusal | undefined> {
  const refused = await refuseNewWork(envelope, parts);
  if (refused !== undefined) return refused;
  const {configuration, settings} = parts.context;
  const operation = configuration
    .current()
    ?.services.find(service => service.name === settings.service)
    ?.operations.find(each => each.name === request.operation);
  if (operation === undefined) {
    return refusal('unknown_operation', 'not an operation of this service');
  }
  // A call that must not be repeated needs a record.
  if (request.repeatable && !operation.repeatable) {
    return refusal('bad_message', 'operation is not repeatable');
  }
  if (parts.inProgress() >= settings.limits.requests) {
    return refusal('overloaded', 'too many requests in progress');
  }
  return undefined;
}

function jobStart(request: CallRequest, envelope: CheckedEnvelope): JobStart {
  const {operation, body, ticket, repeatable} = request;
  return {
    priority: repeatable ? 'interactive' : 'confirmation',
    deadlineMs: envelope.deadlineMs,
    requestId: envelope.requestId,
    operation,
    body,
    ticket: repeatable ? '' : ticket,
  };
}

async function openRepeatable(
  request: CallRequest,
  envelope: CheckedEnvelope,
  parts: CallServiceParts,
): Promise<Result<Job, Refusal>> {
  const refused = await refuseCall(request, envelope, parts);
  if (refused !== undefined) return Err(refused);
  return parts.calls.begin(jobStart(request, envelope));
}

/** Refuses a ticket that this node does not accept; undefined accepts it. */
function refuseTicket(
  ticket: string,
  caller: string,
  {context}: CallServiceParts,
): Refusal | undefined {
  const holder = {
    service: context.settings.service,
    incarnation: context.incarnation,
    caller,
    nodeClockMs: context.clock.monotonicMs(),
  };
  const checked = decodeTicket(ticket).andThen(each =>
    checkTicket(each, holder),
  );
  return checked.isErr() ? checked.error : undefined;
}

async function openTicketed(
  request: CallRequest,
  envelope: CheckedEnvelope,
  parts: CallServiceParts,
): Promise<Result<Job, Refusal>> {
  const {calls} = parts;
  const {ticket} = request;
  const invalid = refuseTicket(ticket, envelope.caller, parts);
  if (invalid !== undefined) return Err(invalid);
  const start = jobStart(request, envelope);
  if (calls.record(ticket) !== undefined) return calls.beginTicketed(start);
  const refused = await refuseCall(request, envelope, parts);
  // The record of a ticket that expired in the meantime may be gone, so
  // nothing may be recorded or promised for it.
  const expired = refuseTicket(ticket, envelope.caller, parts);
  if (expired !== undefined) return Err(expired);
  // A duplicate may have started the call in the meantime.
  if (refused === undefined || calls.record(ticket) !== undefined) {
    return calls.beginTicketed(start);
  }
  return Err(calls.neverStart(ticket, refused));
}

async function* readCall(
  job: Job,
  signal: AbortSignal,
  {calls, context, limits, report}: CallServiceParts,
): AsyncGenerator<CallEvent> {
  job.readers += 1;
  try {
    while (job.end === undefined && !signal.aborted) {
      await job.changed.wait(limits.heartbeatMs, signal);
      if (job.end === undefined && !signal.aborted) yield callHeartbeat();
    }
    switch (job.end?.kind) {
      case 'answered':
        yield callAnswered(job.end.answer, report());
        calls.delivered(job);
        break;
      case 'refused':
        context.metrics.refused(job.end.refusal.reason);
        yield callRefusal(job.end.refusal, report());
        break;
      case undefined:
    }
  } finally {
    job.readers -= 1;
    calls.detached(job);
  }
}

/** What a settle answers beside the report. */
interface Settled {
  readonly outcome: Outcome;
  readonly reason: RefusalReason | '';
  readonly running?: boolean;
  readonly record?: CallRecord;
}

/** Outcome of a ticket; with `cancel`, a call that has not started never will. */
export function settleCall(
  request: SettleRequest,
  parts: CallServiceParts,
): SettleResponse {
  const {outcome, reason, running = false, record} = settled(request, parts);
  const report = parts.report();
  const answer = record?.answer;
  return create(SettleResponseSchema, {
    outcome: outcomeToWire(outcome),
    running,
    reason,
    report,
    ...(answer === undefined ? {} : {result: callResult(answer, report)}),
  });
}

function settled(request: SettleRequest, parts: CallServiceParts): Settled {
  const unknown = OUTCOME.unknown;
  const nowMs = parts.context.clock.monotonicMs();
  const envelope = checkEnvelope(request.envelope, nowMs);
  if (envelope.isErr()) {
    parts.context.metrics.refused(envelope.error.reason);
    return {outcome: unknown, reason: envelope.error.reason};
  }
  const {ticket} = request;
  const invalid = refuseTicket(ticket, envelope.value.caller, parts);
  if (invalid !== undefined) {
    parts.context.metrics.refused(invalid.reason);
    return {outcome: unknown, reason: invalid.reason};
  }
  const cancelled = refusal('cancelled', 'call was recorded as never to start');
  const record = request.cancel
    ? parts.calls.cancel(ticket, cancelled)
    : parts.calls.record(ticket);
  if (record === undefined) {
    return {
      outcome: unknown,
      reason: request.cancel ? 'records_full' : 'not_found',
    };
  }
  return settledRecord(record);
}

function settledRecord(record: CallRecord): Settled {
  const outcome = outcomeOf(record);
  switch (record.state) {
    case CALL_STATE.queued:
    case CALL_STATE.running:
      return {outcome, reason: 'outcome_unknown', running: true};
    case CALL_STATE.finished:
      return {outcome, reason: '', record};
    case CALL_STATE.cancelled:
      return {outcome, reason: 'cancelled'};
    case CALL_STATE.unknown:
      return {outcome, reason: 'outcome_unknown'};
  }
}
