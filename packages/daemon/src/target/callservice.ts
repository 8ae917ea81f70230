/** `Target.Call` and `Target.Settle`: calls to this node's plain service and their outcomes. */
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
import type {Job, JobSpec} from './job.js';
import type {TargetLimits} from './systems.js';
import {whilePending} from './wakeup.js';

/** Longest operation name, in UTF-16 code units. */
const MAX_OPERATION_LENGTH = 128;

/** Dependencies of the call service. */
export interface CallServiceParts extends AdmissionParts {
  readonly calls: CallController;
  readonly limits: TargetLimits;
  readonly report: () => Report;
  /** Requests in progress at this node. */
  readonly inProgress: () => number;
}

/** Streams a call to one attachment, starting the call if it is new. */
export async function* serveCall(
  request: CallRequest,
  signal: AbortSignal,
  parts: CallServiceParts,
): AsyncGenerator<CallEvent> {
  // Heartbeats keep the stream alive, because catching up with a later revision
  // can take longer than an entry waits on a silent stream.
  const pendingOpen = whilePending(
    openCall(request, parts),
    parts.limits.heartbeatMs,
  );
  let step = await pendingOpen.next();
  for (; !step.done; step = await pendingOpen.next()) yield callHeartbeat();
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
    return Err(
      refusal(
        'unknown_service',
        'this target does not serve the requested service',
      ),
    );
  }
  const {operation, body} = request;
  const isValid =
    operation.length > 0 &&
    operation.length <= MAX_OPERATION_LENGTH &&
    body.length <= settings.limits.bodyBytes;
  if (!isValid) return Err(refusal('bad_message', 'invalid operation or body'));
  return request.repeatable
    ? openRepeatable(request, envelope.value, parts)
    : openTicketed(request, envelope.value, parts);
}

/** Refuses a call that this node must not start; undefined if it is admitted. */
async function refuseCall(
  request: CallRequest,
  envelope: CheckedEnvelope,
  parts: CallServiceParts,
): Promise<Refusal | undefined> {
  const admissionRefusal = await refuseNewWork(envelope, parts);
  if (admissionRefusal !== undefined) return admissionRefusal;
  const {configuration, settings} = parts.context;
  const operation = configuration
    .current()
    ?.services.find(service => service.name === settings.service)
    ?.operations.find(candidate => candidate.name === request.operation);
  if (operation === undefined) {
    return refusal('unknown_operation', 'service has no such operation');
  }
  // A non-repeatable call needs a ticket, whose record prevents a second start.
  if (request.repeatable && !operation.repeatable) {
    return refusal('bad_message', 'operation is not repeatable');
  }
  if (parts.inProgress() >= settings.limits.requests) {
    return refusal('overloaded', 'too many requests in progress');
  }
  return undefined;
}

function jobSpec(request: CallRequest, envelope: CheckedEnvelope): JobSpec {
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
  const admissionRefusal = await refuseCall(request, envelope, parts);
  if (admissionRefusal !== undefined) return Err(admissionRefusal);
  return parts.calls.begin(jobSpec(request, envelope));
}

/**
 * Refuses an expired ticket, and one of another service, caller or incarnation;
 * undefined if the ticket is valid.
 */
function refuseTicket(
  ticket: string,
  caller: string,
  {context}: CallServiceParts,
): Refusal | undefined {
  const expected = {
    service: context.settings.service,
    incarnation: context.incarnation,
    caller,
    nodeClockMs: context.clock.monotonicMs(),
  };
  const checked = decodeTicket(ticket).andThen(decoded =>
    checkTicket(decoded, expected),
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
  const ticketRefusal = refuseTicket(ticket, envelope.caller, parts);
  if (ticketRefusal !== undefined) return Err(ticketRefusal);
  const spec = jobSpec(request, envelope);
  if (calls.record(ticket) !== undefined) return calls.beginTicketed(spec);
  const admissionRefusal = await refuseCall(request, envelope, parts);
  // The ticket may have expired during admission. Its record may be gone then, so
  // nothing may be recorded for it, and no outcome may be promised.
  const expiryRefusal = refuseTicket(ticket, envelope.caller, parts);
  if (expiryRefusal !== undefined) return Err(expiryRefusal);
  // A duplicate request may have started the call during admission.
  if (admissionRefusal === undefined || calls.record(ticket) !== undefined) {
    return calls.beginTicketed(spec);
  }
  return Err(calls.cancelAndRefuse(ticket, admissionRefusal));
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
        calls.markDelivered(job);
        break;
      case 'refused':
        context.metrics.refused(job.end.refusal.reason);
        yield callRefusal(job.end.refusal, report());
        break;
      case undefined:
    }
  } finally {
    job.readers -= 1;
    calls.handleDetach(job);
  }
}

/** Content of a settle response, apart from the report. */
interface Settlement {
  readonly outcome: Outcome;
  readonly reason: RefusalReason | '';
  readonly running?: boolean;
  readonly record?: CallRecord;
}

/** Reports the outcome of a ticket; with `cancel`, a call that has not started never starts. */
export function settleCall(
  request: SettleRequest,
  parts: CallServiceParts,
): SettleResponse {
  const {outcome, reason, running = false, record} = settlement(request, parts);
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

function settlement(
  request: SettleRequest,
  parts: CallServiceParts,
): Settlement {
  const unknown = OUTCOME.unknown;
  const nowMs = parts.context.clock.monotonicMs();
  const envelope = checkEnvelope(request.envelope, nowMs);
  if (envelope.isErr()) {
    parts.context.metrics.refused(envelope.error.reason);
    return {outcome: unknown, reason: envelope.error.reason};
  }
  const {ticket} = request;
  const ticketRefusal = refuseTicket(ticket, envelope.value.caller, parts);
  if (ticketRefusal !== undefined) {
    parts.context.metrics.refused(ticketRefusal.reason);
    return {outcome: unknown, reason: ticketRefusal.reason};
  }
  const cancellation = refusal('cancelled', 'call was cancelled before it ran');
  const record = request.cancel
    ? parts.calls.cancel(ticket, cancellation)
    : parts.calls.record(ticket);
  if (record === undefined) {
    return {
      outcome: unknown,
      reason: request.cancel ? 'records_full' : 'not_found',
    };
  }
  return recordSettlement(record);
}

function recordSettlement(record: CallRecord): Settlement {
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
