/** HTTP client for a plain service. */
import http from 'node:http';
import {CONNECT_TIMEOUT_MS, send} from './http.js';
import type {PlainError, PlainService} from './plain.js';

/** Largest response that is read from a plain service, in bytes. */
const MAX_PLAIN_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Options of {@link httpPlainService}. */
export interface PlainServiceOptions {
  /** Time limit for opening a connection, in milliseconds; a shorter `timeoutMs` of the call takes precedence. */
  readonly connectTimeoutMs: number;
  readonly maxAnswerBytes: number;
}

/**
 * Creates a client for the plain service at a base URL. Calls without
 * `freshConnection` reuse keep-alive connections. If the service closes such a
 * connection while a call is sent on it, the call fails as `broken`.
 */
export function httpPlainService(
  url: string,
  options: Partial<PlainServiceOptions> = {},
): PlainService {
  const keepAliveAgent = new http.Agent({keepAlive: true});
  return {
    async call(call) {
      const sent = await send({
        method: 'POST',
        url: `${url}/v1/${encodeURIComponent(call.operation)}`,
        headers: {'x-request-id': call.requestId},
        body: call.body,
        agent: call.freshConnection ? undefined : keepAliveAgent,
        connectTimeoutMs: Math.min(
          options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
          call.timeoutMs,
        ),
        timeoutMs: call.timeoutMs,
        maxAnswerBytes: options.maxAnswerBytes ?? MAX_PLAIN_RESPONSE_BYTES,
      });
      return sent.mapErr(({kind, message}): PlainError => ({
        kind: kind === 'unreachable' ? 'unreachable' : 'broken',
        message,
      }));
    },
  };
}
