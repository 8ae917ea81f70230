/** The next step of a request, from what the entry knows about it. */
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
  type HeldTicket,
} from './attempts.js';
import {OUTCOME, refusal, type Refusal, type RetryReason} from './reasons.js';

/** Phases of a request's time. */
export const PHASE = {
  /** Attempts may start. */
  open: 'open',
  /** The rest of the time is kept for `Settle`. */
  closing: 'closing',
  /** The deadline has passed. */
  over: 'over',
} as const;

/** One of the values of {@link PHASE}. */
export type Phase = (typeof PHASE)[keyof typeof PHASE];

/** What the decision depends on besides the request itself. */
export interface Situation {
  readonly phase: Phase;
  /** Targets that take new work, the preferred one first. */
  readonly candidates: readonly string[];
  /** The retry budget of the entry has room. */
  readonly mayRetry: boolean;
}

/** What the entry does next. */
export type Step =
  | {readonly kind: 'send'; readonly target: string}
  /** Issue a ticket that is bound to the target, then send. */
  | {readonly kind: 'issue'; readonly target: string}
  /** Attach to the chat, or send the same ticket again. */
  | {readonly kind: 'reattach'; readonly target: string}
  | {readonly kind: 'settle'; readonly ticket: HeldTicket}
  | {readonly kind: 'reply'}
  | {readonly kind: 'refuse'; readonly refusal: Refusal};

/** Reason of the last failure, for the retry counter. */
export function lastRetryReason({failures}: Attempts): RetryReason | undefined {
  return failures.at(-1)?.reason;
}

/** The next step. It is asked for whenever no send is open. */
export function nextStep(attempts: Attempts, situation: Situation): Step {
  if (attempts.answered) return {kind: 'reply'};
  if (situation.phase === PHASE.over) return refuse(attempts, deadline());
  if (attempts.work === WORK.ticketed) return ticketedStep(attempts, situation);
  if (situation.phase === PHASE.closing) return refuse(attempts, deadline());
  return plainStep(attempts, situation);
}

function deadline(): Refusal {
  return refusal('deadline_exceeded', 'no answer within the deadline');
}

function refuse(attempts: Attempts, fallback: Refusal): Step {
  const outcome = knownOutcome(attempts);
  const base = attempts.last ?? fallback;
  // A refusal that says `not_run` of one send is no reason for an open outcome.
  const unclear =
    outcome !== OUTCOME.notRun &&
    (attempts.last === undefined || base.outcome === OUTCOME.notRun);
  if (!unclear) return {kind: 'refuse', refusal: {...base, outcome}};
  const late =
    fallback.reason === 'deadline_exceeded' && attempts.work !== WORK.ticketed;
  const reason = late ? fallback.reason : 'outcome_unknown';
  return {kind: 'refuse', refusal: refusal(reason, base.message, {outcome})};
}

function noTarget(): Refusal {
  return refusal('no_target', 'no target takes new work', {
    retryAfterMs: 1_000,
  });
}

function exhausted(): Refusal {
  return refusal('no_target', 'all attempts failed', {retryAfterMs: 1_000});
}

/** Targets that would refuse again, or that did not answer. */
function isLikelyToFail({reason}: Failure): boolean {
  return reason !== 'revision_behind' && reason !== 'wrong_incarnation';
}

/** A target that refuses all new work; trying it again is of no use. */
function refusesNewWork({reason}: Failure): boolean {
  return reason === 'leaving' || reason === 'overloaded';
}

/** The first candidate that has not failed, else one whose failure may have passed. */
function pickTarget(
  {failures}: Attempts,
  candidates: readonly string[],
): string | undefined {
  const without = (isExcluded: (failure: Failure) => boolean) =>
    candidates.find(
      name =>
        !failures.some(
          failure => failure.target === name && isExcluded(failure),
        ),
    );
  return without(isLikelyToFail) ?? without(refusesNewWork);
}

function mayStartAnother(attempts: Attempts, situation: Situation): boolean {
  if (attempts.count >= MAX_ATTEMPTS) return false;
  return situation.mayRetry || !usesRetryBudget(attempts);
}

/** A refusal that allows no other attempt. */
function isFinal({sends}: Attempts): boolean {
  const send = sends.at(-1);
  return send?.state === SEND_STATE.refused && send.retryReason === undefined;
}

function wasLost({sends, unreachable}: Attempts): boolean {
  return sends.at(-1)?.state === SEND_STATE.lost && !unreachable;
}

/** Chats and repeatable calls: another target may do the same work. */
function plainStep(attempts: Attempts, situation: Situation): Step {
  if (isFinal(attempts)) return refuse(attempts, noTarget());
  const target = attempts.sends.at(-1)?.target;
  const reattach =
    attempts.work === WORK.chat &&
    wasLost(attempts) &&
    !attempts.reattached &&
    attempts.count < MAX_ATTEMPTS;
  if (reattach && target !== undefined) return {kind: 'reattach', target};
  if (!mayStartAnother(attempts, situation)) {
    return refuse(attempts, exhausted());
  }
  const next = pickTarget(attempts, situation.candidates);
  if (next === undefined) return refuse(attempts, noTarget());
  return {kind: 'send', target: next};
}

/** A call under a ticket: only the ticket's target may run it. */
function ticketedStep(attempts: Attempts, situation: Situation): Step {
  const {ticket} = attempts;
  if (ticket === undefined) return issue(attempts, situation);
  if (situation.phase === PHASE.closing) return closing(attempts, ticket);
  if (isSettled(attempts)) return afterSettle(attempts, situation);
  if (attempts.settlement?.running) return {kind: 'settle', ticket};
  const send = attempts.sends.findLast(
    ({ticket: text}) => text === ticket.text,
  );
  if (send === undefined) return firstSend(attempts, ticket, situation);
  if (send.state === SEND_STATE.lost) return resend(attempts, ticket);
  return afterRefusal(attempts, ticket, situation);
}

/** The last part of the time: find out what became of the call. */
function closing(attempts: Attempts, ticket: HeldTicket): Step {
  const clear = isSettled(attempts) || !mayHaveRun(attempts);
  return clear ? refuse(attempts, deadline()) : {kind: 'settle', ticket};
}

/** A new ticket, only while nothing that was sent may run. */
function issue(attempts: Attempts, situation: Situation): Step {
  if (mayHaveRun(attempts) || !mayStartAnother(attempts, situation)) {
    return refuse(attempts, exhausted());
  }
  const target = pickTarget(attempts, situation.candidates);
  if (target === undefined) return refuse(attempts, noTarget());
  return {kind: 'issue', target};
}

function firstSend(
  attempts: Attempts,
  ticket: HeldTicket,
  situation: Situation,
): Step {
  if (!attempts.unreachable) return {kind: 'send', target: ticket.target};
  if (ticket.issuedHere) return issue(attempts, situation);
  return resend(attempts, ticket);
}

/**
 * Sending the same ticket to the same incarnation again is safe. One attempt
 * is kept for a new ticket at another target, if the target's record allows it.
 */
function resend(attempts: Attempts, ticket: HeldTicket): Step {
  const kept = ticket.issuedHere ? 1 : 0;
  if (attempts.count < MAX_ATTEMPTS - kept) {
    return {kind: 'reattach', target: ticket.target};
  }
  return {kind: 'settle', ticket};
}

function afterRefusal(
  attempts: Attempts,
  ticket: HeldTicket,
  situation: Situation,
): Step {
  const answer = attempts.sends.at(-1)?.refusal;
  if (!mayHaveRun(attempts)) {
    const again = ticket.issuedHere && !isFinal(attempts);
    return again ? issue(attempts, situation) : refuse(attempts, noTarget());
  }
  if (answer?.outcome !== OUTCOME.notRun) return refuse(attempts, noTarget());
  const passing =
    answer.reason === 'revision_behind' || answer.reason === 'starting';
  if (passing && !ticket.issuedHere) return resend(attempts, ticket);
  // This send started nothing, but an earlier one may still arrive.
  return {kind: 'settle', ticket};
}

function afterSettle(attempts: Attempts, situation: Situation): Step {
  const again = attempts.ticket?.issuedHere && !mayHaveRun(attempts);
  return again && !isFinal(attempts)
    ? issue(attempts, situation)
    : refuse(attempts, deadline());
}
