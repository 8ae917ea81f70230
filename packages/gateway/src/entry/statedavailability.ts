/** Whether a target takes new requests, according to its own answers. */
import {
  UNAVAILABILITY,
  noStatement,
  remainingPauseMs,
  unavailabilityOf,
  withIncarnation,
  withLeaving,
  withPause,
  type TargetStatement,
  type Unavailability,
} from '@balsamnotch/core';
import {Subject, type Observable} from 'rxjs';

/** Reasons for which a target is no longer unavailable. */
export const AVAILABILITY_CAUSE = {
  /** A new incarnation of the target is listed. */
  restarted: 'restarted',
  /** The target is no longer listed. */
  removed: 'removed',
  /** The pause is over. */
  elapsed: 'elapsed',
  /** The target is unavailable for another reason. */
  superseded: 'superseded',
} as const;

/** One of the values of {@link AVAILABILITY_CAUSE}. */
export type AvailabilityCause =
  (typeof AVAILABILITY_CAUSE)[keyof typeof AVAILABILITY_CAUSE];

/** Options of {@link StatedAvailability}. */
export interface StatedAvailabilityOptions {
  /** Monotonic clock, in milliseconds. */
  readonly now?: () => number;
  /** Called when a listed target becomes unavailable. */
  readonly onUnavailable?: (reason: Unavailability) => void;
  /** Called when that has ended, with its duration in milliseconds. */
  readonly onAvailable?: (
    reason: Unavailability,
    cause: AvailabilityCause,
    durationMs: number,
  ) => void;
}

/** Mutable statements of one target, for its listed incarnation. */
export class StatedAvailability {
  private statement: TargetStatement = noStatement(0);
  private readonly unavailable = new Subject<Unavailability>();
  /** Emits when requests that have not been sent must go elsewhere. */
  readonly unavailable$: Observable<Unavailability> = this.unavailable;
  /** What has been reported; undefined while the target is available or not listed. */
  private reported: {reason: Unavailability; sinceMs: number} | undefined;
  private endTimer: NodeJS.Timeout | undefined;
  private readonly now: () => number;
  private readonly onUnavailable: (reason: Unavailability) => void;
  private readonly onAvailable: NonNullable<
    StatedAvailabilityOptions['onAvailable']
  >;

  constructor({
    now = () => performance.now(),
    onUnavailable = () => undefined,
    onAvailable = () => undefined,
  }: StatedAvailabilityOptions = {}) {
    this.now = now;
    this.onUnavailable = onUnavailable;
    this.onAvailable = onAvailable;
  }

  /** Returns the reason for which the target gets no new requests; undefined if it may get some. */
  unavailability(): Unavailability | undefined {
    return unavailabilityOf(this.statement, this.now());
  }

  /** Records that an answer to a request sent to `incarnationMs` said that the target is leaving. */
  recordLeaving(incarnationMs: number): void {
    this.statement = withLeaving(this.statement, incarnationMs);
    this.report();
  }

  /** Time left of the pause that the target has asked for, in milliseconds; 0 if there is none. */
  remainingPauseMs(): number {
    return remainingPauseMs(this.statement, this.now());
  }

  /** Records that an answer to a request sent to `incarnationMs` asked for a pause. */
  recordPause(incarnationMs: number, pauseMs: number): void {
    this.statement = withPause(
      this.statement,
      incarnationMs,
      pauseMs,
      this.now(),
    );
    this.report();
  }

  /** Adopts the listed incarnation; what an earlier one stated no longer counts. */
  adoptIncarnation(incarnationMs: number): void {
    this.statement = withIncarnation(this.statement, incarnationMs);
    if (this.unavailability() === undefined) {
      this.reportEnd(AVAILABILITY_CAUSE.restarted);
    } else this.report();
  }

  /** Reports that the target is no longer listed. Its statements count if it is listed again. */
  recordRemoval(): void {
    this.reportEnd(AVAILABILITY_CAUSE.removed);
  }

  private report(): void {
    const reason = this.unavailability();
    if (reason === undefined) return;
    clearTimeout(this.endTimer);
    if (reason === UNAVAILABILITY.paused) {
      this.endTimer = setTimeout(
        () => this.reportEnd(AVAILABILITY_CAUSE.elapsed),
        Math.ceil(this.remainingPauseMs()),
      );
      this.endTimer.unref();
    }
    if (reason !== this.reported?.reason) {
      this.reportEnd(AVAILABILITY_CAUSE.superseded);
      this.reported = {reason, sinceMs: this.now()};
      this.onUnavailable(reason);
    }
    this.unavailable.next(reason);
  }

  private reportEnd(cause: AvailabilityCause): void {
    if (this.reported === undefined) return;
    if (cause !== AVAILABILITY_CAUSE.superseded) clearTimeout(this.endTimer);
    const {reason, sinceMs} = this.reported;
    this.reported = undefined;
    this.onAvailable(reason, cause, this.now() - sinceMs);
  }
}
