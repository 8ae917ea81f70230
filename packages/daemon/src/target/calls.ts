/** Call controller: queues calls to the plain service, limits concurrency and records tickets. */
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
  PlainResponse,
  PlainError,
  PlainService,
} from '@balsamnotch/systems';
import {Err, Ok, type Result} from 'ts-results-es';
import type {NodeContext} from '../node/context.js';
import {Job, type JobEnd, type JobSpec} from './job.js';
import {MovingMean} from './mean.js';
import type {PauseWatch} from './pauses.js';
import type {TargetLimits} from './systems.js';

/** Dependencies of a {@link CallController}. */
export interface CallControllerParts {
  readonly context: NodeContext;
  readonly plain: PlainService;
  readonly pauses: PauseWatch;
  readonly limits: TargetLimits;
  /** Bound on queued requests, from the configuration in force. */
  readonly queueLimit: () => number;
}

/** Hexadecimal SHA-256 of operation and body; must be the same for each use of a ticket. */
export function callDigest(operation: string, body: Uint8Array): string {
  return createHash('sha256')
    .update(`${operation}\n`)
    .update(body)
    .digest('hex');
}

/** Result that attachments receive for a closed record; undefined while the call is open. */
function endOfRecord(record: CallRecord): JobEnd | undefined {
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
        refusal: refusal('cancelled', 'call was cancelled before it ran'),
      };
    case CALL_STATE.unknown:
      return {
        kind: 'refused',
        refusal: refusal('outcome_unknown', 'service did not answer', {
          outcome: OUTCOME.unknown,
        }),
      };
  }
}

/** Owns the call records and all calls of this node. */
export class CallController {
  private readonly table: CallTable;
  /** Open calls that have a ticket, by ticket. */
  private readonly jobs = new Map<string, Job>();
  private queue: WorkQueue<Job> = [];
  private readonly running = new Set<Job>();
  /**
   * Answered calls whose answer no attachment has received: time of the answer on
   * the node's monotonic clock, in milliseconds, by ticket.
   */
  private readonly undelivered = new Map<string, number>();
  private readonly meanServiceTime = new MovingMean();

  constructor(private readonly parts: CallControllerParts) {
    const capacity = parts.context.settings.limits.callRecords;
    this.table = new CallTable({capacity});
    parts.pauses.paused$.subscribe(() => this.handlePause());
  }

  get queued(): number {
    return this.queue.length;
  }

  get active(): number {
    return this.running.size;
  }

  /** Moving mean of the time that a call spends in the service, in milliseconds. */
  get serviceMs(): number {
    return this.meanServiceTime.ms;
  }

  record(ticket: string): CallRecord | undefined {
    return this.table.get(ticket);
  }

  /** Queues a repeatable call; refuses it if the queue is full. */
  begin(spec: JobSpec): Result<Job, Refusal> {
    const job = new Job(spec);
    const queue = enqueue(this.queue, job, this.parts.queueLimit());
    if (queue.isErr()) return Err(queue.error);
    this.queue = queue.value;
    this.dispatch();
    return Ok(job);
  }

  /**
   * Queues the call of a ticket, or returns the existing call if the ticket has
   * one. Records a refusal of the first request, because a late duplicate must
   * not run once the refusal has reported `not_run`.
   */
  beginTicketed(spec: JobSpec): Result<Job, Refusal> {
    const {ticket, operation, body} = spec;
    const existing = this.table.get(ticket);
    const identity = {ticket, digest: callDigest(operation, body)};
    const record = this.table.accept(identity, this.nowMs());
    if (record.isErr()) return Err(record.error);
    if (existing !== undefined) return Ok(this.jobOfRecord(spec, record.value));
    const job = new Job(spec);
    const queue = enqueue(this.queue, job, this.parts.queueLimit());
    if (queue.isErr()) return Err(this.cancelAndRefuse(ticket, queue.error));
    this.queue = queue.value;
    this.jobs.set(ticket, job);
    this.dispatch();
    return Ok(job);
  }

  /**
   * Records that the call of a ticket must never start, and returns the refusal
   * to send: `cause`, with outcome `unknown` if the call has already started, or
   * `records_full` if the record could not be made.
   */
  cancelAndRefuse(ticket: string, cause: Refusal): Refusal {
    const record = this.cancel(ticket, cause);
    if (record === undefined) {
      return refusal('records_full', 'no room for another call record', {
        retryAfterMs: 1_000,
      });
    }
    if (record.state === CALL_STATE.cancelled) return cause;
    return {...cause, outcome: OUTCOME.unknown};
  }

  /** As {@link CallTable.cancel}; also removes a queued call from the queue and refuses it. */
  cancel(ticket: string, cause: Refusal): CallRecord | undefined {
    const record = this.table.cancel(ticket, this.nowMs());
    const job = this.jobs.get(ticket);
    if (record?.state === CALL_STATE.cancelled && job !== undefined) {
      this.queue = this.queue.filter(other => other !== job);
      this.jobs.delete(ticket);
      job.refuse(cause);
    }
    return record;
  }

  /** Called when an attachment ends. Drops a queued repeatable call that has no attachment left. */
  handleDetach(job: Job): void {
    if (job.readers > 0 || job.spec.ticket !== '') return;
    this.queue = this.queue.filter(other => other !== job);
  }

  /** Called when an attachment has received the answer; a planned stop no longer waits for it. */
  markDelivered(job: Job): void {
    this.undelivered.delete(job.spec.ticket);
  }

  /** Number of calls that are queued or running. */
  inProgress(): number {
    return this.queue.length + this.running.size;
  }

  /**
   * Number of answers that no attachment has received and that still delay a
   * planned stop. Forgets answers older than `unreadTimeoutMs`.
   */
  unread(nowMs: number): number {
    for (const [ticket, endedAtMs] of this.undelivered) {
      const isAwaited = nowMs - endedAtMs <= this.parts.limits.unreadTimeoutMs;
      if (!isAwaited) this.undelivered.delete(ticket);
    }
    return this.undelivered.size;
  }

  /** Called periodically: refuses expired calls, forgets old unread answers and starts calls. */
  tick(): void {
    const deadlineRefusal = refusal(
      'deadline_exceeded',
      'deadline passed while the request was queued',
    );
    const {expired} = splitExpired(this.queue, this.nowMs());
    expired.forEach(job => this.refuse(job, deadlineRefusal));
    this.unread(this.nowMs());
    this.dispatch();
  }

  /** Job for a repeated ticket: the open one, or a new one with the recorded result. */
  private jobOfRecord(spec: JobSpec, record: CallRecord): Job {
    const open = this.jobs.get(spec.ticket);
    if (open !== undefined) return open;
    const job = new Job(spec);
    const end = endOfRecord(record);
    if (end !== undefined) job.finish(end);
    return job;
  }

  private refuse(job: Job, cause: Refusal): void {
    this.queue = this.queue.filter(other => other !== job);
    const {ticket} = job.spec;
    if (ticket !== '') this.cancel(ticket, cause);
    job.refuse(cause);
  }

  private handlePause(): void {
    const pauseRefusal = refusal('paused', 'node was paused', {
      retryAfterMs: 100,
    });
    this.queue.forEach(job => this.refuse(job, pauseRefusal));
  }

  private dispatch(): void {
    const {limits, pauses} = this.parts;
    while (this.running.size < limits.maxConcurrentCalls) {
      if (pauses.isPaused()) return;
      const nowMs = this.nowMs();
      const job = nextWork(
        this.queue,
        candidate => nowMs <= candidate.deadlineMs,
      );
      if (job === undefined) return;
      this.queue = this.queue.filter(other => other !== job);
      this.run(job);
    }
  }

  private run(job: Job): void {
    const {ticket} = job.spec;
    const nowMs = this.nowMs();
    // The record is marked as running before anything is sent; otherwise a
    // cancel could report `not_run` for a call that the service has received.
    if (ticket !== '' && this.table.start(ticket, nowMs) === undefined) return;
    this.running.add(job);
    void this.send(job).then(answer => {
      this.running.delete(job);
      this.recordServiceTime(this.nowMs() - nowMs);
      if (ticket === '') job.finish(repeatableEnd(answer));
      else this.handleTicketedEnd(job, answer);
      this.dispatch();
    });
  }

  private async send(job: Job): Promise<Result<PlainResponse, PlainError>> {
    const {requestId, operation, body, ticket, deadlineMs} = job.spec;
    const {callTimeoutMs} = this.parts.limits;
    const remainingMs = Math.max(1, deadlineMs - this.nowMs());
    try {
      return await this.parts.plain.call({
        requestId,
        operation,
        body,
        // A ticketed call goes on past the caller's deadline, because the caller
        // can still settle its outcome.
        timeoutMs:
          ticket === '' ? Math.min(callTimeoutMs, remainingMs) : callTimeoutMs,
        freshConnection: ticket !== '',
      });
    } catch (error) {
      return Err({kind: 'broken', message: String(error)});
    }
  }

  private handleTicketedEnd(
    job: Job,
    answer: Result<PlainResponse, PlainError>,
  ): void {
    const {ticket} = job.spec;
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
    const end = record && endOfRecord(record);
    if (end !== undefined) job.finish(end);
  }

  private recordServiceTime(ms: number): void {
    this.parts.context.metrics.timing('call_in_service', ms);
    this.meanServiceTime.add(ms);
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }
}

function callEnd(answer: Result<PlainResponse, PlainError>): CallEnd {
  if (answer.isOk()) return {kind: 'answered', answer: answer.value};
  return {kind: answer.error.kind === 'unreachable' ? 'not_sent' : 'lost'};
}

function repeatableEnd(answer: Result<PlainResponse, PlainError>): JobEnd {
  if (answer.isOk()) return {kind: 'answered', answer: answer.value};
  const wasSent = answer.error.kind !== 'unreachable';
  return {
    kind: 'refused',
    refusal: refusal('service_failed', answer.error.message, {
      outcome: wasSent ? OUTCOME.unknown : OUTCOME.notRun,
      retryAfterMs: 100,
    }),
  };
}
