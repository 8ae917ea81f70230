/** Validation of request envelopes, and admission of new work at a target. */
import {NODE_STATE, refusal, type Refusal} from '@balsamnotch/core';
import type {Envelope} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import type {NodeContext} from '../node/context.js';
import type {Drain} from './drain.js';
import type {PauseWatch} from './pauses.js';

/** Maximum length of a request id, caller, sender or incarnation, in UTF-16 code units. */
const MAX_NAME_LENGTH = 128;

/** Maximum time from now to an accepted deadline, in milliseconds. */
const MAX_DEADLINE_AHEAD_MS = 24 * 3_600_000;

/** Retry delay sent with a refusal that is due to the node's state, in milliseconds. */
const RETRY_AFTER_MS = 100;

/** Validated envelope of a request. */
export interface CheckedEnvelope {
  readonly sender: string;
  readonly revision: number;
  readonly expectedIncarnation: string;
  readonly requestId: string;
  readonly caller: string;
  /** Time on this node's monotonic clock after which the request may not start, in milliseconds. */
  readonly deadlineMs: number;
}

function badMessage(message: string): Result<never, Refusal> {
  return Err(refusal('bad_message', message));
}

/** Validates an envelope; refuses it with `bad_message` when it is missing or a value is out of range. */
export function checkEnvelope(
  envelope: Envelope | undefined,
  nowMs: number,
): Result<CheckedEnvelope, Refusal> {
  if (envelope === undefined) return badMessage('request without envelope');
  const {sender, requestId, caller, expectedIncarnation} = envelope;
  const names = [sender, requestId, caller, expectedIncarnation];
  if (names.some(name => name.length > MAX_NAME_LENGTH)) {
    return badMessage('name in envelope is too long');
  }
  if (requestId === '') return badMessage('envelope without request id');
  const {deadlineNodeClockMs, budgetMs} = envelope;
  const deadlineMs =
    deadlineNodeClockMs === 0 ? nowMs + budgetMs : deadlineNodeClockMs;
  const isPossible =
    deadlineNodeClockMs >= 0 &&
    budgetMs >= 0 &&
    deadlineMs <= nowMs + MAX_DEADLINE_AHEAD_MS;
  if (!isPossible) return badMessage('deadline out of range');
  if (envelope.revision > BigInt(Number.MAX_SAFE_INTEGER)) {
    return badMessage('revision out of range');
  }
  const revision = Number(envelope.revision);
  return Ok({
    sender,
    requestId,
    caller,
    expectedIncarnation,
    deadlineMs,
    revision,
  });
}

/** Dependencies of {@link refuseNewWork}. */
export interface AdmissionParts {
  readonly context: NodeContext;
  readonly pauses: PauseWatch;
  readonly drain: Drain;
}

/** Refuses a request that expects another incarnation of this node; otherwise undefined. */
export function checkIncarnation(
  envelope: CheckedEnvelope,
  incarnation: string,
): Refusal | undefined {
  const expected = envelope.expectedIncarnation;
  if (expected === '' || expected === incarnation) return undefined;
  return refusal('wrong_incarnation', 'this node has restarted', {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/**
 * Refuses new work because of its expected incarnation or deadline, a pause, the
 * state of the node or a configuration revision that the node cannot fetch.
 * Undefined when the work is admitted.
 */
export async function refuseNewWork(
  envelope: CheckedEnvelope,
  parts: AdmissionParts,
): Promise<Refusal | undefined> {
  const refused = refuseByCurrentState(envelope, parts);
  if (refused !== undefined) return refused;
  const {configuration} = parts.context;
  if (envelope.revision <= configuration.revision()) return undefined;
  const {revision, sender} = envelope;
  const isCaughtUp = await configuration.catchUp(revision, sender);
  if (!isCaughtUp) {
    return refusal('revision_behind', 'revision could not be fetched', {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  // The node may have paused or started to leave while it fetched the revision.
  return refuseByCurrentState(envelope, parts);
}

function refuseByCurrentState(
  envelope: CheckedEnvelope,
  {context, pauses, drain}: AdmissionParts,
): Refusal | undefined {
  const retry = {retryAfterMs: RETRY_AFTER_MS};
  const wrongIncarnation = checkIncarnation(envelope, context.incarnation);
  if (wrongIncarnation !== undefined) return wrongIncarnation;
  if (pauses.isPaused()) return refusal('paused', 'node was paused', retry);
  if (context.clock.monotonicMs() > envelope.deadlineMs) {
    return refusal('deadline_exceeded', 'deadline passed before the start');
  }
  switch (drain.state()) {
    case NODE_STATE.leaving:
      return refusal('leaving', 'node is leaving', retry);
    case NODE_STATE.starting:
      return refusal('starting', 'node is starting', retry);
    case NODE_STATE.serving:
      return undefined;
  }
}
