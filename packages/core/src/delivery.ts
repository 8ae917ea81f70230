/** What an entry does after one attempt to have a forwarded request served. */

/** How one attempt ended, as the entry knows it. */
export const ATTEMPT_END = {
  /** No byte of the request left: the connection did not open. */
  notSent: 'not_sent',
  /** The target said that it did not run the request and never will. */
  notRun: 'not_run',
  /** A whole answer that may be passed on. */
  answered: 'answered',
  /** A whole answer with a failure of the target; the request ran. */
  failed: 'failed',
  /** Sent, and the answer is missing, cut short or not this request's. */
  broken: 'broken',
  /** Sent, and the target stays silent. */
  silent: 'silent',
} as const;

/** One of the values of {@link ATTEMPT_END}. */
export type AttemptEnd = (typeof ATTEMPT_END)[keyof typeof ATTEMPT_END];

/** What is known of a request when an attempt ends. */
export interface DeliveryState {
  readonly end: AttemptEnd;
  readonly isIdempotent: boolean;
  /** Targets that the request was sent to so far. */
  readonly sends: number;
  /** Targets that the request may be sent to. */
  readonly maxAttempts: number;
  /** An earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: number;
  /** The retry budget allows one more send. */
  readonly hasBudget: boolean;
}

/** Next step of a request. */
export const DELIVERY = {
  /** Pass the answer on. */
  forward: 'forward',
  /** Try another target. */
  retry: 'retry',
  /** Refuse with the promise that the request did not run. */
  refuse: 'refuse',
  /** Fail without a promise. */
  fail: 'fail',
} as const;

/** One of the values of {@link DELIVERY}. */
export type Delivery = (typeof DELIVERY)[keyof typeof DELIVERY];

/** Least time in which another attempt can still succeed, in milliseconds. */
export const LEAST_ATTEMPT_MS = 60;

/** Tells whether an attempt that ended this way may have run the request. */
export function mayHaveRunBy(end: AttemptEnd): boolean {
  return end !== ATTEMPT_END.notSent && end !== ATTEMPT_END.notRun;
}

/** Decides what follows an attempt. */
export function nextDelivery(state: DeliveryState): Delivery {
  const {end, isIdempotent, mayHaveRun} = state;
  if (end === ATTEMPT_END.answered) return DELIVERY.forward;
  const isFree = end === ATTEMPT_END.notSent;
  const wasRun = mayHaveRunBy(end);
  const mayRepeat = isIdempotent || !(wasRun || mayHaveRun);
  const hasTime = state.remainingMs >= LEAST_ATTEMPT_MS;
  const hasSends = state.sends < state.maxAttempts;
  if (mayRepeat && hasTime && hasSends && (isFree || state.hasBudget)) {
    return DELIVERY.retry;
  }
  if (end === ATTEMPT_END.failed) return DELIVERY.forward;
  return wasRun || mayHaveRun ? DELIVERY.fail : DELIVERY.refuse;
}
