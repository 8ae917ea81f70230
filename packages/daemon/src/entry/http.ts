/** HTTP server for callers. */
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
import type {Arrival, RefusedReply, Reply} from './request.js';
import {errorBody, statusOf, writeEvents} from './sse.js';

/** Time for a caller to send its header, in milliseconds. */
const HEADER_MS = 10_000;

/** Time for a caller to send its whole request, in milliseconds. */
const REQUEST_MS = 30_000;

/** Time for a caller to notice that its body is too large, in milliseconds. */
const LINGER_MS = 500;

/** What the server asks of the role. */
export interface ServerOptions {
  readonly context: NodeContext;
  readonly handle: (arrival: Arrival) => Promise<Reply>;
  readonly isReady: () => boolean;
  /** Called at the start of a request; the result is called at its end. */
  readonly begin: () => () => void;
  readonly stallMs: number;
}

function tooLarge(limit: number): Refusal {
  return refusal('body_too_large', `body is larger than ${limit} bytes`);
}

/** Reads the body; stops reading at the limit. */
async function readBody(
  message: IncomingMessage,
  limit: number,
): Promise<Result<Uint8Array, Refusal>> {
  const announced = Number(message.headers['content-length'] ?? 0);
  if (announced > limit) return Err(tooLarge(limit));
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of message.iterator({destroyOnReturn: false})) {
      size += (part as Buffer).length;
      if (size > limit) return Err(tooLarge(limit));
      parts.push(part as Buffer);
    }
  } catch {
    return Err(refusal('caller_gone', 'caller went away during its request'));
  }
  return Ok(Buffer.concat(parts));
}

function writeRefusal(
  response: ServerResponse,
  {refusal: refused, headers}: RefusedReply,
): void {
  const requestId = headers['x-request-id'] ?? '';
  const body = JSON.stringify(errorBody(refused, requestId));
  const retryAfter =
    refused.retryAfterMs > 0
      ? {'retry-after': String(Math.ceil(refused.retryAfterMs / 1_000))}
      : {};
  const isUnread = refused.reason === 'body_too_large';
  response.writeHead(statusOf(refused), {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...retryAfter,
    ...(isUnread ? {connection: 'close'} : {}),
    ...headers,
  });
  if (isUnread) endAfterBody(response, body);
  else response.end(body);
}

/**
 * Sends the whole response and closes the connection once the body was read or
 * {@link LINGER_MS} have passed. If it were closed with data unread, the
 * caller's system would drop the response.
 */
function endAfterBody(response: ServerResponse, body: string): void {
  const end = () => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, LINGER_MS);
  response.write(body);
  response.req.once('close', end).resume();
  response.req.once('end', end);
}

/** Answers a request that Node's parser rejected, so that no filter has seen it. */
function rejectMalformed(
  {context}: ServerOptions,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const reason: RefusalReason =
    error.code === 'HPE_HEADER_OVERFLOW' ? 'header_too_long' : 'bad_request';
  const refused = refusal(reason, `malformed HTTP request: ${error.code}`);
  context.metrics.refused(reason);
  const requestId = context.randomId();
  const body = JSON.stringify(errorBody(refused, requestId));
  const status = statusOf(refused);
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
      response.writeHead(status, {...type, ...headers});
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

function arrivalOf(
  {context}: ServerOptions,
  message: IncomingMessage,
  response: ServerResponse,
): Arrival {
  const gone = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) gone.abort();
  });
  return {
    method: message.method ?? '',
    path: (message.url ?? '').split('?')[0] ?? '',
    headers: message.headers,
    arrivedMs: context.clock.monotonicMs(),
    readBody: () => readBody(message, context.settings.limits.bodyBytes),
    gone: gone.signal,
  };
}

/** Health and readiness for the load balancer; undefined for other paths. */
function healthReply(
  {isReady}: ServerOptions,
  {method, path}: Arrival,
): Reply | undefined {
  if (method !== 'GET') return undefined;
  const text = (status: number, body: string): Reply => ({
    kind: 'bytes',
    status,
    contentType: 'text/plain',
    body,
    headers: {},
  });
  if (path === '/healthz') return text(200, 'ok\n');
  if (path !== '/readyz') return undefined;
  return isReady() ? text(200, 'ready\n') : text(503, 'not ready\n');
}

/** Resolves to true when the response is closed, to false after `limitMs`. */
function closes(response: ServerResponse, limitMs: number): Promise<boolean> {
  return new Promise(resolve => {
    const finish = (value: boolean) => {
      clearTimeout(timer);
      response.off('close', onClose);
      resolve(value);
    };
    const onClose = () => finish(true);
    const timer = setTimeout(() => finish(false), limitMs);
    response.once('close', onClose);
  });
}

/** Resolves when the response has left this process or its caller does not take it. */
async function delivered(
  {stallMs}: ServerOptions,
  response: ServerResponse,
): Promise<void> {
  while (!response.writableFinished && !response.destroyed) {
    const before = response.socket?.bytesWritten;
    const isStalled = () => response.socket?.bytesWritten === before;
    if (await closes(response, stallMs)) return;
    if (isStalled()) response.destroy();
  }
}

async function serve(
  options: ServerOptions,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  // A write to a connection that the caller has closed is an event, not a fault.
  response.on('error', error =>
    options.context.log.debug('caller_connection', {error: `${error}`}),
  );
  const arrival = arrivalOf(options, message, response);
  const health = healthReply(options, arrival);
  if (health !== undefined) return writeReply(options, response, health);
  const end = options.begin();
  try {
    await writeReply(options, response, await options.handle(arrival));
    await delivered(options, response);
  } catch (error) {
    // A fault of this process; the request may have been sent.
    options.context.log.error('request_failed', {error: `${error}`});
    options.context.metrics.count('request_failed');
    response.destroy();
  } finally {
    end();
  }
}

/** Creates the server; it does not listen yet. */
export function callerServer(options: ServerOptions): Server {
  const server = createServer(
    {
      maxHeaderSize: options.context.settings.limits.headerBytes,
      headersTimeout: HEADER_MS,
      requestTimeout: REQUEST_MS,
    },
    (message, response) => void serve(options, message, response),
  );
  server.on('clientError', (error, socket) =>
    rejectMalformed(options, error, socket as Socket),
  );
  return server;
}
