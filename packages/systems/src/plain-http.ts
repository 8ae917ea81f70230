/** HTTP client of a plain service. */
import http from 'node:http';
import {CONNECT_TIMEOUT_MS, send} from './http.js';
import type {PlainError, PlainService} from './plain.js';

/** Largest answer of a plain service. */
const MAX_PLAIN_ANSWER_BYTES = 8 * 1024 * 1024;

/** Options of {@link httpPlainService}. */
export interface PlainServiceOptions {
  readonly connectTimeoutMs: number;
  readonly maxAnswerBytes: number;
}

/**
 * Client of the plain service at a base URL. Calls without `freshConnection`
 * share kept connections. A kept connection that the service closes while a
 * call is sent on it is reported as `broken`.
 */
export function httpPlainService(
  url: string,
  options: Partial<PlainServiceOptions> = {},
): PlainService {
  const kept = new http.Agent({keepAlive: true});
  return {
    async call(call) {
      const answer = await send({
        method: 'POST',
        url: `${url}/v1/${encodeURIComponent(call.operation)}`,
        headers: {'x-request-id': call.requestId},
        body: call.body,
        agent: call.freshConnection ? undefined : kept,
        connectTimeoutMs: Math.min(
          options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
          call.timeoutMs,
        ),
        timeoutMs: call.timeoutMs,
        maxAnswerBytes: options.maxAnswerBytes ?? MAX_PLAIN_ANSWER_BYTES,
      });
      return answer.mapErr(({kind, message}): PlainError => ({
        kind: kind === 'unreachable' ? 'unreachable' : 'broken',
        message,
      }));
    },
  };
}
