/** What an entry knows about one request: what to do next, and what may be said to the caller. */
import {
  OUTCOME,
  RETRY_REASONS,
  refusal,
  type Outcome,
  type Refusal,
  type RetryReason,
} from './reasons.js';

/** Attempts of one request, over its whole path. */
export const MAX_ATTEMPTS = 3;

/** Kinds of work. */
export const WORK = {
  chat: 'chat',
  /** A call that may run more than once. */
  repeatable: 'repeatable',
  /** A call that runs at most once, under a ticket. */
  ticketed: 'ticketed',
} as const;

/** One of the values of {@link WORK}. */
export type Work = (typeof WORK)[keyof typeof WORK];

/** The ticket of a call that is not repeatable. */
export interface HeldTicket {
  readonly text: string;
  readonly target: string;
  readonly incarnation: string;
  /** False when the caller sent it, so that another request may have used it. */
  readonly issuedHere: boolean;
}

/** What became of a send. */
export const SEND_STATE = {
  open: 'open',
  /** No answer, and none is waited for. */
  lost: 'lost',
  refused: 'refused',
  answered: 'answered',
} as const;

/** One of the values of {@link SEND_STATE}. */
export type SendState = (typeof SEND_STATE)[keyof typeof SEND_STATE];

/** One request that may have reached a target. */
export interface Send {
  readonly target: string;
  /** Text of the ticket that it carried; empty without one. */
  readonly ticket: string;
  readonly state: SendState;
  /** Set in state `refused`. */
  readonly refusal?: Refusal;
  /** Set when the refusal allows another attempt. */
  readonly retryReason?: RetryReason;
  /** The target recorded afterwards that the call never starts. */
  readonly voided?: boolean;
}

/** Why an attempt ended without an answer. */
export interface Failure {
  readonly target: string;
  readonly reason: RetryReason;
}

/** Answer of a target to `Settle`. */
export interface Settlement {
  readonly outcome: Outcome;
  /** The call runs; its outcome is open. */
  readonly running: boolean;
}

/** Everything that the entry knows about one request. */
export interface Attempts {
  readonly work: Work;
  /** Attempts made, those that reached no target included. */
  readonly count: number;
  readonly ticket?: HeldTicket;
  readonly sends: readonly Send[];
  readonly failures: readonly Failure[];
  /** The last attempt was a reattach that brought nothing so far. */
  readonly reattached: boolean;
  /** The last attempt reached no target. */
  readonly unreachable: boolean;
  /** Answer to `Settle` for the current ticket. */
  readonly settlement?: Settlement;
  /** Set when an attempt reached no target or was refused for good. */
  readonly last?: Refusal;
  readonly answered: boolean;
}

/** Knowledge at the arrival of a request. */
export function beginAttempts(work: Work, ticket?: HeldTicket): Attempts {
  return {
    work,
    count: 0,
    ticket,
    sends: [],
    failures: [],
    reattached: false,
    unreachable: false,
    answered: false,
  };
}

/** A ticket was issued for the next send. */
export function ticketIssued(
  attempts: Attempts,
  ticket: Omit<HeldTicket, 'issuedHere'>,
): Attempts {
  return {
    ...attempts,
    ticket: {...ticket, issuedHere: true},
    unreachable: false,
    settlement: undefined,
  };
}

/** The request goes to a target; from now on it may have arrived. */
export function sent(
  attempts: Attempts,
  target: string,
  reattach = false,
): Attempts {
  const send = {
    target,
    ticket: attempts.ticket?.text ?? '',
    state: SEND_STATE.open,
  };
  return {
    ...attempts,
    count: attempts.count + 1,
    sends: [...attempts.sends, send],
    reattached: reattach,
    unreachable: false,
  };
}

/** No connection to the target came about, so nothing was sent. */
export function connectFailed(attempts: Attempts, target: string): Attempts {
  return {
    ...attempts,
    count: attempts.count + 1,
    failures: [...attempts.failures, {target, reason: 'connect_failed'}],
    unreachable: true,
    last: refusal('no_target', `no connection to ${target}`, {
      retryAfterMs: 1_000,
    }),
  };
}

/** Tokens arrived after a reattach, so the target may be reattached to again. */
export function progressed(attempts: Attempts): Attempts {
  return attempts.reattached ? {...attempts, reattached: false} : attempts;
}

function openSend({sends}: Attempts): Send | undefined {
  const send = sends.at(-1);
  return send?.state === SEND_STATE.open ? send : undefined;
}

function replaceLast(attempts: Attempts, send: Send): Attempts {
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

/** The last send stays without an answer. */
export function lost(attempts: Attempts, reason: RetryReason): Attempts {
  const send = openSend(attempts);
  if (send === undefined) return attempts;
  const next = replaceLast(attempts, {...send, state: SEND_STATE.lost});
  return {...withFailure(next, send.target, reason), last: undefined};
}

/** The target refused the last send. */
export function refused(attempts: Attempts, answer: Refusal): Attempts {
  const send = openSend(attempts);
  if (send === undefined) return attempts;
  const retryReason = retryReasonOf(answer, attempts);
  const next = replaceLast(attempts, {
    ...send,
    state: SEND_STATE.refused,
    refusal: answer,
    retryReason,
  });
  return {...withFailure(next, send.target, retryReason), last: answer};
}

/** The whole answer arrived. */
export function answered(attempts: Attempts): Attempts {
  const send = openSend(attempts);
  if (send === undefined) return {...attempts, answered: true};
  const next = replaceLast(attempts, {...send, state: SEND_STATE.answered});
  return {...next, answered: true};
}

/** The target answered `Settle` with cancel for the current ticket. */
export function settled(attempts: Attempts, answer: Settlement): Attempts {
  const never = !answer.running && answer.outcome === OUTCOME.notRun;
  const text = attempts.ticket?.text;
  const sends = never
    ? attempts.sends.map(send =>
        send.ticket === text ? {...send, voided: true} : send,
      )
    : attempts.sends;
  return {...attempts, sends, settlement: answer};
}

/** Retry reason of a refusal; undefined when it is final. */
function retryReasonOf(
  {reason, outcome}: Refusal,
  {work, ticket, failures}: Attempts,
): RetryReason | undefined {
  if (reason === 'cancelled') {
    // The target dropped an earlier send of this ticket; another ticket may run.
    return ticket?.issuedHere ? failures.at(-1)?.reason : undefined;
  }
  if (reason === 'not_found') {
    // The target lost the chat that the entry wanted to reattach to.
    return work === WORK.chat ? 'stream_broken' : undefined;
  }
  if (reason === 'service_failed') {
    if (outcome === OUTCOME.notRun) return 'connect_failed';
    return work === WORK.repeatable ? 'stream_broken' : undefined;
  }
  return RETRY_REASONS.find(known => known === reason);
}

/**
 * Tells whether a send certainly started nothing. A refusal by another
 * incarnation says so only for the one send of a ticket that this request
 * issued: no other send can have reached the incarnation before.
 */
function startedNothing(attempts: Attempts, send: Send): boolean {
  if (send.voided === true) return true;
  if (send.state !== SEND_STATE.refused) return false;
  if (send.refusal?.outcome === OUTCOME.notRun) return true;
  if (send.refusal?.reason !== 'wrong_incarnation') return false;
  const same = attempts.sends.filter(other => other.ticket === send.ticket);
  return send.ticket !== '' && same.length === 1 && !isSupplied(attempts);
}

function isSupplied({ticket}: Attempts): boolean {
  return ticket !== undefined && !ticket.issuedHere;
}

/** The target recorded that the call under the current ticket never starts. */
function isRecordedCancelled({settlement, sends}: Attempts): boolean {
  if (settlement !== undefined && !settlement.running) {
    return settlement.outcome === OUTCOME.notRun;
  }
  const answer = sends.at(-1)?.refusal;
  return answer?.reason === 'cancelled' && answer.outcome === OUTCOME.notRun;
}

/**
 * Tells whether the request may have run. With a ticket that the caller sent,
 * an earlier request may have started the call, so only a record of the target
 * can rule it out.
 */
export function mayHaveRun(attempts: Attempts): boolean {
  if (isSupplied(attempts)) return !isRecordedCancelled(attempts);
  return attempts.sends.some(send => !startedNothing(attempts, send));
}

/**
 * Tells whether another attempt takes from the retry budget. The budget bounds
 * the work that targets get more than once, and a connection that did not come
 * about gave them none.
 */
export function usesRetryBudget({sends}: Attempts): boolean {
  return sends.length > 0;
}

/** Tells whether the target recorded an end of the call that cannot change. */
export function isSettled({settlement}: Attempts): boolean {
  return settlement !== undefined && !settlement.running;
}

/** What may be said to the caller about the execution. */
export function knownOutcome(attempts: Attempts): Outcome {
  const {settlement, sends} = attempts;
  const ran =
    attempts.answered ||
    settlement?.outcome === OUTCOME.ran ||
    sends.some(send => send.refusal?.outcome === OUTCOME.ran);
  if (ran) return OUTCOME.ran;
  return mayHaveRun(attempts) ? OUTCOME.unknown : OUTCOME.notRun;
}
