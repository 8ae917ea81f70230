/** Decides the next step of a request from its state at the entry. */
import {
  MAX_ATTEMPTS,
  SEND_STATE,
  WORK,
  isSettled,
  knownOutcome,
  mayHaveRun,
  usesRetryBudget,
  type Attempts,
  type Failure,
  type RequestTicket,
} from './attempts.js';
import {OUTCOME, refusal, type Refusal, type RetryReason} from './reasons.js';

/** Phases of a request with respect to its deadline. */
export const PHASE = {
  /** New attempts may start. */
  open: 'open',
  /** No new attempts start; the remaining time is reserved for `Settle`. */
  closing: 'closing',
  /** The deadline has passed. */
  over: 'over',
} as const;

/** One of the values of {@link PHASE}. */
export type Phase = (typeof PHASE)[keyof typeof PHASE];

/** Conditions outside the request that the next step depends on. */
export interface StepConditions {
  readonly phase: Phase;
  /** Targets that accept new work, in order of preference. */
  readonly candidates: readonly string[];
  /** Whether the retry budget of the entry allows a retry. */
  readonly mayRetry: boolean;
}

/** A step of the entry. */
export type Step =
  | {readonly kind: 'send'; readonly target: string}
  /** Issue a ticket bound to the target, then send the request. */
  | {readonly kind: 'issue'; readonly target: string}
  /** Attach to the running chat, or send the call again under the same ticket. */
  | {readonly kind: 'reattach'; readonly target: string}
  | {readonly kind: 'settle'; readonly ticket: RequestTicket}
  | {readonly kind: 'reply'}
  | {readonly kind: 'refuse'; readonly refusal: Refusal};

/** Returns the reason of the last failure, which labels the retry counter. */
export function lastRetryReason({failures}: Attempts): RetryReason | undefined {
  return failures.at(-1)?.reason;
}

/** Returns the next step. Must be called only while no send is open. */
export function nextStep(attempts: Attempts, situation: StepConditions): Step {
  if (attempts.answered) return {kind: 'reply'};
  if (situation.phase === PHASE.over) return refuse(attempts, timeout());
  if (attempts.work === WORK.ticketed) return ticketedStep(attempts, situation);
  if (situation.phase === PHASE.closing) return refuse(attempts, timeout());
  return plainStep(attempts, situation);
}

function timeout(): Refusal {
  return refusal('deadline_exceeded', 'no answer within the deadline');
}

function refuse(attempts: Attempts, fallback: Refusal): Step {
  const outcome = knownOutcome(attempts);
  const base = attempts.lastRefusal ?? fallback;
  // A refusal with `not_run` covers only its own send and does not explain the outcome
  // of the request.
  const isMisleading =
    outcome !== OUTCOME.notRun &&
    (attempts.lastRefusal === undefined || base.outcome === OUTCOME.notRun);
  if (!isMisleading) return {kind: 'refuse', refusal: {...base, outcome}};
  const isDeadlineRefusal =
    fallback.reason === 'deadline_exceeded' && attempts.work !== WORK.ticketed;
  const reason = isDeadlineRefusal ? fallback.reason : 'outcome_unknown';
  return {kind: 'refuse', refusal: refusal(reason, base.message, {outcome})};
}

function noTarget(): Refusal {
  return refusal('no_target', 'no target takes new work', {
    retryAfterMs: 1_000,
  });
}

function attemptsExhausted(): Refusal {
  return refusal('no_target', 'all attempts failed', {retryAfterMs: 1_000});
}

/** Returns whether the target is likely to refuse again or not to answer. */
function isLikelyToFail({reason}: Failure): boolean {
  return reason !== 'revision_behind' && reason !== 'wrong_incarnation';
}

/** Returns whether the target refuses all new work, which makes another attempt there useless. */
function refusesNewWork({reason}: Failure): boolean {
  return reason === 'leaving' || reason === 'overloaded';
}

/**
 * Returns the first candidate that has not failed, else the first whose failure may be
 * temporary.
 */
function pickTarget(
  {failures}: Attempts,
  candidates: readonly string[],
): string | undefined {
  const firstExcept = (isExcluded: (failure: Failure) => boolean) =>
    candidates.find(
      name =>
        !failures.some(
          failure => failure.target === name && isExcluded(failure),
        ),
    );
  return firstExcept(isLikelyToFail) ?? firstExcept(refusesNewWork);
}

function mayStartAttempt(
  attempts: Attempts,
  situation: StepConditions,
): boolean {
  if (attempts.attemptCount >= MAX_ATTEMPTS) return false;
  return situation.mayRetry || !usesRetryBudget(attempts);
}

/** Returns whether the last send was refused in a way that allows no further attempt. */
function isLastRefusalFinal({sends}: Attempts): boolean {
  const send = sends.at(-1);
  return send?.state === SEND_STATE.refused && send.retryReason === undefined;
}

function isLastSendLost({sends, isUnreachable}: Attempts): boolean {
  return sends.at(-1)?.state === SEND_STATE.lost && !isUnreachable;
}

/** Returns the next step of a chat or a repeatable call, which any target may run again. */
function plainStep(attempts: Attempts, situation: StepConditions): Step {
  if (isLastRefusalFinal(attempts)) return refuse(attempts, noTarget());
  const target = attempts.sends.at(-1)?.target;
  const shouldReattach =
    attempts.work === WORK.chat &&
    isLastSendLost(attempts) &&
    !attempts.isReattachWithoutProgress &&
    attempts.attemptCount < MAX_ATTEMPTS;
  if (shouldReattach && target !== undefined) return {kind: 'reattach', target};
  if (!mayStartAttempt(attempts, situation)) {
    return refuse(attempts, attemptsExhausted());
  }
  const nextTarget = pickTarget(attempts, situation.candidates);
  if (nextTarget === undefined) return refuse(attempts, noTarget());
  return {kind: 'send', target: nextTarget};
}

/** Returns the next step of a ticketed call, which only the target of its ticket may run. */
function ticketedStep(attempts: Attempts, situation: StepConditions): Step {
  const {ticket} = attempts;
  if (ticket === undefined) return issueStep(attempts, situation);
  if (situation.phase === PHASE.closing) return closingStep(attempts, ticket);
  if (isSettled(attempts)) return stepAfterSettle(attempts, situation);
  if (attempts.settlement?.running) return {kind: 'settle', ticket};
  const send = attempts.sends.findLast(
    ({ticket: text}) => text === ticket.text,
  );
  if (send === undefined) return firstSendStep(attempts, ticket, situation);
  if (send.state === SEND_STATE.lost) return resendStep(attempts, ticket);
  return stepAfterRefusal(attempts, ticket, situation);
}

/** Returns the step in the closing phase: settles the call unless its outcome is certain. */
function closingStep(attempts: Attempts, ticket: RequestTicket): Step {
  const isOutcomeKnown = isSettled(attempts) || !mayHaveRun(attempts);
  return isOutcomeKnown
    ? refuse(attempts, timeout())
    : {kind: 'settle', ticket};
}

/** Issues a new ticket, unless an earlier send may have run the call or no attempt is left. */
function issueStep(attempts: Attempts, situation: StepConditions): Step {
  if (mayHaveRun(attempts) || !mayStartAttempt(attempts, situation)) {
    return refuse(attempts, attemptsExhausted());
  }
  const target = pickTarget(attempts, situation.candidates);
  if (target === undefined) return refuse(attempts, noTarget());
  return {kind: 'issue', target};
}

function firstSendStep(
  attempts: Attempts,
  ticket: RequestTicket,
  situation: StepConditions,
): Step {
  if (!attempts.isUnreachable) return {kind: 'send', target: ticket.target};
  if (ticket.issuedHere) return issueStep(attempts, situation);
  return resendStep(attempts, ticket);
}

/**
 * Sends the same ticket to the same incarnation again, which starts the call at most once.
 * For a ticket issued by the entry, one attempt is reserved for a new ticket at
 * another target, in case the first target records that the call never starts.
 */
function resendStep(attempts: Attempts, ticket: RequestTicket): Step {
  const reservedAttempts = ticket.issuedHere ? 1 : 0;
  if (attempts.attemptCount < MAX_ATTEMPTS - reservedAttempts) {
    return {kind: 'reattach', target: ticket.target};
  }
  return {kind: 'settle', ticket};
}

function stepAfterRefusal(
  attempts: Attempts,
  ticket: RequestTicket,
  situation: StepConditions,
): Step {
  const answer = attempts.sends.at(-1)?.refusal;
  if (!mayHaveRun(attempts)) {
    const mayIssueAgain = ticket.issuedHere && !isLastRefusalFinal(attempts);
    return mayIssueAgain
      ? issueStep(attempts, situation)
      : refuse(attempts, noTarget());
  }
  if (answer?.outcome !== OUTCOME.notRun) return refuse(attempts, noTarget());
  const isTemporary =
    answer.reason === 'revision_behind' || answer.reason === 'starting';
  if (isTemporary && !ticket.issuedHere) return resendStep(attempts, ticket);
  // The refused send started nothing, but an earlier send may still arrive.
  return {kind: 'settle', ticket};
}

function stepAfterSettle(attempts: Attempts, situation: StepConditions): Step {
  const mayIssueAgain = attempts.ticket?.issuedHere && !mayHaveRun(attempts);
  return mayIssueAgain && !isLastRefusalFinal(attempts)
    ? issueStep(attempts, situation)
    : refuse(attempts, timeout());
}
