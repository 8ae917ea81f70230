/** Types of a caller's request at each stage of the filter chain, and of its reply. */
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

/** A request whose header has been received. */
export interface IncomingRequest {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Earliest time of arrival on the monotonic clock, in milliseconds. */
  readonly receivedAtMs: number;
  readonly readBody: () => Promise<Result<Uint8Array, Refusal>>;
  /** Aborted when the caller disconnects. */
  readonly abortSignal: AbortSignal;
}

/** A request with an ID of 128 random bits in hexadecimal. */
export interface IdentifiedRequest extends IncomingRequest {
  readonly requestId: string;
}

/**
 * A request with its authenticated caller and the configuration in force at
 * authentication.
 */
export interface AuthenticatedRequest extends IdentifiedRequest {
  readonly caller: Caller;
  readonly configuration: Configuration;
}

/** A request whose body has been read and is within the size limit. */
export interface BufferedRequest extends AuthenticatedRequest {
  readonly body: Uint8Array;
}

/** One message of a chat. */
export interface Message {
  readonly role: string;
  readonly content: string;
}

/** A chat as requested by the caller. */
export interface ChatTask {
  readonly kind: 'chat';
  readonly adapter: string;
  /** Undefined for the current version. */
  readonly version?: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  readonly stream: boolean;
}

/** A call to a plain service as requested by the caller. */
export interface CallTask {
  readonly kind: 'call';
  readonly service: string;
  readonly operation: string;
  /** Value of `Idempotency-Key`. */
  readonly idempotencyKey?: string;
}

/** A request for a ticket. */
export interface TicketTask {
  readonly kind: 'ticket';
  readonly service: string;
}

/** The task that the caller requests. */
export type Task = ChatTask | CallTask | TicketTask;

/** A request with its parsed task, priority and time budget. */
export interface ParsedRequest extends BufferedRequest {
  readonly task: Task;
  readonly priority: Priority;
  /** Time budget, in milliseconds. */
  readonly budgetMs: number;
  /** End of the time budget on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
}

/** A chat with its resolved adapter, version and service. */
export interface ChatPlan extends AdapterVersion {
  readonly kind: 'chat';
  readonly service: Service;
  readonly task: ChatTask;
}

/** A call with its resolved service and operation. */
export interface CallPlan {
  readonly kind: 'call';
  readonly service: Service;
  readonly operation: Operation;
  /** Ticket sent by the caller; only for operations that are not repeatable. */
  readonly ticket?: {readonly text: string; readonly ticket: Ticket};
}

/** A request for a ticket, with its resolved service. */
export interface TicketPlan {
  readonly kind: 'ticket';
  readonly service: Service;
}

/** Resolved work of a permitted request. */
export type Plan = ChatPlan | CallPlan | TicketPlan;

/** A request with its resolved plan, which the caller is permitted to use. */
export interface PermittedRequest extends ParsedRequest {
  readonly plan: Plan;
}

/** A piece of a chat answer. */
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
  /**
   * Whether the outcome already takes the attempts at targets into account. If so, filters
   * must not replace it.
   */
  readonly isFinal: boolean;
  readonly headers: ReplyHeaders;
}

/** Reply to a caller. */
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

/** A filter either passes the request on, usually with added fields, or replies itself. */
export type Filter<In, Out> = (
  request: In,
  next: (request: Out) => Promise<Reply>,
) => Promise<Reply>;

/** Creates the reply to a request that is refused before anything was sent to a target. */
export function refuse(refusal: Refusal): RefusedReply {
  return {
    kind: 'refused',
    refusal,
    isFinal: false,
    headers: {},
  };
}

/** Creates a reply with a JSON body. */
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

/** Returns the model name for answers, as `adapter@version`. */
export function modelName({adapter, version}: AdapterVersion): string {
  return `${adapter}@${version}`;
}
