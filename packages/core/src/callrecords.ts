/** Records of non-idempotent calls at one target node. Each ticket starts at most one call. */
import {Err, Ok, type Result} from 'ts-results-es';
import {OUTCOME, refusal, type Outcome, type Refusal} from './reasons.js';
import {TICKET_CLOCK_MARGIN_MS, TICKET_LIFETIME_MS} from './tickets.js';

/** States of a call record. */
export const CALL_STATE = {
  /** Accepted, but not yet sent to the service. */
  queued: 'queued',
  /** Being sent, or sent and not yet answered. */
  running: 'running',
  /** Answered by the service. */
  finished: 'finished',
  /** Has not started and will never start. */
  cancelled: 'cancelled',
  /** Sent to the service, whose answer was lost. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link CALL_STATE}. */
export type CallState = (typeof CALL_STATE)[keyof typeof CALL_STATE];

/** Answer of the service, stored so that a repeat gets the same answer. */
export interface CallAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Record of one ticket. */
export interface CallRecord {
  readonly ticket: string;
  /**
   * Digest of operation and body; empty if the call was cancelled before it arrived. A
   * repeat must have the same digest.
   */
  readonly digest: string;
  readonly state: CallState;
  /** Set in state `finished`. */
  readonly answer?: CallAnswer;
  /** Node clock at the last state transition, in milliseconds. */
  readonly changedAtMs: number;
}

/** How a running call ended. */
export type CallEnd =
  | {readonly kind: 'answered'; readonly answer: CallAnswer}
  /** The connection to the service was refused, so nothing was sent. */
  | {readonly kind: 'not_sent'}
  | {readonly kind: 'lost'};

/** Identity of a call. A repeat has the same ticket and the same digest. */
export interface CallIdentity {
  readonly ticket: string;
  readonly digest: string;
}

function isFinal(record: CallRecord): boolean {
  return (
    record.state !== CALL_STATE.queued && record.state !== CALL_STATE.running
  );
}

/** Returns the record of a running call after its end. */
function recordAfterEnd(
  record: CallRecord,
  end: CallEnd,
  nowMs: number,
): CallRecord {
  switch (end.kind) {
    case 'answered':
      return {
        ...record,
        state: CALL_STATE.finished,
        answer: end.answer,
        changedAtMs: nowMs,
      };
    case 'not_sent':
      return {...record, state: CALL_STATE.cancelled, changedAtMs: nowMs};
    case 'lost':
      return {...record, state: CALL_STATE.unknown, changedAtMs: nowMs};
  }
}

/**
 * Call records of one target node incarnation. Times are readings of the node's
 * monotonic clock in milliseconds. Records are immutable, but the table is
 * modified in place: copying thousands of records on each call is too expensive.
 */
export class CallTable {
  /** Ordered by the last transition; expired records come first. */
  private readonly records = new Map<string, CallRecord>();

  constructor(private readonly options: {readonly capacity: number}) {}

  get size(): number {
    return this.records.size;
  }

  get(ticket: string): CallRecord | undefined {
    return this.records.get(ticket);
  }

  /**
   * Accepts a call. The first request with a ticket creates a record in state
   * `queued`; a repeat returns the existing record. Refuses a ticket that was
   * used with another digest as `ticket_reused`, and a new call as `records_full`
   * while the table is full.
   */
  accept(call: CallIdentity, nowMs: number): Result<CallRecord, Refusal> {
    const existing = this.records.get(call.ticket);
    if (existing !== undefined) return this.acceptRepeat(existing, call);
    if (this.isFull(nowMs)) {
      return Err(
        refusal('records_full', 'no room for another call record', {
          retryAfterMs: 1_000,
        }),
      );
    }
    return Ok(
      this.put({...call, state: CALL_STATE.queued, changedAtMs: nowMs}),
    );
  }

  /**
   * Moves a queued call to `running`. Returns undefined when the call must not
   * be sent because it has no record, has already started or was cancelled.
   */
  start(ticket: string, nowMs: number): CallRecord | undefined {
    const record = this.records.get(ticket);
    if (record?.state !== CALL_STATE.queued) return undefined;
    return this.put({...record, state: CALL_STATE.running, changedAtMs: nowMs});
  }

  /**
   * Records that a call will never start, even if its first request has not
   * arrived yet. The record of a call that has started stays unchanged. Returns
   * undefined when the table is full; the call may then still start.
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
      changedAtMs: nowMs,
    });
  }

  /** Ends a running call. Returns undefined, without a change, when the call is not running. */
  end(ticket: string, end: CallEnd, nowMs: number): CallRecord | undefined {
    const record = this.records.get(ticket);
    if (record?.state !== CALL_STATE.running) return undefined;
    return this.put(recordAfterEnd(record, end, nowMs));
  }

  private acceptRepeat(
    existing: CallRecord,
    call: CallIdentity,
  ): Result<CallRecord, Refusal> {
    // A cancellation that arrived before the call created a record without a digest.
    const isSameRequest =
      existing.digest === call.digest || existing.digest === '';
    if (isSameRequest) return Ok(existing);
    return Err(
      refusal('ticket_reused', 'ticket was used with another request', {
        outcome: outcomeOf(existing),
      }),
    );
  }

  private put(record: CallRecord): CallRecord {
    this.records.delete(record.ticket);
    this.records.set(record.ticket, record);
    return record;
  }

  private isFull(nowMs: number): boolean {
    this.dropExpired(nowMs);
    return this.records.size >= this.options.capacity;
  }

  /** Removes final records whose tickets have expired. */
  private dropExpired(nowMs: number): void {
    const retentionMs = TICKET_LIFETIME_MS + TICKET_CLOCK_MARGIN_MS;
    for (const record of this.records.values()) {
      if (nowMs - record.changedAtMs <= retentionMs) return;
      if (isFinal(record)) this.records.delete(record.ticket);
    }
  }
}

/**
 * Returns the outcome to report for a record. It is unknown for a queued call, which may still
 * run.
 */
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
