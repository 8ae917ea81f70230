/** Decides what an entry does after each attempt to forward a request to a target. */

/** How one attempt ended, as seen by the entry. */
export const ATTEMPT_END = {
  /** The connection did not open, so no byte of the request was sent. */
  notSent: 'not_sent',
  /** The target declared that it did not run the request and never will. */
  notRun: 'not_run',
  /** A complete answer arrived that may be forwarded. */
  answered: 'answered',
  /** A complete answer arrived that reports a failure of the target; the request ran. */
  failed: 'failed',
  /** The request was sent; the answer is missing, truncated or belongs to another request. */
  broken: 'broken',
  /** The request was sent; the target does not respond. */
  silent: 'silent',
} as const;

/** One of the values of {@link ATTEMPT_END}. */
export type AttemptEnd = (typeof ATTEMPT_END)[keyof typeof ATTEMPT_END];

/** State of a request at the end of an attempt. */
export interface DeliveryState {
  readonly end: AttemptEnd;
  readonly isIdempotent: boolean;
  /** Number of targets that the request has been sent to. */
  readonly sends: number;
  /** Maximum number of targets that the request may be sent to. */
  readonly maxAttempts: number;
  /** Whether an earlier attempt may have run the request. */
  readonly mayHaveRun: boolean;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the retry budget allows another send. */
  readonly hasBudget: boolean;
}

/** Next steps of a request after an attempt. */
export const DELIVERY = {
  /** Forward the answer to the caller. */
  forward: 'forward',
  /** Try another target. */
  retry: 'retry',
  /** Refuse, and assure the caller that the request did not run. */
  refuse: 'refuse',
  /** Fail without stating whether the request ran. */
  fail: 'fail',
} as const;

/** One of the values of {@link DELIVERY}. */
export type Delivery = (typeof DELIVERY)[keyof typeof DELIVERY];

/** Minimum time left for another attempt, in milliseconds. With less time it cannot succeed. */
export const MIN_ATTEMPT_MS = 60;

/** Returns whether an attempt that ended this way may have run the request. */
export function mayHaveRunAfter(end: AttemptEnd): boolean {
  return end !== ATTEMPT_END.notSent && end !== ATTEMPT_END.notRun;
}

/** Returns the next step after an attempt. */
export function nextDelivery(state: DeliveryState): Delivery {
  const {end, isIdempotent, mayHaveRun} = state;
  if (end === ATTEMPT_END.answered) return DELIVERY.forward;
  const isUnsent = end === ATTEMPT_END.notSent;
  const attemptMayHaveRun = mayHaveRunAfter(end);
  const mayRepeat = isIdempotent || !(attemptMayHaveRun || mayHaveRun);
  const hasTime = state.remainingMs >= MIN_ATTEMPT_MS;
  const hasSendsLeft = state.sends < state.maxAttempts;
  if (mayRepeat && hasTime && hasSendsLeft && (isUnsent || state.hasBudget)) {
    return DELIVERY.retry;
  }
  if (end === ATTEMPT_END.failed) return DELIVERY.forward;
  return attemptMayHaveRun || mayHaveRun ? DELIVERY.fail : DELIVERY.refuse;
}

/** Returns whether another target would be tried if the retry budget allowed it. */
export function lacksBudget(state: DeliveryState): boolean {
  return (
    !state.hasBudget &&
    nextDelivery(state) !== DELIVERY.retry &&
    nextDelivery({...state, hasBudget: true}) === DELIVERY.retry
  );
}
