/** HTTP requests to external systems over Node's `http` module, with typed errors. */
import http from 'node:http';
import {Err, Ok, type Result} from 'ts-results-es';
import {createInputTimer} from './inputtimer.js';

/** Time limit for opening a TCP connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Time limit from the start of a request to the end of its response, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 5_000;
/**
 * Time limit for a response whose chunks keep arriving, which may otherwise never end,
 * in milliseconds.
 */
export const MAX_RESPONSE_MS = 10_000;
/** Largest number of informational responses (1xx) accepted before the final response. */
const MAX_INFORMATIONAL_RESPONSES = 16;
/** Range of the statuses of final responses; others have no meaning in HTTP. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
/**
 * Largest response that a client reads, in bytes. It leaves room for a value of 1 MB,
 * whose size JSON escapes may double.
 */
export const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Reason why a request got no complete response. */
export interface ExchangeError {
  /**
   * `unreachable`: the TCP connection could not be opened, or was lost before the request was
   * written, or `mayWrite` forbade that, so nothing was sent.
   * `timeout`, `broken` and `oversized`: the server may have received the
   * request. `oversized`: the response exceeds `maxAnswerBytes`.
   */
  readonly kind: 'unreachable' | 'timeout' | 'broken' | 'oversized';
  readonly message: string;
}

/** A request with the limits for its response. */
export interface Exchange {
  readonly method: string;
  readonly url: string;
  /**
   * Path and query, sent unchanged; those of `url` by default, which are normalized
   * as a URL parser does.
   */
  readonly path?: string;
  /**
   * Headers by name, to which `content-length` is added; or a flat list of
   * alternating names and values, which is sent unchanged and must include `host`
   * and `content-length`.
   */
  readonly headers?: Readonly<Record<string, string>> | readonly string[];
  readonly body?: Uint8Array | string;
  /** Connection pool. Without it, the request opens a new connection. */
  readonly agent?: http.Agent;
  readonly connectTimeoutMs: number;
  /**
   * Called when the request has a connection, before it is written. If it resolves to false, the
   * request fails as `unreachable` and nothing is sent. It must not reject.
   */
  readonly mayWrite?: () => Promise<boolean>;
  /** Time limit for the whole response, in milliseconds, unless `stallMs` is set. */
  readonly timeoutMs: number;
  /**
   * Longest time between two chunks of the response, in milliseconds. If set,
   * `timeoutMs` covers only the time until the response head arrives, and the
   * whole response may take up to {@link MAX_RESPONSE_MS}.
   */
  readonly stallMs?: number;
  readonly maxAnswerBytes: number;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  /** Headers by lower-case name, as parsed by Node. */
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Head of a response whose body is still being received. */
export interface HttpResponseHead {
  readonly status: number;
  readonly contentType: string;
  /** Headers by lower-case name, as parsed by Node. */
  readonly headers: http.IncomingHttpHeaders;
  /** Header names and values alternately, as received. */
  readonly rawHeaders: readonly string[];
  /** Whether the connection had carried a request before this one. */
  readonly isConnectionReused: boolean;
  /** Pauses reading of the body, to apply backpressure. */
  readonly pause: () => void;
  /** Resumes reading of the body. */
  readonly resume: () => void;
}

/**
 * Callbacks for the response to a request. Exactly one of `onError` and `onEnd` is
 * called, as the last callback; neither, if the request is first closed without an
 * error.
 */
export interface ExchangeCallbacks {
  /**
   * Called when the request is written to its connection. Nothing was sent if the request is
   * closed before.
   */
  readonly onSending?: () => void;
  /** Called when the response head has arrived. */
  readonly onHead: (head: HttpResponseHead) => void;
  /** Called with each chunk of the body. */
  readonly onData: (chunk: Buffer) => void;
  /** Called when the response is complete. */
  readonly onEnd: () => void;
  /** Called when the request or the response has failed. */
  readonly onError: (error: ExchangeError) => void;
}

function isRawHeaderList(
  headers: Exchange['headers'],
): headers is readonly string[] {
  return Array.isArray(headers);
}

/** Opens a request; returns the error message if Node.js rejects its parameters. */
function openRequest({
  url,
  path,
  method,
  headers,
  body,
  agent,
}: Pick<
  Exchange,
  'url' | 'path' | 'method' | 'headers' | 'body' | 'agent'
>): Result<http.ClientRequest, string> {
  try {
    return Ok(
      http.request(url, {
        ...(path === undefined ? {} : {path}),
        method,
        headers: isRawHeaderList(headers)
          ? [...headers]
          : {...headers, 'content-length': Buffer.byteLength(body ?? '')},
        agent: agent ?? false,
      }),
    );
  } catch (error) {
    return Err((error as Error).message);
  }
}

/**
 * Returns a function that states, at the end of a response that ends with its connection, why it
 * may be incomplete; undefined if it is complete. Node.js reports a reset that arrives together
 * with data as a regular end, but the socket has no peer then. A server that closes the connection
 * while the request is being written has not read it, so it may have been stopped at any place.
 */
function watchForCut(
  request: http.ClientRequest,
  {headers, socket}: http.IncomingMessage,
): () => string | undefined {
  let cut: string | undefined;
  const isFramed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  if (!isFramed) {
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) {
        cut = 'connection reset within the response';
      } else if (!request.writableFinished) {
        cut = 'connection closed before the request was written';
      }
    });
  }
  return () => cut;
}

/** Returns whether a final response may have the status (RFC 9110, section 15). */
function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/** Reports that nothing was sent, unless the returned function is called first. */
function failUnreachable(
  message: string,
  {onError}: ExchangeCallbacks,
): (error?: ExchangeError) => void {
  let isOpen = true;
  const finish = (error?: ExchangeError) => {
    if (isOpen && error !== undefined) onError(error);
    isOpen = false;
  };
  queueMicrotask(() => finish({kind: 'unreachable', message}));
  return finish;
}

/**
 * Sends a request and reports its response chunk by chunk. The returned function
 * closes the connection. If an error is passed to it, it reports that error
 * through `onError`; no other callback follows. It does not throw: a request that
 * Node.js rejects fails as `unreachable`, after the function has returned.
 */
export function openExchange(
  exchange: Omit<Exchange, 'timeoutMs' | 'maxAnswerBytes'>,
  events: ExchangeCallbacks,
): (error?: ExchangeError) => void {
  const opened = openRequest(exchange);
  if (opened.isErr()) return failUnreachable(opened.error, events);
  const request = opened.value;
  let isOpen = true;
  let isWritten = false;
  const finish = (report?: () => void) => {
    if (!isOpen) return;
    isOpen = false;
    connectTimer.clear();
    report?.();
  };
  const fail = (kind: ExchangeError['kind'], message: string) =>
    finish(() => events.onError({kind, message}));
  const abort = (kind: ExchangeError['kind'], message: string) => {
    fail(kind, message);
    request.destroy();
  };
  const connectTimer = createInputTimer(() => {
    abort(
      'unreachable',
      `connection attempt timed out after ${exchange.connectTimeoutMs} ms`,
    );
  });
  connectTimer.restart(exchange.connectTimeoutMs);
  const write = () => {
    isWritten = true;
    events.onSending?.();
    request.end(exchange.body);
  };
  const handleConnected = () => {
    connectTimer.clear();
    if (!isOpen) return;
    if (exchange.mayWrite === undefined) {
      write();
      return;
    }
    exchange
      .mayWrite()
      .then(isAllowed => {
        if (!isOpen) request.destroy();
        else if (isAllowed) write();
        else abort('unreachable', 'not written');
      })
      .catch((error: Error) => abort('unreachable', error.message));
  };
  request.on('socket', socket => {
    if (socket.connecting) socket.once('connect', handleConnected);
    else handleConnected();
  });
  let received: http.IncomingMessage | undefined;
  request.on('error', error => {
    // Bytes after a complete response belong to no request; its `end` event follows.
    if (received?.complete) return;
    fail(isWritten ? 'broken' : 'unreachable', error.message);
  });
  let informationalResponses = 0;
  request.on('information', () => {
    informationalResponses += 1;
    if (informationalResponses <= MAX_INFORMATIONAL_RESPONSES) return;
    abort('broken', 'too many informational responses (1xx)');
  });
  request.on('upgrade', (_response, socket) => {
    fail('broken', 'the server switched to another protocol');
    socket.destroy();
  });
  request.on('response', response => {
    if (!isOpen) return;
    if (!isWritten) {
      abort('unreachable', 'response before the request was written');
      return;
    }
    const {statusCode: status = 0} = response;
    if (!isFinalStatus(status)) {
      abort('broken', `invalid response status ${status}`);
      return;
    }
    received = response;
    events.onHead({
      status,
      contentType: response.headers['content-type'] ?? '',
      headers: response.headers,
      rawHeaders: response.rawHeaders,
      isConnectionReused: request.reusedSocket,
      pause: () => response.pause(),
      resume: () => response.resume(),
    });
    response.on('data', (chunk: Buffer) => {
      if (isOpen) events.onData(chunk);
    });
    const cutReason = watchForCut(request, response);
    response.on('end', () => {
      const reason = cutReason();
      if (reason === undefined) finish(events.onEnd);
      else fail('broken', reason);
    });
    response.on('error', error => fail('broken', error.message));
    response.on('close', () =>
      fail('broken', 'connection closed before the end of the response'),
    );
  });
  return error => {
    finish(error && (() => events.onError(error)));
    request.destroy();
  };
}

/** Sends a request and reads its complete response. */
export function send(
  exchange: Exchange,
): Promise<Result<HttpResponse, ExchangeError>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let head: Omit<HttpResponse, 'body'> = {
      status: 0,
      contentType: '',
      headers: {},
    };
    let bytes = 0;
    const startedAtMs = performance.now();
    const settle = (result: Result<HttpResponse, ExchangeError>) => {
      timer.clear();
      resolve(result);
    };
    const timer = createInputTimer(() => {
      const elapsedMs = Math.round(performance.now() - startedAtMs);
      close({
        kind: 'timeout',
        message: `response timed out after ${elapsedMs} ms`,
      });
    });
    const restartStallTimer = () => {
      if (exchange.stallMs === undefined) return;
      const remainingMs = startedAtMs + MAX_RESPONSE_MS - performance.now();
      timer.restart(Math.max(0, Math.min(exchange.stallMs, remainingMs)));
    };
    const close = openExchange(exchange, {
      onHead: ({status, contentType, headers}) => {
        head = {status, contentType, headers};
        restartStallTimer();
      },
      onData: chunk => {
        chunks.push(chunk);
        bytes += chunk.length;
        restartStallTimer();
        if (bytes > exchange.maxAnswerBytes) {
          const message = `response exceeds ${exchange.maxAnswerBytes} bytes`;
          close({kind: 'oversized', message});
        }
      },
      onEnd: () => settle(Ok({...head, body: Buffer.concat(chunks)})),
      onError: error => settle(Err(error)),
    });
    timer.restart(exchange.timeoutMs);
  });
}

/** Parses JSON of unknown shape. Returns undefined when the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
