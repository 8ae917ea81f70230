/** Reads requests, finds their route, and refuses what cannot be forwarded. */
import type {IncomingMessage} from 'node:http';
import {
  matchRoute,
  normalizedHost,
  serviceFor,
  type RouteTable,
} from '@balsamnotch/core';
import type {CallerHeaders} from './protocol.js';
import type {AdmittedRequest} from './request.js';

/** Refusal of a request that is not forwarded. */
export interface Rejection {
  readonly status: number;
  readonly reason: string;
  /** Set when the caller may come back. */
  readonly retryAfterMs?: number;
  /** The rest of the request is not read, so the connection ends. */
  readonly closes?: boolean;
}

/** Result of {@link admitHead}. */
export type HeadAdmission =
  | {
      readonly kind: 'admitted';
      readonly request: Omit<AdmittedRequest, 'body'>;
      readonly maxBodyBytes: number;
    }
  | {readonly kind: 'rejected'; readonly rejection: Rejection};

/** Time after which a caller may find a node that knows the routes, in milliseconds. */
const STARTING_RETRY_MS = 500;

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const PAYLOAD_TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;
const UNAVAILABLE = 503;

function rejected(rejection: Rejection): HeadAdmission {
  return {kind: 'rejected', rejection};
}

function headerBytes(rawHeaders: readonly string[]): number {
  // Each header line has a colon, a space and a line end besides its text.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** Decides on a request by its head. `draw` is uniform in [0, 1). */
export function admitHead(
  incoming: Pick<IncomingMessage, 'method' | 'url' | 'headers' | 'rawHeaders'>,
  caller: CallerHeaders,
  table: RouteTable | undefined,
  nowMs: number,
  draw: number,
): HeadAdmission {
  const path = incoming.url ?? '';
  if (!path.startsWith('/') || caller.requestId === '') {
    return rejected({status: BAD_REQUEST, reason: 'bad_request'});
  }
  if (table === undefined) {
    return rejected({
      status: UNAVAILABLE,
      reason: 'starting',
      retryAfterMs: STARTING_RETRY_MS,
    });
  }
  if (headerBytes(incoming.rawHeaders) > table.limits.maxHeaderBytes) {
    return rejected({
      status: HEADERS_TOO_LARGE,
      reason: 'header_too_long',
      closes: true,
    });
  }
  const length = Number(incoming.headers['content-length'] ?? 0);
  if (length > table.limits.maxBodyBytes) {
    return rejected({
      status: PAYLOAD_TOO_LARGE,
      reason: 'body_too_large',
      closes: true,
    });
  }
  const host = normalizedHost(incoming.headers.host ?? '');
  const route = matchRoute(table, host, path.split('?', 1)[0] ?? '');
  const service = route && table.services.get(serviceFor(route, draw));
  if (route === undefined || service === undefined) {
    return rejected({status: NOT_FOUND, reason: 'no_route'});
  }
  const waitMs = Math.min(route.timeoutMs, caller.deadlineMs || Infinity);
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
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + waitMs,
    },
    maxBodyBytes: table.limits.maxBodyBytes,
  };
}

/** Reads a body of at most `maxBytes`; undefined when it is longer. Rejects when the caller leaves. */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    incoming.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes > maxBytes) resolve(undefined);
      else parts.push(part);
    });
    incoming.on('end', () => resolve(Buffer.concat(parts)));
    incoming.on('error', reject);
    incoming.on('close', () => reject(new Error('caller left')));
  });
}
