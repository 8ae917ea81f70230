/**
 * Admission of callers' requests: validates them, finds their route and rejects
 * what cannot be forwarded.
 */
import type {IncomingMessage} from 'node:http';
import {
  matchRoute,
  normalizedHost,
  pickService,
  spreadRetryAfter,
  type RouteTable,
} from '@balsamnotch/core';
import type {FindAccount} from './accountkeys.js';
import type {CallerHeaders} from './protocol.js';
import type {AdmittedRequest} from './admittedrequest.js';
import {STOP_ENDED, STOP_RETRY_AFTER_MS} from './plannedstop.js';
import {HTTP_STATUS} from './status.js';

/** Reason for which a request is not forwarded. */
export interface Rejection {
  /** HTTP status of the answer. */
  readonly status: number;
  /** Reason for logs and metrics. */
  readonly reason: string;
  /** Name of the caller's account, if the request was rejected for the account's sake. */
  readonly account?: string;
  /** Delay before the caller may retry, in milliseconds; undefined if a retry would not help. */
  readonly retryAfterMs?: number;
  /** Whether the rest of the request is left unread, which requires closing the connection. */
  readonly hasUnreadInput?: boolean;
}

/** Result of {@link admitHead}. */
export type HeadAdmission =
  | {
      readonly kind: 'admitted';
      readonly request: Omit<AdmittedRequest, 'body' | 'confirmedAtMs'>;
      readonly maxBodyBytes: number;
    }
  | {readonly kind: 'rejected'; readonly rejection: Rejection};

/** Retry delay for callers while this entry has not yet loaded the route table, in milliseconds. */
const STARTING_RETRY_AFTER_MS = 500;

/** Retry delay for callers whose connection is closed for the sake of others, in milliseconds: about the time of a short crowd. */
const CLOSE_RETRY_AFTER_MS = 1_000;

/** Rejection of a body that has not arrived before the deadline of its request. */
export const BODY_TIMEOUT_REJECTION: Rejection = {
  status: HTTP_STATUS.requestTimeout,
  reason: 'body_timeout',
  hasUnreadInput: true,
};

/** Rejection of a body above the configured size. */
export const BODY_TOO_LARGE_REJECTION: Rejection = {
  status: HTTP_STATUS.payloadTooLarge,
  reason: 'body_too_large',
  hasUnreadInput: true,
};

/** Rejection of a body that has not arrived before the end of a planned stop. */
export const STOP_REJECTION: Rejection = {
  status: HTTP_STATUS.unavailable,
  reason: STOP_ENDED,
  retryAfterMs: STOP_RETRY_AFTER_MS,
  hasUnreadInput: true,
};

/**
 * Returns the rejection of a body that is not read further, since its connection is closed for `reason`:
 * callers hold or cost too much together. `draw` is a uniform random number in [0, 1) that spreads the repeats.
 */
export function closeRejection(reason: string, draw: number): Rejection {
  return {
    status: HTTP_STATUS.unavailable,
    reason,
    retryAfterMs: spreadRetryAfter(CLOSE_RETRY_AFTER_MS, draw),
    hasUnreadInput: true,
  };
}

function rejectHead(rejection: Rejection): HeadAdmission {
  return {kind: 'rejected', rejection};
}

function headerBytes(rawHeaders: readonly string[]): number {
  // A header line adds 4 bytes to its name and value (colon, space, CR LF): 2 per list element.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/**
 * Admits or rejects a request by its request line and headers. `draw` is a
 * uniform random number in [0, 1) that selects the service of a split route.
 * `findAccount` looks up the account of the caller's key.
 */
export function admitHead(
  incoming: Pick<IncomingMessage, 'method' | 'url' | 'headers' | 'rawHeaders'>,
  caller: CallerHeaders,
  table: RouteTable | undefined,
  nowMs: number,
  draw: number,
  findAccount: FindAccount,
): HeadAdmission {
  const path = incoming.url ?? '';
  if (!path.startsWith('/') || caller.requestId === '') {
    return rejectHead({status: HTTP_STATUS.badRequest, reason: 'bad_request'});
  }
  if (table === undefined) {
    return rejectHead({
      status: HTTP_STATUS.unavailable,
      reason: 'starting',
      retryAfterMs: STARTING_RETRY_AFTER_MS,
    });
  }
  if (headerBytes(incoming.rawHeaders) > table.limits.maxHeaderBytes) {
    return rejectHead({
      status: HTTP_STATUS.headersTooLarge,
      reason: 'header_too_long',
      hasUnreadInput: true,
    });
  }
  const length = Number(incoming.headers['content-length'] ?? 0);
  if (length > table.limits.maxBodyBytes) {
    return rejectHead({
      status: HTTP_STATUS.payloadTooLarge,
      reason: 'body_too_large',
      hasUnreadInput: true,
    });
  }
  const host = normalizedHost(incoming.headers.host ?? '');
  const route = matchRoute(table, host, path.split('?', 1)[0] ?? '');
  const service = route && table.services.get(pickService(route, draw));
  if (route === undefined || service === undefined) {
    return rejectHead({status: HTTP_STATUS.notFound, reason: 'no_route'});
  }
  const account =
    table.accounts && findAccount(table.accounts, caller.accountKey);
  const needsKey = table.accounts !== undefined && route.isPublic !== true;
  if (needsKey && account === undefined) {
    return rejectHead({
      status: HTTP_STATUS.unauthorized,
      reason: 'refused_key',
    });
  }
  const timeoutMs = Math.min(route.timeoutMs, caller.deadlineMs || Infinity);
  return {
    kind: 'admitted',
    request: {
      caller,
      method: incoming.method ?? 'GET',
      path,
      rawHeaders: incoming.rawHeaders,
      hasBody:
        incoming.headers['content-length'] !== undefined ||
        incoming.headers['transfer-encoding'] !== undefined,
      route,
      service,
      hasAccounts: table.accounts !== undefined,
      account,
      priority: account?.priority ?? route.priority,
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + timeoutMs,
    },
    maxBodyBytes: table.limits.maxBodyBytes,
  };
}
