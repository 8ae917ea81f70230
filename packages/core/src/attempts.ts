/**
 * State that an entry keeps for one request. It determines the next step and the outcome
 * that may be reported to the caller.
 */
import {
  OUTCOME,
  RETRY_REASONS,
  refusal,
  type Outcome,
  type Refusal,
  type RetryReason,
} from './reasons.js';

/** Maximum number of attempts for one request, summed over all targets. */
export const MAX_ATTEMPTS = 3;

/** Kinds of requests, by how often they may run. */
export const WORK = {
  chat: 'chat',
  /** A call that may run more than once. */
  repeatable: 'repeatable',
  /** A call that runs at most once, under a ticket. */
  ticketed: 'ticketed',
} as const;

/** One of the values of {@link WORK}. */
export type Work = (typeof WORK)[keyof typeof WORK];

/** Ticket of a non-repeatable call. */
export interface RequestTicket {
  readonly text: string;
  readonly target: string;
  readonly incarnation: string;
  /**
   * Whether this entry issued the ticket. An earlier request may have used a ticket that the
   * caller supplied.
   */
  readonly issuedHere: boolean;
}

/** States of a send. */
export const SEND_STATE = {
  open: 'open',
  /** No answer arrived, and the entry has stopped waiting for one. */
  lost: 'lost',
  refused: 'refused',
  answered: 'answered',
} as const;

/** One of the values of {@link SEND_STATE}. */
export type SendState = (typeof SEND_STATE)[keyof typeof SEND_STATE];

/** One request that may have reached a target. */
export interface Send {
  readonly target: string;
  /** Encoded ticket sent with the request; empty without a ticket. */
  readonly ticket: string;
  readonly state: SendState;
  /** Set in state `refused` only. */
  readonly refusal?: Refusal;
  /** Set when the refusal allows another attempt. */
  readonly retryReason?: RetryReason;
  /** Whether the target has recorded, after the send, that the call will never start. */
  readonly isVoided?: boolean;
}

/** An attempt that ended without an answer. */
export interface Failure {
  readonly target: string;
  readonly reason: RetryReason;
}

/** Answer of a target to `Settle`. */
export interface Settlement {
  readonly outcome: Outcome;
  /** Whether the call is running, so that its outcome is still open. */
  readonly running: boolean;
}

/** State of one request at the entry. */
export interface Attempts {
  readonly work: Work;
  /** Number of attempts made, including those that reached no target. */
  readonly attemptCount: number;
  readonly ticket?: RequestTicket;
  readonly sends: readonly Send[];
  readonly failures: readonly Failure[];
  /** Whether the last attempt was a reattach and no token has arrived since. */
  readonly isReattachWithoutProgress: boolean;
  /** Whether the last attempt could not connect to its target. */
  readonly isUnreachable: boolean;
  /** Answer to the last `Settle` for the current ticket. */
  readonly settlement?: Settlement;
  /**
   * Refusal of the last attempt, from the target or created because no connection opened.
   * Unset after a lost send.
   */
  readonly lastRefusal?: Refusal;
  readonly answered: boolean;
}

/** Returns the state of a request that has just arrived. */
export function beginAttempts(work: Work, ticket?: RequestTicket): Attempts {
  return {
    work,
    attemptCount: 0,
    ticket,
    sends: [],
    failures: [],
    isReattachWithoutProgress: false,
    isUnreachable: false,
    answered: false,
  };
}

/** Records that a ticket was issued for the next send. */
export function addIssuedTicket(
  attempts: Attempts,
  ticket: Omit<RequestTicket, 'issuedHere'>,
): Attempts {
  return {
    ...attempts,
    ticket: {...ticket, issuedHere: true},
    isUnreachable: false,
    settlement: undefined,
  };
}

/** Records that the request is sent to a target. From now on it may have arrived there. */
export function addSend(
  attempts: Attempts,
  target: string,
  isReattach = false,
): Attempts {
  const send = {
    target,
    ticket: attempts.ticket?.text ?? '',
    state: SEND_STATE.open,
  };
  return {
    ...attempts,
    attemptCount: attempts.attemptCount + 1,
    sends: [...attempts.sends, send],
    isReattachWithoutProgress: isReattach,
    isUnreachable: false,
  };
}

/** Records that no connection to the target opened. Nothing was sent. */
export function addConnectFailure(
  attempts: Attempts,
  target: string,
): Attempts {
  return {
    ...attempts,
    attemptCount: attempts.attemptCount + 1,
    failures: [...attempts.failures, {target, reason: 'connect_failed'}],
    isUnreachable: true,
    lastRefusal: refusal('no_target', `no connection to ${target}`, {
      retryAfterMs: 1_000,
    }),
  };
}

/** Records that tokens arrived. After a reattach this allows another reattach to the target. */
export function addProgress(attempts: Attempts): Attempts {
  return attempts.isReattachWithoutProgress
    ? {...attempts, isReattachWithoutProgress: false}
    : attempts;
}

function openSend({sends}: Attempts): Send | undefined {
  const send = sends.at(-1);
  return send?.state === SEND_STATE.open ? send : undefined;
}

function replaceLastSend(attempts: Attempts, send: Send): Attempts {
  return {...attempts, sends: [...attempts.sends.slice(0, -1), send]};
}

function withFailure(
  attempts: Attempts,
  target: string,
  reason: RetryReason | undefined,
): Attempts {
  if (reason === undefined) return attempts;
  return {...attempts, failures: [...attempts.failures, {target, reason}]};
}

/** Records that the entry stops waiting for an answer to the last send. */
export function addLoss(attempts: Attempts, reason: RetryReason): Attempts {
  const send = openSend(attempts);
  if (send === undefined) return attempts;
  const next = replaceLastSend(attempts, {...send, state: SEND_STATE.lost});
  return {...withFailure(next, send.target, reason), lastRefusal: undefined};
}

/** Records that the target refused the last send. */
export function addRefusal(
  attempts: Attempts,
  receivedRefusal: Refusal,
): Attempts {
  const send = openSend(attempts);
  if (send === undefined) return attempts;
  const retryReason = retryReasonOf(receivedRefusal, attempts);
  const next = replaceLastSend(attempts, {
    ...send,
    state: SEND_STATE.refused,
    refusal: receivedRefusal,
    retryReason,
  });
  return {
    ...withFailure(next, send.target, retryReason),
    lastRefusal: receivedRefusal,
  };
}

/** Records that the complete answer arrived. */
export function addAnswer(attempts: Attempts): Attempts {
  const send = openSend(attempts);
  if (send === undefined) return {...attempts, answered: true};
  const next = replaceLastSend(attempts, {...send, state: SEND_STATE.answered});
  return {...next, answered: true};
}

/** Records the answer of the target to `Settle` with `cancel` set, for the current ticket. */
export function addSettlement(
  attempts: Attempts,
  settlement: Settlement,
): Attempts {
  const isCancelled =
    !settlement.running && settlement.outcome === OUTCOME.notRun;
  const ticketText = attempts.ticket?.text;
  const sends = isCancelled
    ? attempts.sends.map(send =>
        send.ticket === ticketText ? {...send, isVoided: true} : send,
      )
    : attempts.sends;
  return {...attempts, sends, settlement};
}

/** Returns the retry reason of a refusal, or undefined when the refusal is final. */
function retryReasonOf(
  {reason, outcome}: Refusal,
  {work, ticket, failures}: Attempts,
): RetryReason | undefined {
  if (reason === 'cancelled') {
    // The target cancelled an earlier send of this ticket, so a new ticket may run.
    return ticket?.issuedHere ? failures.at(-1)?.reason : undefined;
  }
  if (reason === 'not_found') {
    // The target no longer has the chat that the entry tried to reattach to.
    return work === WORK.chat ? 'stream_broken' : undefined;
  }
  if (reason === 'service_failed') {
    if (outcome === OUTCOME.notRun) return 'connect_failed';
    return work === WORK.repeatable ? 'stream_broken' : undefined;
  }
  return RETRY_REASONS.find(retryReason => retryReason === reason);
}

/**
 * Returns whether a send certainly started nothing. A refusal by another
 * incarnation proves this only for a ticket that was issued for this request and
 * sent once: an earlier send could have reached the incarnation of the ticket.
 */
function hasStartedNothing(attempts: Attempts, send: Send): boolean {
  if (send.isVoided === true) return true;
  if (send.state !== SEND_STATE.refused) return false;
  if (send.refusal?.outcome === OUTCOME.notRun) return true;
  if (send.refusal?.reason !== 'wrong_incarnation') return false;
  const sends = attempts.sends.filter(other => other.ticket === send.ticket);
  return send.ticket !== '' && sends.length === 1 && !isCallerTicket(attempts);
}

function isCallerTicket({ticket}: Attempts): boolean {
  return ticket !== undefined && !ticket.issuedHere;
}

/** Returns whether the target has recorded that the call of the current ticket will never start. */
function isRecordedCancelled({settlement, sends}: Attempts): boolean {
  if (settlement !== undefined && !settlement.running) {
    return settlement.outcome === OUTCOME.notRun;
  }
  const answer = sends.at(-1)?.refusal;
  return answer?.reason === 'cancelled' && answer.outcome === OUTCOME.notRun;
}

/**
 * Returns whether the request may have run. If the caller supplied the ticket, an
 * earlier request may have started the call; only a record at the target can
 * rule that out.
 */
export function mayHaveRun(attempts: Attempts): boolean {
  if (isCallerTicket(attempts)) return !isRecordedCancelled(attempts);
  return attempts.sends.some(send => !hasStartedNothing(attempts, send));
}

/**
 * Returns whether another attempt draws on the retry budget. The budget limits repeated
 * work at targets; an attempt whose connection did not open caused no work.
 */
export function usesRetryBudget({sends}: Attempts): boolean {
  return sends.length > 0;
}

/** Returns whether the target has answered `Settle` with a final outcome of the call. */
export function isSettled({settlement}: Attempts): boolean {
  return settlement !== undefined && !settlement.running;
}

/** Returns the outcome that may be reported to the caller. */
export function knownOutcome(attempts: Attempts): Outcome {
  const {settlement, sends} = attempts;
  const hasRun =
    attempts.answered ||
    settlement?.outcome === OUTCOME.ran ||
    sends.some(send => send.refusal?.outcome === OUTCOME.ran);
  if (hasRun) return OUTCOME.ran;
  return mayHaveRun(attempts) ? OUTCOME.unknown : OUTCOME.notRun;
}
