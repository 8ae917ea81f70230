/** Tickets: idempotency keys that bind a non-idempotent call to one target node incarnation. */
import {Err, Ok, type Result} from 'ts-results-es';
import {OUTCOME, refusal, type Refusal} from './reasons.js';

/** Time for which a ticket is accepted, in milliseconds. */
export const TICKET_LIFETIME_MS = 15 * 60_000;

/**
 * A ticket issued further ahead of the target node's clock than this is
 * invalid. The issuer's estimate is behind that clock but for the drift of its
 * own clock since the last report.
 */
export const TICKET_CLOCK_MARGIN_MS = 5_000;

/** Longest encoded ticket, in characters. */
export const TICKET_MAX_LENGTH = 512;

const PREFIX = 'bnt1';
const FIELD = /^[A-Za-z0-9._-]{1,64}$/;

/** A ticket. Its encoded form is the value of `Idempotency-Key`. */
export interface Ticket {
  readonly service: string;
  /** Name of the target node that is bound. */
  readonly target: string;
  /** Incarnation of the target node that is bound. */
  readonly incarnation: string;
  /** Distinguishes tickets of one incarnation; 128 random bits in hexadecimal. */
  readonly nonce: string;
  readonly caller: string;
  /** Estimate of the target node's monotonic clock at issue, in milliseconds. */
  readonly issuedNodeClockMs: number;
}

/** Encodes a ticket for the `Idempotency-Key` header. */
export function encodeTicket(ticket: Ticket): string {
  return [
    PREFIX,
    ticket.service,
    ticket.target,
    ticket.incarnation,
    ticket.nonce,
    ticket.caller,
    String(Math.floor(ticket.issuedNodeClockMs)),
  ].join('~');
}

/** Decodes a ticket; anything else is refused as `ticket_invalid`. */
export function decodeTicket(text: string): Result<Ticket, Refusal> {
  const invalid = refusal(
    'ticket_invalid',
    'Idempotency-Key is not a ticket issued by this service',
  );
  if (text.length > TICKET_MAX_LENGTH) return Err(invalid);
  const [prefix, service, target, incarnation, nonce, caller, issued, ...rest] =
    text.split('~');
  const fields = [service, target, incarnation, nonce, caller];
  const wellFormed =
    prefix === PREFIX &&
    rest.length === 0 &&
    fields.every(field => field !== undefined && FIELD.test(field)) &&
    issued !== undefined &&
    /^[0-9]{1,15}$/.test(issued);
  if (!wellFormed) return Err(invalid);
  return Ok({
    service,
    target,
    incarnation,
    nonce,
    caller,
    issuedNodeClockMs: Number(issued),
  });
}

/** What a target node checks a ticket against. */
export interface TicketHolder {
  readonly service: string;
  readonly incarnation: string;
  readonly caller: string;
  /** Monotonic clock of the target node, in milliseconds. */
  readonly nodeClockMs: number;
}

/**
 * Checks a ticket at the target node that received it. A ticket of another
 * incarnation, or one older than its lifetime, may have run without a record,
 * so its outcome is unknown.
 */
export function checkTicket(
  ticket: Ticket,
  holder: TicketHolder,
): Result<Ticket, Refusal> {
  if (ticket.service !== holder.service || ticket.caller !== holder.caller) {
    return Err(
      refusal('ticket_invalid', 'ticket of another caller or service', {
        outcome: OUTCOME.unknown,
      }),
    );
  }
  if (ticket.incarnation !== holder.incarnation) {
    return Err(
      refusal('wrong_incarnation', 'ticket is bound to another process', {
        outcome: OUTCOME.unknown,
      }),
    );
  }
  const ageMs = holder.nodeClockMs - ticket.issuedNodeClockMs;
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
