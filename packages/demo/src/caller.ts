/** Requests that a caller sends to an entry. */

/** Time that a caller waits for one answer. */
const CALLER_TIMEOUT_MS = 20_000;

/** An entry with the key of a caller. */
export interface Access {
  /** `ip:port` of the entry for callers. */
  readonly address: string;
  readonly key: string;
}

/** Answer of an entry. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: string;
  /** Time from the request to the end of the answer. */
  readonly ms: number;
}

/** Sends a request with a JSON body. Rejects when there is no answer within 20 s. */
export async function post(
  {address, key}: Access,
  path: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerAnswer> {
  const startMs = performance.now();
  const answer = await fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
  });
  const text = await answer.text();
  const ms = performance.now() - startMs;
  return {status: answer.status, headers: answer.headers, body: text, ms};
}

/** A chat request of one user message. */
export function chatBody(model: string, content: string, maxTokens: number) {
  const messages = [{role: 'user', content}];
  return {model, messages, max_tokens: maxTokens};
}
