/** Meaning of a caller's request: path, headers and body. */
import {
  PRIORITY,
  refusal,
  type Priority,
  type Refusal,
} from '@balsamnotch/core';
import {Err, Ok, type Result} from 'ts-results-es';
import type {ChatTask, Message, Sized, Task} from './request.js';

/** Time that a caller waits unless it says otherwise, in milliseconds. */
export const DEFAULT_BUDGET_MS = 10_000;

/** Longest time that a caller may ask for, in milliseconds. */
export const MAX_BUDGET_MS = 120_000;

const DEFAULT_MAX_TOKENS = 256;
const LARGEST_MAX_TOKENS = 32_768;
const NAME = /^[A-Za-z0-9._-]{1,64}$/;

type Json = Readonly<Record<string, unknown>>;

function badRequest(message: string): Refusal {
  return refusal('bad_request', message);
}

function isObject(value: unknown): value is Json {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseJson(body: Uint8Array): Result<Json, Refusal> {
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(body);
    const value: unknown = JSON.parse(text);
    if (isObject(value)) return Ok(value);
  } catch {
    // Invalid UTF-8 and invalid JSON get the same answer.
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
  const valid =
    adapter !== undefined &&
    NAME.test(adapter) &&
    rest.length === 0 &&
    (version === undefined || NAME.test(version));
  return valid
    ? Ok({adapter, version})
    : Err(badRequest('model must be adapter or adapter@version'));
}

function parseMaxTokens(value: unknown): Result<number, Refusal> {
  if (value === undefined) return Ok(DEFAULT_MAX_TOKENS);
  const valid =
    typeof value === 'number' &&
    Number.isInteger(value) &&
    value >= 1 &&
    value <= LARGEST_MAX_TOKENS;
  if (valid) return Ok(value);
  return Err(
    badRequest(`max_tokens must be a whole number up to ${LARGEST_MAX_TOKENS}`),
  );
}

function parseChat(body: Uint8Array): Result<Task, Refusal> {
  return parseJson(body).andThen(json => {
    const {stream = false} = json;
    if (typeof stream !== 'boolean') {
      return Err(badRequest('stream must be true or false'));
    }
    const limit = json['max_tokens'] ?? json['max_completion_tokens'];
    return parseModel(json['model']).andThen(model =>
      parseMessages(json['messages']).andThen(messages =>
        parseMaxTokens(limit).map((maxTokens): Task => ({
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

function parseService(
  {headers}: Sized,
  service: string,
  operation: string,
): Result<Task, Refusal> {
  if (operation === 'tickets') return Ok({kind: 'ticket', service});
  const key = headers['idempotency-key'];
  if (Array.isArray(key)) {
    return Err(badRequest('Idempotency-Key may be given once'));
  }
  return Ok({kind: 'call', service, operation, key});
}

/** What the caller asks for; an unknown path is refused as `not_found`. */
export function parseTask(request: Sized): Result<Task, Refusal> {
  const parts = request.path.split('/').slice(1);
  const isPost = request.method === 'POST';
  if (isPost && request.path === '/v1/chat/completions') {
    return parseChat(request.body);
  }
  const [root, services, service, operation, ...rest] = parts;
  const isService =
    isPost &&
    root === 'v1' &&
    services === 'services' &&
    rest.length === 0 &&
    service !== undefined &&
    operation !== undefined;
  if (isService) return parseService(request, service, operation);
  return Err(refusal('not_found', 'no such resource'));
}

/** Value of `x-deadline-ms`, in milliseconds. */
export function parseBudget({headers}: Sized): Result<number, Refusal> {
  const text = headers['x-deadline-ms'];
  if (text === undefined) return Ok(DEFAULT_BUDGET_MS);
  const value = typeof text === 'string' && /^[0-9]{1,6}$/.test(text);
  const budgetMs = value ? Number(text) : 0;
  if (budgetMs >= 1 && budgetMs <= MAX_BUDGET_MS) return Ok(budgetMs);
  return Err(
    badRequest(`x-deadline-ms must be a whole number up to ${MAX_BUDGET_MS}`),
  );
}

/** Value of `x-priority`. */
export function parsePriority({headers}: Sized): Result<Priority, Refusal> {
  const text = headers['x-priority'] ?? PRIORITY.interactive;
  if (text === PRIORITY.interactive || text === PRIORITY.batch) return Ok(text);
  return Err(badRequest('x-priority must be interactive or batch'));
}
