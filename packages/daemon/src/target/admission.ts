/** Checks of the envelope that every request to a target carries. */
import {NODE_STATE, refusal, type Refusal} from '@balsamnotch/core';
import type {Envelope} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import type {NodeContext} from '../node/context.js';
import type {Drain} from './drain.js';
import type {PauseWatch} from './pauses.js';

/** Longest request id, caller or sender, in characters. */
const NAME_MAX_LENGTH = 128;

/** Deadline furthest ahead that is accepted, in milliseconds. */
const DEADLINE_MAX_AHEAD_MS = 24 * 3_600_000;

/** Earliest useful repeat after a refusal by state, in milliseconds. */
const RETRY_AFTER_MS = 100;

/** Envelope whose values are possible. */
export interface CheckedEnvelope {
  readonly sender: string;
  readonly revision: number;
  readonly expectedIncarnation: string;
  readonly requestId: string;
  readonly caller: string;
  /** Reading of this node's monotonic clock after which nothing may start. */
  readonly deadlineMs: number;
}

function bad(message: string): Result<never, Refusal> {
  return Err(refusal('bad_message', message));
}

/** Checks that the values of an envelope are possible. */
export function checkEnvelope(
  envelope: Envelope | undefined,
  nowMs: number,
): Result<CheckedEnvelope, Refusal> {
  if (envelope === undefined) return bad('request without envelope');
  const {sender, requestId, caller, expectedIncarnation} = envelope;
  const names = [sender, requestId, caller, expectedIncarnation];
  if (names.some(name => name.length > NAME_MAX_LENGTH)) {
    return bad('oversized name in envelope');
  }
  if (requestId === '') return bad('envelope without request id');
  const {deadlineNodeClockMs, budgetMs} = envelope;
  const deadlineMs =
    deadlineNodeClockMs === 0 ? nowMs + budgetMs : deadlineNodeClockMs;
  const possible =
    deadlineNodeClockMs >= 0 &&
    budgetMs >= 0 &&
    deadlineMs <= nowMs + DEADLINE_MAX_AHEAD_MS;
  if (!possible) return bad('impossible deadline');
  if (envelope.revision > BigInt(Number.MAX_SAFE_INTEGER)) {
    return bad('impossible revision');
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

/** What decides whether this node takes new work. */
export interface AdmissionParts {
  readonly context: NodeContext;
  readonly pauses: PauseWatch;
  readonly drain: Drain;
}

/** Refuses requests for another incarnation of this node. */
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

/** Refuses new work by deadline, state, pause or revision; undefined admits it. */
export async function refuseNewWork(
  envelope: CheckedEnvelope,
  parts: AdmissionParts,
): Promise<Refusal | undefined> {
  const before = refuseNow(envelope, parts);
  if (before !== undefined) return before;
  const {configuration} = parts.context;
  if (envelope.revision <= configuration.revision()) return undefined;
  const {revision, sender} = envelope;
  const caughtUp = await configuration.catchUp(revision, sender);
  if (!caughtUp) {
    return refusal('revision_behind', 'revision could not be fetched', {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  // The node may have paused or begun to leave while it fetched the revision.
  return refuseNow(envelope, parts);
}

function refuseNow(
  envelope: CheckedEnvelope,
  {context, pauses, drain}: AdmissionParts,
): Refusal | undefined {
  const after = {retryAfterMs: RETRY_AFTER_MS};
  const wrong = checkIncarnation(envelope, context.incarnation);
  if (wrong !== undefined) return wrong;
  if (pauses.isPaused()) return refusal('paused', 'node was paused', after);
  if (context.clock.monotonicMs() > envelope.deadlineMs) {
    return refusal('deadline_exceeded', 'deadline passed before the start');
  }
  switch (drain.state()) {
    case NODE_STATE.leaving:
      return refusal('leaving', 'node is leaving', after);
    case NODE_STATE.starting:
      return refusal('starting', 'node is starting', after);
    case NODE_STATE.serving:
      return undefined;
  }
}
