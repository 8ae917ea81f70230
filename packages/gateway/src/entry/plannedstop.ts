/** The planned stop of an entry, as its requests see it. */
import {
  ATTEMPT_END,
  endsBeforeStop,
  stopAllotmentMs,
  withDuration,
  withUnanswered,
  type AttemptEnd,
  type RecentDurations,
} from '@balsamnotch/core';
import {ReplaySubject, type Observable} from 'rxjs';
import type {AdmittedRequest} from './admittedrequest.js';

/** Reason for which a request is not sent, since it would probably not end before the stop does. */
export const STOPPING = 'stopping';

/** Reason for which requests end that are open at the end of the stop. */
export const STOP_ENDED = 'stop_ended';

/** Retry delay for callers that the stop turns away, in milliseconds; other entries serve them. */
export const STOP_RETRY_AFTER_MS = 200;

/** Route and service of a request. */
type RequestClass = Pick<AdmittedRequest, 'route' | 'service'>;

function classKey({route, service}: RequestClass): string {
  return JSON.stringify([route.name, service.name]);
}

/** Knows when the stop ends, and how long requests usually take. */
export class PlannedStop {
  private endsAtMs = Infinity;
  private replacedAtMs = Infinity;
  private readonly ended = new ReplaySubject<void>(1);
  private readonly durations = new Map<string, RecentDurations>();

  /** Emits at the end of the stop, also to later subscribers. */
  readonly ended$: Observable<void> = this.ended.asObservable();

  /** `now` is the monotonic clock, in milliseconds. */
  constructor(private readonly now: () => number) {}

  /**
   * Begins the stop; `endsAtMs` is its end, and `replacedAtMs` the time from which on the load
   * balancer sends all new requests elsewhere. Both are monotonic times in milliseconds.
   */
  begin(endsAtMs: number, replacedAtMs: number): void {
    this.endsAtMs = endsAtMs;
    this.replacedAtMs = replacedAtMs;
  }

  /** Ends the stop. */
  end(): void {
    this.endsAtMs = -Infinity;
    this.ended.next();
    this.ended.complete();
  }

  /** Starts to measure an attempt; the returned function records how it ended. */
  startAttempt(request: RequestClass): (end: AttemptEnd) => void {
    const startedAtMs = this.now();
    return end => {
      if (end === ATTEMPT_END.notSent) return;
      const key = classKey(request);
      const durations = this.durations.get(key) ?? [];
      const durationMs = this.now() - startedAtMs;
      this.durations.set(
        key,
        end === ATTEMPT_END.answered
          ? withDuration(durations, durationMs)
          : withUnanswered(durations, durationMs, request.route),
      );
    };
  }

  /**
   * Returns whether the request may be sent now. `remainingMs` is the time left until its
   * deadline, in milliseconds.
   */
  allows(request: RequestClass, remainingMs: number): boolean {
    if (this.endsAtMs === Infinity) return true;
    const nowMs = this.now();
    return endsBeforeStop({
      stopInMs: this.endsAtMs - nowMs,
      remainingMs,
      allotmentMs: stopAllotmentMs({
        route: request.route,
        durations: this.durations.get(classKey(request)) ?? [],
        isReplaced: nowMs >= this.replacedAtMs,
      }),
    });
  }
}
