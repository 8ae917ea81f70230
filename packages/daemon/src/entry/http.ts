/** HTTP server for requests of callers. */
import {
  STATUS_CODES,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {refusal, type Refusal, type RefusalReason} from '@balsamnotch/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {NodeContext} from '../node/context.js';
import {createInputAge} from '../node/inputage.js';
import type {IncomingRequest, RefusedReply, Reply} from './request.js';
import {errorBody, statusOf, writeEvents} from './sse.js';

/** Timeout for receiving the header of a request, in milliseconds. */
const HEADER_TIMEOUT_MS = 10_000;

/** Timeout for receiving a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;

/**
 * Time that the connection stays open after a refusal of an oversized body, in
 * milliseconds.
 */
const LINGER_TIMEOUT_MS = 500;

/** Dependencies of the server and handlers for its requests. */
export interface ServerOptions {
  readonly context: NodeContext;
  readonly handle: (request: IncomingRequest) => Promise<Reply>;
  readonly isReady: () => boolean;
  /** Whether connections end with their next answer, because a planned stop has begun. */
  readonly isLeaving: () => boolean;
  /** Called when a request starts. Returns a function that is called when it ends. */
  readonly beginRequest: () => () => void;
  /** Time after which a caller that reads nothing is disconnected, in milliseconds. */
  readonly stallMs: number;
}

function bodyTooLarge(limitBytes: number): Refusal {
  return refusal('body_too_large', `body is larger than ${limitBytes} bytes`);
}

/** Reads the body. Stops and returns a refusal once it exceeds the limit. */
async function readBody(
  message: IncomingMessage,
  limitBytes: number,
): Promise<Result<Uint8Array, Refusal>> {
  const declaredBytes = Number(message.headers['content-length'] ?? 0);
  if (declaredBytes > limitBytes) return Err(bodyTooLarge(limitBytes));
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of message.iterator({destroyOnReturn: false})) {
      sizeBytes += (chunk as Buffer).length;
      if (sizeBytes > limitBytes) return Err(bodyTooLarge(limitBytes));
      chunks.push(chunk as Buffer);
    }
  } catch {
    return Err(refusal('caller_gone', 'caller went away during its request'));
  }
  return Ok(Buffer.concat(chunks));
}

function writeRefusal(
  response: ServerResponse,
  {refusal: requestRefusal, headers}: RefusedReply,
): void {
  const requestId = headers['x-request-id'] ?? '';
  const body = JSON.stringify(errorBody(requestRefusal, requestId));
  const retryAfter =
    requestRefusal.retryAfterMs > 0
      ? {'retry-after': String(Math.ceil(requestRefusal.retryAfterMs / 1_000))}
      : {};
  const isBodyUnread = requestRefusal.reason === 'body_too_large';
  response.writeHead(statusOf(requestRefusal), {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...retryAfter,
    ...(isBodyUnread ? {connection: 'close'} : {}),
    ...headers,
  });
  const endsWithinBody = !response.shouldKeepAlive && !response.req.complete;
  if (isBodyUnread || endsWithinBody) endAfterBody(response, body);
  else response.end(body);
}

/**
 * Sends the response, then closes the connection once the request body has been drained
 * or {@link LINGER_TIMEOUT_MS} have passed. Closing it with unread data would reset the
 * connection, and the caller's operating system would discard the response.
 */
function endAfterBody(response: ServerResponse, body: string): void {
  const end = () => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, LINGER_TIMEOUT_MS);
  response.write(body);
  response.req.once('close', end).resume();
  response.req.once('end', end);
}

/**
 * Answers a request that Node's HTTP parser rejected before it reached the filters, after
 * `pending`, the answers to the requests before it on the connection.
 */
function rejectMalformed(
  options: ServerOptions,
  error: NodeJS.ErrnoException,
  socket: Socket,
  pending: Iterable<ServerResponse>,
): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  for (const response of pending) {
    if (!response.req.complete) continue;
    response.once('close', () =>
      rejectMalformed(options, error, socket, pending),
    );
    return;
  }
  const {context} = options;
  const reason: RefusalReason =
    error.code === 'HPE_HEADER_OVERFLOW' ? 'header_too_long' : 'bad_request';
  const malformedRefusal = refusal(
    reason,
    `malformed HTTP request: ${error.code}`,
  );
  context.metrics.refused(reason);
  const requestId = context.randomId();
  const body = JSON.stringify(errorBody(malformedRefusal, requestId));
  const status = statusOf(malformedRefusal);
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
      `content-type: application/json\r\nx-request-id: ${requestId}\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n` +
      body,
  );
}

async function writeReply(
  {context, stallMs}: ServerOptions,
  response: ServerResponse,
  reply: Reply,
): Promise<void> {
  switch (reply.kind) {
    case 'refused':
      writeRefusal(response, reply);
      return;
    case 'bytes': {
      const {status, contentType, body, headers} = reply;
      const type = contentType === '' ? {} : {'content-type': contentType};
      const length = {'content-length': Buffer.byteLength(body)};
      response.writeHead(status, {...type, ...headers, ...length});
      response.end(body);
      return;
    }
    case 'events': {
      const end = await writeEvents(response, reply, stallMs);
      if (end.kind === 'caller_gone') context.metrics.refused('caller_gone');
      if (end.kind === 'refused') context.metrics.refused(end.refusal.reason);
    }
  }
}

function toIncomingRequest(
  {context}: ServerOptions,
  message: IncomingMessage,
  response: ServerResponse,
  longestWaitMs: number,
): IncomingRequest {
  const abortController = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) abortController.abort();
  });
  return {
    method: message.method ?? '',
    path: (message.url ?? '').split('?')[0] ?? '',
    headers: message.headers,
    receivedAtMs: context.clock.monotonicMs() - longestWaitMs,
    readBody: () => readBody(message, context.settings.limits.bodyBytes),
    abortSignal: abortController.signal,
  };
}

/**
 * Replies to health and readiness checks of the load balancer. Returns undefined for
 * other requests.
 */
function healthReply(
  {isReady}: ServerOptions,
  {method, path}: IncomingRequest,
): Reply | undefined {
  if (method !== 'GET') return undefined;
  const textReply = (status: number, body: string): Reply => ({
    kind: 'bytes',
    status,
    contentType: 'text/plain',
    body,
    headers: {},
  });
  if (path === '/healthz') return textReply(200, 'ok\n');
  if (path !== '/readyz') return undefined;
  return isReady() ? textReply(200, 'ready\n') : textReply(503, 'not ready\n');
}

/** Resolves to true once the response closes, or to false after `limitMs`. */
function waitForClose(
  response: ServerResponse,
  limitMs: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const finish = (hasClosed: boolean) => {
      clearTimeout(timer);
      response.off('close', onClose);
      resolve(hasClosed);
    };
    const onClose = () => finish(true);
    const timer = setTimeout(() => finish(false), limitMs);
    response.once('close', onClose);
  });
}

/**
 * Resolves once the response has been handed to the operating system or the connection
 * is closed. Closes the connection if the caller reads nothing for `stallMs`.
 */
async function waitUntilDelivered(
  {stallMs}: ServerOptions,
  response: ServerResponse,
): Promise<void> {
  while (!response.writableFinished && !response.destroyed) {
    const bytesBefore = response.socket?.bytesWritten;
    const isStalled = () => response.socket?.bytesWritten === bytesBefore;
    if (await waitForClose(response, stallMs)) return;
    if (isStalled()) response.destroy();
  }
}

async function handleRequest(
  options: ServerOptions,
  message: IncomingMessage,
  response: ServerResponse,
  longestWaitMs: number,
  endsConnection: () => boolean,
): Promise<void> {
  // An error when writing to a connection that the caller has closed is expected, so it
  // is logged at debug level.
  response.on('error', error =>
    options.context.log.debug('caller_connection', {error: `${error}`}),
  );
  const request = toIncomingRequest(options, message, response, longestWaitMs);
  const health = healthReply(options, request);
  if (health !== undefined) return writeReply(options, response, health);
  const endRequest = options.beginRequest();
  try {
    const reply = await options.handle(request);
    if (endsConnection()) response.shouldKeepAlive = false;
    await writeReply(options, response, reply);
    await waitUntilDelivered(options, response);
  } catch (error) {
    // Internal error. The request may have reached a target, so close without a refusal.
    options.context.log.error('request_failed', {error: `${error}`});
    options.context.metrics.count('request_failed');
    response.destroy();
  } finally {
    endRequest();
  }
}

/** Creates the HTTP server without starting to listen. */
export function createCallerServer(options: ServerOptions): Server {
  /** Answers of each connection that are not complete. */
  const pending = new WeakMap<Socket, Set<ServerResponse>>();
  /** Connections that end with the answer in progress. */
  const ending = new WeakSet<Socket>();
  // Node.js reports an error for each further piece of invalid input.
  const rejected = new WeakSet<Socket>();
  const addPending = (socket: Socket, response: ServerResponse) => {
    const responses = pending.get(socket) ?? new Set();
    pending.set(socket, responses.add(response));
    response.once('close', () => responses.delete(response));
  };
  const endsConnection = (socket: Socket) => {
    const isLast = options.isLeaving() && pending.get(socket)?.size === 1;
    if (isLast) ending.add(socket);
    return isLast;
  };
  const inputAge = createInputAge(options.context.clock);
  const server = createServer(
    {
      maxHeaderSize: options.context.settings.limits.headerBytes,
      headersTimeout: HEADER_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    },
    (message, response) => {
      const {socket} = message;
      // A request that could not be answered any more must not be sent to a target.
      if (ending.has(socket)) return;
      addPending(socket, response);
      const waitMs = inputAge.longestWaitMs();
      void handleRequest(options, message, response, waitMs, () =>
        endsConnection(socket),
      );
    },
  );
  server.on('close', inputAge.close);
  server.on('clientError', (error, stream) => {
    const socket = stream as Socket;
    if (rejected.has(socket)) return;
    rejected.add(socket);
    rejectMalformed(options, error, socket, pending.get(socket) ?? []);
  });
  return server;
}
