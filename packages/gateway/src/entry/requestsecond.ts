/** The second attempt of one request, if its answer is late. */
import {
  ATTEMPT_END,
  REQUEST_KIND,
  SECOND_OUTCOME,
  afterOutrun,
  type SecondWithheld,
} from '@balsamnotch/core';
import type {AdmittedRequest} from './admittedrequest.js';
import {isUsableAnswer, raceAttempts} from './attemptrace.js';
import type {
  AttemptRace,
  EndedAttempt,
  RaceOptions,
  SentAttempt,
} from './attemptrace.js';
import type {TargetChooser} from './chooser.js';
import type {RequestRecord} from './requestrecord.js';
import type {RequestRetries} from './requestretries.js';
import type {RequestSends} from './requestsends.js';
import type {ForwardingResources} from './resources.js';
import type {RequestKind} from './secondattempts.js';
import type {TargetState} from './targets.js';

/** Options of {@link RequestSecond}. */
export interface RequestSecondOptions {
  readonly resources: Pick<ForwardingResources, 'context' | 'secondAttempts'>;
  readonly request: AdmittedRequest;
  readonly chooser: Pick<TargetChooser, 'chooseBeside' | 'serviceLoad'>;
  readonly retries: Pick<RequestRetries, 'use'>;
  readonly record: Pick<RequestRecord, 'log'>;
  readonly sends: Pick<RequestSends, 'count' | 'tried' | 'open' | 'maySend'>;
  readonly remainingMs: () => number;
  /** Returns why the request may not be sent now, whatever its answer time; undefined if it may. */
  readonly obstacle: () => string | undefined;
  readonly onFailed: (ended: EndedAttempt) => void;
}

/** Sends one request to a second target while the answer of the first one is late. */
export class RequestSecond {
  private readonly kind: RequestKind;
  /** Whether the request may get a second attempt, and its answer time counts. */
  private readonly isCandidate: boolean;
  /** Reasons that were counted for this request. */
  private readonly counted = new Set<string>();
  private startedAtMs: number | undefined;

  constructor(private readonly options: RequestSecondOptions) {
    const {request, resources} = options;
    const {service, route} = request;
    this.kind = {service: service.name, route: route.name};
    this.isCandidate =
      resources.secondAttempts.isEnabled &&
      route.kind === REQUEST_KIND.safe &&
      service.engine === undefined;
    if (this.isCandidate) resources.secondAttempts.recordRequest(this.kind);
  }

  private get nowMs(): number {
    return this.options.resources.context.clock.monotonicMs();
  }

  /** Sends the request to a target. Only its first send may have a second one beside it. */
  race(target: TargetState): AttemptRace {
    const {sends, resources} = this.options;
    const {secondAttempts} = resources;
    const {id} = target.listing.target;
    const isFirstSend = sends.count === 0;
    const first = sends.open(target);
    const mayHaveSecond = isFirstSend && sends.maySend();
    const raceOptions: RaceOptions = {
      lateAfterMs:
        this.isCandidate && mayHaveSecond
          ? secondAttempts.lateAfterMs(this.kind, id)
          : undefined,
      openSecond: () => this.openSecond(first),
      onFailed: this.options.onFailed,
      onOutrun: sent => this.recordOutrun(sent),
    };
    return raceAttempts(first, raceOptions);
  }

  /** Records how an attempt ended; a cancelled one is recorded by the race. */
  recordEnd({target, result, startedAtMs, isSecond}: EndedAttempt): void {
    const {secondAttempts} = this.options.resources;
    const {id} = target.listing.target;
    const {end, isReplaced} = result;
    if (end === ATTEMPT_END.notRun && !isReplaced) {
      secondAttempts.recordRefusal(this.kind.service);
    }
    if (!this.isCandidate) return;
    const isAnswered = isUsableAnswer(result);
    if (isAnswered) {
      secondAttempts.recordTime(this.kind, id, this.nowMs - startedAtMs);
    }
    if (!isSecond) return;
    if (end === ATTEMPT_END.notSent && this.startedAtMs !== undefined) {
      secondAttempts.recordNotSent(this.kind, this.startedAtMs);
      return;
    }
    secondAttempts.recordOutcome(
      this.kind,
      isAnswered ? SECOND_OUTCOME.won : SECOND_OUTCOME.failed,
    );
  }

  private openSecond(first: SentAttempt): SentAttempt | undefined {
    const {resources, chooser, retries, record, sends} = this.options;
    const {secondAttempts, context} = resources;
    const obstacle = this.options.obstacle();
    if (obstacle !== undefined) return this.withhold(obstacle);
    if (!sends.maySend()) return this.withhold('attempts');
    // The request may be the one that crashes its servers.
    if (context.evidence.tracksRequests()) return this.withhold('crashes');
    const target = chooser.chooseBeside(sends.tried);
    const reason: SecondWithheld | undefined = secondAttempts.withheld(
      this.kind,
      {
        remainingMs: this.options.remainingMs(),
        ...chooser.serviceLoad(),
        retries: retries.use(),
        hasTarget: target !== undefined,
      },
    );
    if (reason !== undefined || target === undefined) {
      return this.withhold(reason ?? 'no_target');
    }
    this.startedAtMs = secondAttempts.recordStart(this.kind);
    record.log('second_attempt', {
      target: target.listing.target.id,
      beside: first.target.listing.target.id,
      after_ms: Math.round(this.nowMs - first.startedAtMs),
    });
    return {...sends.open(target), isSecond: true};
  }

  /** Counts and logs a reason once for this request. */
  private withhold(reason: string): undefined {
    if (this.counted.has(reason)) return;
    this.counted.add(reason);
    const {resources, record} = this.options;
    resources.context.metrics.count('second_attempt_withheld', reason);
    record.log('second_attempt_withheld', {reason});
  }

  /** Records that the attempt was cancelled since the one beside it has answered. */
  private recordOutrun({target, startedAtMs, isSecond}: SentAttempt): void {
    const {resources, record} = this.options;
    const {secondAttempts, context} = resources;
    const {id} = target.listing.target;
    const elapsedMs = this.nowMs - startedAtMs;
    secondAttempts.recordTime(this.kind, id, elapsedMs);
    if (isSecond) secondAttempts.recordOutcome(this.kind, SECOND_OUTCOME.lost);
    else target.health = afterOutrun(target.health, elapsedMs, this.nowMs);
    context.metrics.count('second_attempt', 'cancelled');
    record.log('outrun', {
      target: id,
      is_second: isSecond,
      ms: Math.round(elapsedMs),
    });
  }
}
