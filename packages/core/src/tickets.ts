/** Tickets are idempotency keys that bind a non-idempotent call to one target node incarnation. */
import {Err, Ok, type Result} from 'ts-results-es';
import {OUTCOME, refusal, type Refusal} from './reasons.js';

/** Time after its issue for which a ticket is accepted, in milliseconds. */
export const TICKET_LIFETIME_MS = 15 * 60_000;

/**
 * Maximum time by which the issue time of a ticket may be ahead of the target
 * node's clock, in milliseconds. The issuer's estimate of that clock can be ahead
 * only by the drift of the issuer's own clock since the last report.
 */
export const TICKET_CLOCK_MARGIN_MS = 5_000;

/** Maximum length of an encoded ticket, in characters. */
export const TICKET_MAX_LENGTH = 512;

const TICKET_PREFIX = 'bnt1';
const FIELD_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

/** A ticket. Its encoded form is the value of `Idempotency-Key`. */
export interface Ticket {
  readonly service: string;
  /** Name of the target node that the ticket is bound to. */
  readonly target: string;
  /** Incarnation of the target node that the ticket is bound to. */
  readonly incarnation: string;
  /** 128 random bits in hexadecimal; distinguishes the tickets of one incarnation. */
  readonly nonce: string;
  readonly caller: string;
  /** Issuer's estimate of the target node's monotonic clock at issue, in milliseconds. */
  readonly issuedNodeClockMs: number;
}

/** Encodes a ticket for the `Idempotency-Key` header. */
export function encodeTicket(ticket: Ticket): string {
  return [
    TICKET_PREFIX,
    ticket.service,
    ticket.target,
    ticket.incarnation,
    ticket.nonce,
    ticket.caller,
    String(Math.floor(ticket.issuedNodeClockMs)),
  ].join('~');
}

/** Decodes a ticket. Refuses malformed text as `ticket_invalid`. */
export function decodeTicket(text: string): Result<Ticket, Refusal> {
  const invalid = refusal(
    'ticket_invalid',
    'Idempotency-Key is not a ticket issued by this service',
  );
  if (text.length > TICKET_MAX_LENGTH) return Err(invalid);
  const [prefix, service, target, incarnation, nonce, caller, issued, ...rest] =
    text.split('~');
  const fields = [service, target, incarnation, nonce, caller];
  const isWellFormed =
    prefix === TICKET_PREFIX &&
    rest.length === 0 &&
    fields.every(field => field !== undefined && FIELD_PATTERN.test(field)) &&
    issued !== undefined &&
    /^[0-9]{1,15}$/.test(issued);
  if (!isWellFormed) return Err(invalid);
  return Ok({
    service,
    target,
    incarnation,
    nonce,
    caller,
    issuedNodeClockMs: Number(issued),
  });
}

/** State of the target node and the request that a ticket is checked against. */
export interface TicketContext {
  readonly service: string;
  readonly incarnation: string;
  readonly caller: string;
  /** Monotonic clock of the target node, in milliseconds. */
  readonly nodeClockMs: number;
}

/**
 * Checks a ticket at the target node that received it. Refuses a ticket of another
 * caller or service or with an issue time in the future as `ticket_invalid`, one bound to
 * another incarnation as `wrong_incarnation` and one older than its lifetime as
 * `ticket_expired`. Every refusal has the outcome `unknown`: in the last two cases the call
 * may have run, although the node has no record of it.
 */
export function checkTicket(
  ticket: Ticket,
  context: TicketContext,
): Result<Ticket, Refusal> {
  if (ticket.service !== context.service || ticket.caller !== context.caller) {
    return Err(
      refusal('ticket_invalid', 'ticket of another caller or service', {
        outcome: OUTCOME.unknown,
      }),
    );
  }
  if (ticket.incarnation !== context.incarnation) {
    return Err(
      refusal('wrong_incarnation', 'ticket is bound to another process', {
        outcome: OUTCOME.unknown,
      }),
    );
  }
  const ageMs = context.nodeClockMs - ticket.issuedNodeClockMs;
  if (ageMs < -TICKET_CLOCK_MARGIN_MS) {
    return Err(
      refusal('ticket_invalid', 'ticket was issued in the future', {
        outcome: OUTCOME.unknown,
      }),
    );
  }
  if (ageMs > TICKET_LIFETIME_MS) {
    return Err(
      refusal('ticket_expired', 'ticket is older than its lifetime', {
        outcome: OUTCOME.unknown,
      }),
    );
  }
  return Ok(ticket);
}
