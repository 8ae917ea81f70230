/** Records of non-idempotent calls at one target node: each ticket starts at most one call. */
import {Err, Ok, type Result} from 'ts-results-es';
import {OUTCOME, refusal, type Outcome, type Refusal} from './reasons.js';
import {TICKET_CLOCK_MARGIN_MS, TICKET_LIFETIME_MS} from './tickets.js';

/** States of a record. */
export const CALL_STATE = {
  /** Accepted, not sent to the service. */
  queued: 'queued',
  /** Being sent, or sent and not answered yet. */
  running: 'running',
  /** Answered by the service. */
  finished: 'finished',
  /** Never started, and never to start. */
  cancelled: 'cancelled',
  /** Sent; no answer will come. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link CALL_STATE}. */
export type CallState = (typeof CALL_STATE)[keyof typeof CALL_STATE];

/** Answer of the service, kept for repeats. */
export interface CallAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Record of one ticket. */
export interface CallRecord {
  readonly ticket: string;
  /** Digest of operation and body; a repeat must have the same. */
  readonly digest: string;
  readonly state: CallState;
  /** Set in state `finished`. */
  readonly answer?: CallAnswer;
  /** Node clock of the last transition, in milliseconds. */
  readonly changedMs: number;
}

/** How a running call ended. */
export type CallEnd =
  | {readonly kind: 'answered'; readonly answer: CallAnswer}
  /** The connection was refused, so nothing was sent. */
  | {readonly kind: 'not_sent'}
  | {readonly kind: 'lost'};

/** Identity of a call: a repeat has the same ticket and the same digest. */
export interface CallIdentity {
  readonly ticket: string;
  readonly digest: string;
}

function isFinal(record: CallRecord): boolean {
  return (
    record.state !== CALL_STATE.queued && record.state !== CALL_STATE.running
  );
}

/** Record after the end of a running call. */
function ended(record: CallRecord, end: CallEnd, nowMs: number): CallRecord {
  switch (end.kind) {
    case 'answered':
      return {
        ...record,
        state: CALL_STATE.finished,
        answer: end.answer,
        changedMs: nowMs,
      };
    case 'not_sent':
      return {...record, state: CALL_STATE.cancelled, changedMs: nowMs};
    case 'lost':
      return {...record, state: CALL_STATE.unknown, changedMs: nowMs};
  }
}

/**
 * Records of one target node incarnation. Times are readings of the node's
 * monotonic clock in milliseconds. Records are values; the table replaces them,
 * because copying a table of thousands of records on each call costs too much.
 */
export class CallTable {
  /** In order of the last transition, so that expired records stand first. */
  private readonly records = new Map<string, CallRecord>();

  constructor(private readonly options: {readonly capacity: number}) {}

  get size(): number {
    return this.records.size;
  }

  get(ticket: string): CallRecord | undefined {
    return this.records.get(ticket);
  }

  /**
   * Accepts a call. The first request with a ticket creates its record in
   * state `queued`; a repeat returns the record as it is. The same ticket with
   * another digest is refused as `ticket_reused`, a full table as
   * `records_full`.
   */
  accept(call: CallIdentity, nowMs: number): Result<CallRecord, Refusal> {
    const known = this.records.get(call.ticket);
    if (known !== undefined) return this.repeat(known, call);
    if (this.isFull(nowMs)) {
      return Err(
        refusal('records_full', 'no room for another call record', {
          retryAfterMs: 1_000,
        }),
      );
    }
    return Ok(this.put({...call, state: CALL_STATE.queued, changedMs: nowMs}));
  }

  /**
   * Moves a queued call to `running`. Returns undefined when the call must not
   * be sent: it is not known, has started before or was cancelled.
   */
  start(ticket: string, nowMs: number): CallRecord | undefined {
    const record = this.records.get(ticket);
    if (record?.state !== CALL_STATE.queued) return undefined;
    return this.put({...record, state: CALL_STATE.running, changedMs: nowMs});
  }

  /**
   * Records that a call will never start, also before its first request has
   * arrived. A call that has started is left as it is. Returns undefined when
   * there is no room to record it; nothing may be promised then.
   */
  cancel(ticket: string, nowMs: number): CallRecord | undefined {
    const record = this.records.get(ticket);
    if (record !== undefined && record.state !== CALL_STATE.queued) {
      return record;
    }
    if (record === undefined && this.isFull(nowMs)) return undefined;
    return this.put({
      ticket,
      digest: record?.digest ?? '',
      state: CALL_STATE.cancelled,
      changedMs: nowMs,
    });
  }

  /** Ends a running call. Returns undefined and changes nothing when it does not run. */
  end(ticket: string, end: CallEnd, nowMs: number): CallRecord | undefined {
    const record = this.records.get(ticket);
    if (record?.state !== CALL_STATE.running) return undefined;
    return this.put(ended(record, end, nowMs));
  }

  private repeat(
    known: CallRecord,
    call: CallIdentity,
  ): Result<CallRecord, Refusal> {
    // A cancellation that came before the call has no digest.
    const same = known.digest === call.digest || known.digest === '';
    if (same) return Ok(known);
    return Err(
      refusal('ticket_reused', 'ticket was used with another request', {
        outcome: outcomeOf(known),
      }),
    );
  }

  private put(record: CallRecord): CallRecord {
    this.records.delete(record.ticket);
    this.records.set(record.ticket, record);
    return record;
  }

  private isFull(nowMs: number): boolean {
    this.expire(nowMs);
    return this.records.size >= this.options.capacity;
  }

  /** Drops final records that no valid ticket can refer to any more. */
  private expire(nowMs: number): void {
    const keepMs = TICKET_LIFETIME_MS + TICKET_CLOCK_MARGIN_MS;
    for (const record of this.records.values()) {
      if (nowMs - record.changedMs <= keepMs) return;
      if (isFinal(record)) this.records.delete(record.ticket);
    }
  }
}

/** What may be said to the caller about a record. A queued call may still run. */
export function outcomeOf(record: CallRecord): Outcome {
  switch (record.state) {
    case CALL_STATE.finished:
      return OUTCOME.ran;
    case CALL_STATE.cancelled:
      return OUTCOME.notRun;
    case CALL_STATE.queued:
    case CALL_STATE.running:
    case CALL_STATE.unknown:
      return OUTCOME.unknown;
  }
}
