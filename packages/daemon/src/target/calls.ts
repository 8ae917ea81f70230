/** Controller of calls to the plain service: queue, concurrency and records of tickets. */
import {createHash} from 'node:crypto';
import {
  CALL_STATE,
  CallTable,
  OUTCOME,
  enqueue,
  nextWork,
  refusal,
  splitExpired,
  type CallEnd,
  type CallRecord,
  type Refusal,
  type WorkQueue,
} from '@balsamnotch/core';
import type {
  PlainAnswer,
  PlainError,
  PlainService,
} from '@balsamnotch/systems';
import {Err, Ok, type Result} from 'ts-results-es';
import type {NodeContext} from '../node/context.js';
import {Job, type JobEnd, type JobStart} from './job.js';
import {MovingMean} from './mean.js';
import type {PauseWatch} from './pauses.js';
import type {TargetLimits} from './systems.js';

/** Parts of a call controller. */
export interface CallParts {
  readonly context: NodeContext;
  readonly plain: PlainService;
  readonly pauses: PauseWatch;
  readonly limits: TargetLimits;
  /** Requests that may wait, from the configuration in force. */
  readonly queueLimit: () => number;
}

/** Digest of operation and body; a repeat of a ticket must have the same. */
export function callDigest(operation: string, body: Uint8Array): string {
  return createHash('sha256')
    .update(`${operation}\n`)
    .update(body)
    .digest('hex');
}

/** What attachments are told about a final record; undefined while it is open. */
function endOf(record: CallRecord): JobEnd | undefined {
  switch (record.state) {
    case CALL_STATE.queued:
    case CALL_STATE.running:
      return undefined;
    case CALL_STATE.finished:
      if (record.answer === undefined) return undefined;
      return {kind: 'answered', answer: record.answer};
    case CALL_STATE.cancelled:
      return {
        kind: 'refused',
        refusal: refusal('cancelled', 'call was recorded as never to start'),
      };
    case CALL_STATE.unknown:
      return {
        kind: 'refused',
        refusal: refusal('outcome_unknown', 'service gave no answer', {
          outcome: OUTCOME.unknown,
        }),
      };
  }
}

/** Owner of the call records and of all calls of this node. */
export class CallController {
  private readonly table: CallTable;
  /** Open calls with a ticket. */
  private readonly jobs = new Map<string, Job>();
  private queue: WorkQueue<Job> = [];
  private readonly running = new Set<Job>();
  /** Ends of answers that no attachment has received, by ticket. */
  private readonly undelivered = new Map<string, number>();
  private readonly mean = new MovingMean();

  constructor(private readonly parts: CallParts) {
    const capacity = parts.context.settings.limits.callRecords;
    this.table = new CallTable({capacity});
    parts.pauses.paused$.subscribe(() => this.paused());
  }

  get queued(): number {
    return this.queue.length;
  }

  get active(): number {
    return this.running.size;
  }

  /** Mean time of a call in the service, in milliseconds. */
  get serviceMs(): number {
    return this.mean.ms;
  }

  record(ticket: string): CallRecord | undefined {
    return this.table.get(ticket);
  }

  /** Queues a repeatable call. */
  begin(start: JobStart): Result<Job, Refusal> {
    const job = new Job(start);
    const queue = enqueue(this.queue, job, this.parts.queueLimit());
    if (queue.isErr()) return Err(queue.error);
    this.queue = queue.value;
    this.dispatch();
    return Ok(job);
  }

  /**
   * Queues the call of a ticket, or gives the call that the ticket has started
   * already. A refusal of the first request is recorded, so that a late
   * duplicate does not run after the refusal said `not_run`.
   */
  beginTicketed(start: JobStart): Result<Job, Refusal> {
    const {ticket, operation, body} = start;
    const known = this.table.get(ticket);
    const identity = {ticket, digest: callDigest(operation, body)};
    const record = this.table.accept(identity, this.nowMs());
    if (record.isErr()) return Err(record.error);
    if (known !== undefined) return Ok(this.attached(start, record.value));
    const job = new Job(start);
    const queue = enqueue(this.queue, job, this.parts.queueLimit());
    if (queue.isErr()) return Err(this.neverStart(ticket, queue.error));
    this.queue = queue.value;
    this.jobs.set(ticket, job);
    this.dispatch();
    return Ok(job);
  }

  /** Records that the call of a ticket never starts; the refusal to send then. */
  neverStart(ticket: string, refused: Refusal): Refusal {
    const record = this.cancel(ticket, refused);
    if (record === undefined) {
      return refusal('records_full', 'no room for another call record', {
        retryAfterMs: 1_000,
      });
    }
    if (record.state === CALL_STATE.cancelled) return refused;
    return {...refused, outcome: OUTCOME.unknown};
  }

  /** As {@link CallTable.cancel}; a queued call leaves the queue. */
  cancel(ticket: string, refused: Refusal): CallRecord | undefined {
    const record = this.table.cancel(ticket, this.nowMs());
    const job = this.jobs.get(ticket);
    if (record?.state === CALL_STATE.cancelled && job !== undefined) {
      this.queue = this.queue.filter(each => each !== job);
      this.jobs.delete(ticket);
      job.refuse(refused);
    }
    return record;
  }

  /** Called when an attachment ends; a repeatable call that nobody waits for is dropped. */
  detached(job: Job): void {
    if (job.readers > 0 || job.start.ticket !== '') return;
    this.queue = this.queue.filter(each => each !== job);
  }

  /** Called when an attachment has received the answer. */
  delivered(job: Job): void {
    this.undelivered.delete(job.start.ticket);
  }

  inProgress(): number {
    return this.queue.length + this.running.size;
  }

  /** Answers that no attachment has received and that are waited for. */
  unread(nowMs: number): number {
    for (const [ticket, endedMs] of this.undelivered) {
      const waits = nowMs - endedMs <= this.parts.limits.drainUnreadMs;
      if (!waits) this.undelivered.delete(ticket);
    }
    return this.undelivered.size;
  }

  /** Called by the timer. */
  tick(): void {
    const late = refusal('deadline_exceeded', 'deadline passed in the queue');
    const {expired} = splitExpired(this.queue, this.nowMs());
    expired.forEach(job => this.drop(job, late));
    this.unread(this.nowMs());
    this.dispatch();
  }

  private attached(start: JobStart, record: CallRecord): Job {
    const open = this.jobs.get(start.ticket);
    if (open !== undefined) return open;
    const job = new Job(start);
    const end = endOf(record);
    if (end !== undefined) job.finish(end);
    return job;
  }

  private drop(job: Job, refused: Refusal): void {
    this.queue = this.queue.filter(each => each !== job);
    const {ticket} = job.start;
    if (ticket !== '') this.cancel(ticket, refused);
    job.refuse(refused);
  }

  private paused(): void {
    const refused = refusal('paused', 'node was paused', {retryAfterMs: 100});
    this.queue.forEach(job => this.drop(job, refused));
  }

  private dispatch(): void {
    const {limits, pauses} = this.parts;
    while (this.running.size < limits.callsAtOnce) {
      if (pauses.isPaused()) return;
      const nowMs = this.nowMs();
      const job = nextWork(this.queue, each => nowMs <= each.deadlineMs);
      if (job === undefined) return;
      this.queue = this.queue.filter(each => each !== job);
      this.run(job);
    }
  }

  private run(job: Job): void {
    const {ticket} = job.start;
    const nowMs = this.nowMs();
    // The record says running before anything is sent.
    if (ticket !== '' && this.table.start(ticket, nowMs) === undefined) return;
    this.running.add(job);
    void this.send(job).then(answer => {
      this.running.delete(job);
      this.measure(this.nowMs() - nowMs);
      if (ticket === '') job.finish(repeatableEnd(answer));
      else this.ticketedEnd(job, answer);
      this.dispatch();
    });
  }

  private async send(job: Job): Promise<Result<PlainAnswer, PlainError>> {
    const {requestId, operation, body, ticket, deadlineMs} = job.start;
    const {callTimeoutMs} = this.parts.limits;
    const remainingMs = Math.max(1, deadlineMs - this.nowMs());
    try {
      return await this.parts.plain.call({
        requestId,
        operation,
        body,
        // The outcome of a ticket is worth waiting for after the caller's deadline.
        timeoutMs:
          ticket === '' ? Math.min(callTimeoutMs, remainingMs) : callTimeoutMs,
        freshConnection: ticket !== '',
      });
    } catch (error) {
      return Err({kind: 'broken', message: String(error)});
    }
  }

  private ticketedEnd(job: Job, answer: Result<PlainAnswer, PlainError>): void {
    const {ticket} = job.start;
    const nowMs = this.nowMs();
    const record = this.table.end(ticket, callEnd(answer), nowMs);
    this.jobs.delete(ticket);
    if (record?.state === CALL_STATE.finished) {
      this.undelivered.set(ticket, nowMs);
    }
    if (record?.state === CALL_STATE.cancelled) {
      return job.refuse(
        refusal('service_failed', 'service refused the connection', {
          retryAfterMs: 100,
        }),
      );
    }
    const end = record && endOf(record);
    if (end !== undefined) job.finish(end);
  }

  private measure(ms: number): void {
    this.parts.context.metrics.timing('call_in_service', ms);
    this.mean.add(ms);
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }
}

function callEnd(answer: Result<PlainAnswer, PlainError>): CallEnd {
  if (answer.isOk()) return {kind: 'answered', answer: answer.value};
  return {kind: answer.error.kind === 'unreachable' ? 'not_sent' : 'lost'};
}

function repeatableEnd(answer: Result<PlainAnswer, PlainError>): JobEnd {
  if (answer.isOk()) return {kind: 'answered', answer: answer.value};
  const sent = answer.error.kind !== 'unreachable';
  return {
    kind: 'refused',
    refusal: refusal('service_failed', answer.error.message, {
      outcome: sent ? OUTCOME.unknown : OUTCOME.notRun,
      retryAfterMs: 100,
    }),
  };
}
