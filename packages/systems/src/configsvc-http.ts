/** HTTP client for the configuration service. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {
  ConfigService,
  ConfigServiceError,
  PublishedValue,
} from './configsvc.js';
import {
  CONNECT_TIMEOUT_MS,
  MAX_RESPONSE_BYTES,
  REQUEST_TIMEOUT_MS,
  parseJson,
  send,
  type HttpResponse,
} from './http.js';

/** Options of {@link httpConfigService}, in milliseconds. */
export interface ConfigServiceOptions {
  readonly connectTimeoutMs: number;
  /** Time limit for the whole response to a read. */
  readonly timeoutMs: number;
}

const publishedValueSchema = z.object({
  name: z.string(),
  version: z.number().int().nonnegative(),
  content: z.string(),
});

/** Creates a client for the configuration service at a base URL. */
export function httpConfigService(
  url: string,
  options: Partial<ConfigServiceOptions> = {},
): ConfigService {
  const connectTimeoutMs = options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS;
  const timeoutMs = options.timeoutMs ?? REQUEST_TIMEOUT_MS;

  async function get(path: string, responseTimeoutMs: number) {
    const sent = await send({
      method: 'GET',
      url: `${url}${path}`,
      connectTimeoutMs,
      timeoutMs: responseTimeoutMs,
      maxAnswerBytes: MAX_RESPONSE_BYTES,
    });
    return sent.mapErr(({kind, message}) =>
      configServiceError(
        kind === 'broken' || kind === 'oversized' ? 'failed' : kind,
        message,
      ),
    );
  }

  return {
    async read(name) {
      const result = await get(
        `/v1/values/${encodeURIComponent(name)}`,
        timeoutMs,
      );
      return result.andThen(response => readValue(name, response));
    },
    async watch(name, after, {waitMs, answerMs}) {
      const path = `/v1/watch/${encodeURIComponent(name)}?after=${after}&waitMs=${waitMs}`;
      const result = await get(path, waitMs + answerMs);
      return result.andThen(response =>
        response.status === 204 ? Ok(undefined) : readValue(name, response),
      );
    },
  };
}

/** Reads the value of the given name from a response. */
function readValue(
  name: string,
  response: HttpResponse,
): Result<PublishedValue, ConfigServiceError> {
  if (response.status === 404) {
    return Err(configServiceError('not_found', `value not found: ${name}`));
  }
  if (response.status !== 200) {
    return Err(
      configServiceError(
        'failed',
        `HTTP status ${response.status} for value ${name}`,
      ),
    );
  }
  const value = publishedValueSchema.safeParse(
    parseJson(response.body.toString()),
  );
  if (!value.success) {
    return Err(configServiceError('failed', z.prettifyError(value.error)));
  }
  if (value.data.name !== name) {
    const message = `requested value ${name}, but received ${value.data.name}`;
    return Err(configServiceError('failed', message));
  }
  return Ok(value.data);
}

function configServiceError(
  kind: ConfigServiceError['kind'],
  message: string,
): ConfigServiceError {
  return {kind, message};
}
