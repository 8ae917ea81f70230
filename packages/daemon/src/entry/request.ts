/** A caller's request as it gains parts on its way through the filters, and the reply. */
import type {IncomingHttpHeaders} from 'node:http';
import type {
  Caller,
  Configuration,
  Operation,
  Service,
} from '@balsamnotch/config';
import type {
  AdapterVersion,
  Priority,
  Refusal,
  Ticket,
} from '@balsamnotch/core';
import type {Result} from 'ts-results-es';

/** A request whose header was read. */
export interface Arrival {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Monotonic milliseconds. */
  readonly arrivedMs: number;
  readonly readBody: () => Promise<Result<Uint8Array, Refusal>>;
  /** Aborted when the caller goes away. */
  readonly gone: AbortSignal;
}

/** With an id of 128 random bits. */
export interface Identified extends Arrival {
  readonly requestId: string;
}

/** With its caller, under the configuration in force at this moment. */
export interface Authenticated extends Identified {
  readonly caller: Caller;
  readonly configuration: Configuration;
}

/** With a body within the limit. */
export interface Sized extends Authenticated {
  readonly body: Uint8Array;
}

/** One message of a chat. */
export interface Message {
  readonly role: string;
  readonly content: string;
}

/** A chat as the caller wrote it. */
export interface ChatTask {
  readonly kind: 'chat';
  readonly adapter: string;
  /** Absent for the current version. */
  readonly version?: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  readonly stream: boolean;
}

/** A call to a plain service as the caller wrote it. */
export interface CallTask {
  readonly kind: 'call';
  readonly service: string;
  readonly operation: string;
  /** Value of `Idempotency-Key`. */
  readonly key?: string;
}

/** A request for a ticket. */
export interface TicketTask {
  readonly kind: 'ticket';
  readonly service: string;
}

/** What the caller asks for. */
export type Task = ChatTask | CallTask | TicketTask;

/** With its meaning. */
export interface Parsed extends Sized {
  readonly task: Task;
  readonly priority: Priority;
  /** Time that the caller waits, in milliseconds. */
  readonly budgetMs: number;
  /** End of that time, monotonic milliseconds. */
  readonly deadlineMs: number;
}

/** A chat whose adapter, version and service are known. */
export interface ChatPlan extends AdapterVersion {
  readonly kind: 'chat';
  readonly service: Service;
  readonly task: ChatTask;
}

/** A call whose operation is known. */
export interface CallPlan {
  readonly kind: 'call';
  readonly service: Service;
  readonly operation: Operation;
  /** The ticket that the caller sent with a call that is not repeatable. */
  readonly ticket?: {readonly text: string; readonly ticket: Ticket};
}

/** A ticket for a known service. */
export interface TicketPlan {
  readonly kind: 'ticket';
  readonly service: Service;
}

/** What the entry does for a permitted request. */
export type Plan = ChatPlan | CallPlan | TicketPlan;

/** With what it needs and is allowed. */
export interface Permitted extends Parsed {
  readonly plan: Plan;
}

/** Part of a chat answer. */
export type ChatPiece =
  | {readonly kind: 'tokens'; readonly tokens: readonly string[]}
  | {
      readonly kind: 'end';
      readonly total: number;
      readonly finishReason: string;
    }
  | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Extra headers of a reply. */
export type ReplyHeaders = Readonly<Record<string, string>>;

/** A refused request. */
export interface RefusedReply {
  readonly kind: 'refused';
  readonly refusal: Refusal;
  /** The outcome follows from answers of targets, not from this request alone. */
  readonly settled: boolean;
  readonly headers: ReplyHeaders;
}

/** Answer to a caller. */
export type Reply =
  | {
      readonly kind: 'bytes';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array | string;
      readonly headers: ReplyHeaders;
    }
  | {
      readonly kind: 'events';
      readonly pieces: AsyncIterable<ChatPiece>;
      readonly model: string;
      readonly headers: ReplyHeaders;
    }
  | RefusedReply;

/** A filter: passes the request on, with more parts, or replies itself. */
export type Filter<In, Out> = (
  request: In,
  next: (request: Out) => Promise<Reply>,
) => Promise<Reply>;

/** Reply of a request that a filter refused before anything was sent. */
export function refuse(refused: Refusal): RefusedReply {
  return {kind: 'refused', refusal: refused, settled: false, headers: {}};
}

/** Reply with a JSON body. */
export function jsonReply(
  status: number,
  value: unknown,
  headers: ReplyHeaders = {},
): Reply {
  const body = JSON.stringify(value);
  return {
    kind: 'bytes',
    status,
    contentType: 'application/json',
    body,
    headers,
  };
}

/** Name of the model in answers. */
export function modelName({adapter, version}: AdapterVersion): string {
  return `${adapter}@${version}`;
}
