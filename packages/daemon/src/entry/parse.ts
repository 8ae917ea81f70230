/** Parses the path, headers and body of a caller's request. */
import {
  PRIORITY,
  refusal,
  type Priority,
  type Refusal,
} from '@balsamnotch/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {ChatTask, Message, BufferedRequest, Task} from './request.js';

/** Time budget of a request without `x-deadline-ms`, in milliseconds. */
export const DEFAULT_BUDGET_MS = 10_000;

/** Maximum time budget of a request, in milliseconds. */
export const MAX_BUDGET_MS = 120_000;

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 32_768;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

type JsonObject = Readonly<Record<string, unknown>>;

function badRequest(message: string): Refusal {
  return refusal('bad_request', message);
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseJson(body: Uint8Array): Result<JsonObject, Refusal> {
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(body);
    const value: unknown = JSON.parse(text);
    if (isObject(value)) return Ok(value);
  } catch {
    // Invalid UTF-8 and invalid JSON are refused in the same way.
  }
  return Err(refusal('bad_json', 'body is not a JSON object'));
}

function parseMessages(value: unknown): Result<Message[], Refusal> {
  if (!Array.isArray(value) || value.length === 0) {
    return Err(badRequest('messages must be a list with at least one message'));
  }
  const messages: Message[] = [];
  for (const item of value as unknown[]) {
    if (!isObject(item)) return Err(badRequest('a message must be an object'));
    const {role, content} = item;
    if (typeof role !== 'string' || typeof content !== 'string') {
      return Err(badRequest('a message needs role and content as strings'));
    }
    messages.push({role, content});
  }
  return Ok(messages);
}

function parseModel(
  value: unknown,
): Result<Pick<ChatTask, 'adapter' | 'version'>, Refusal> {
  const [adapter, version, ...rest] =
    typeof value === 'string' ? value.split('@') : [];
  const isValid =
    adapter !== undefined &&
    NAME_PATTERN.test(adapter) &&
    rest.length === 0 &&
    (version === undefined || NAME_PATTERN.test(version));
  return isValid
    ? Ok({adapter, version})
    : Err(badRequest('model must be adapter or adapter@version'));
}

function parseMaxTokens(value: unknown): Result<number, Refusal> {
  if (value === undefined) return Ok(DEFAULT_MAX_TOKENS);
  const isValid =
    typeof value === 'number' &&
    Number.isInteger(value) &&
    value >= 1 &&
    value <= MAX_TOKENS_LIMIT;
  if (isValid) return Ok(value);
  return Err(
    badRequest(`max_tokens must be a whole number up to ${MAX_TOKENS_LIMIT}`),
  );
}

function parseChatTask(body: Uint8Array): Result<Task, Refusal> {
  return parseJson(body).andThen(json => {
    const {stream = false} = json;
    if (typeof stream !== 'boolean') {
      return Err(badRequest('stream must be true or false'));
    }
    const maxTokensValue = json['max_tokens'] ?? json['max_completion_tokens'];
    return parseModel(json['model']).andThen(model =>
      parseMessages(json['messages']).andThen(messages =>
        parseMaxTokens(maxTokensValue).map((maxTokens): Task => ({
          kind: 'chat',
          ...model,
          messages,
          maxTokens,
          stream,
        })),
      ),
    );
  });
}

function parseServiceTask(
  {headers}: BufferedRequest,
  service: string,
  operation: string,
): Result<Task, Refusal> {
  if (operation === 'tickets') return Ok({kind: 'ticket', service});
  const idempotencyKey = headers['idempotency-key'];
  if (Array.isArray(idempotencyKey)) {
    return Err(badRequest('Idempotency-Key must not be given more than once'));
  }
  return Ok({kind: 'call', service, operation, idempotencyKey});
}

/** Parses the requested task. An unknown path is refused with `not_found`. */
export function parseTask(request: BufferedRequest): Result<Task, Refusal> {
  const segments = request.path.split('/').slice(1);
  const isPost = request.method === 'POST';
  if (isPost && request.path === '/v1/chat/completions') {
    return parseChatTask(request.body);
  }
  const [root, services, service, operation, ...rest] = segments;
  const isService =
    isPost &&
    root === 'v1' &&
    services === 'services' &&
    rest.length === 0 &&
    service !== undefined &&
    operation !== undefined;
  if (isService) return parseServiceTask(request, service, operation);
  return Err(refusal('not_found', 'no such resource'));
}

/** Parses `x-deadline-ms`, the time budget in milliseconds. */
export function parseBudget({
  headers,
}: BufferedRequest): Result<number, Refusal> {
  const text = headers['x-deadline-ms'];
  if (text === undefined) return Ok(DEFAULT_BUDGET_MS);
  const isWellFormed = typeof text === 'string' && /^[0-9]{1,6}$/.test(text);
  const budgetMs = isWellFormed ? Number(text) : 0;
  if (budgetMs >= 1 && budgetMs <= MAX_BUDGET_MS) return Ok(budgetMs);
  return Err(
    badRequest(`x-deadline-ms must be a whole number up to ${MAX_BUDGET_MS}`),
  );
}

/** Parses `x-priority`; the default is `interactive`. */
export function parsePriority({
  headers,
}: BufferedRequest): Result<Priority, Refusal> {
  const text = headers['x-priority'] ?? PRIORITY.interactive;
  if (text === PRIORITY.interactive || text === PRIORITY.batch) return Ok(text);
  return Err(badRequest('x-priority must be interactive or batch'));
}
