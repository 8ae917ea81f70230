/** Requests that a caller sends to an entry. */

/** Time after which a request is aborted, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 20_000;

/** Address of an entry and the key with which a caller authenticates. */
export interface EntryAccess {
  /** `ip:port` at which the entry serves callers. */
  readonly address: string;
  readonly key: string;
}

/** HTTP response of an entry, read to its end. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly body: string;
  /** Time from the request to the end of the response, in milliseconds. */
  readonly durationMs: number;
}

/** Sends a request with a JSON body. Rejects if the response is not complete within 20 s. */
export async function post(
  {address, key}: EntryAccess,
  path: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerResponse> {
  const startMs = performance.now();
  const response = await fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
  });
  const text = await response.text();
  const durationMs = performance.now() - startMs;
  return {
    status: response.status,
    headers: response.headers,
    body: text,
    durationMs,
  };
}

/** Returns the body of a chat request with one user message. */
export function chatRequestBody(
  model: string,
  content: string,
  maxTokens: number,
) {
  const messages = [{role: 'user', content}];
  return {model, messages, max_tokens: maxTokens};
}
