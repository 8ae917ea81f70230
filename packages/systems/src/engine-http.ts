/** HTTP client for a model engine. */
import {Observable} from 'rxjs';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {
  ENGINE_ERROR,
  type Engine,
  type EngineError,
  type GenerationEvent,
} from './engine.js';
import {
  CONNECT_TIMEOUT_MS,
  MAX_RESPONSE_BYTES,
  REQUEST_TIMEOUT_MS,
  openExchange,
  parseJson,
  send,
  type HttpResponse,
  type ExchangeError,
} from './http.js';
import {createInputTimer} from './inputtimer.js';

/**
 * Time limit for an order to take effect, in milliseconds. A load includes the wait for
 * the weight store.
 */
const ORDER_TIMEOUT_MS = 30_000;
/**
 * Longest time without data on a stream, in milliseconds. A batch step takes tens of
 * milliseconds, and several resumes of a broken stream must fit into a caller's
 * deadline.
 */
const EVENT_TIMEOUT_MS = 1_000;

/** Options of {@link httpEngine}, in milliseconds. */
export interface EngineOptions {
  readonly connectTimeoutMs: number;
  /** Time limit for reading the state or cancelling a generation. */
  readonly timeoutMs: number;
  /** Time limit for an order to take effect. */
  readonly orderTimeoutMs: number;
  /** A stream that delivers no data for this time fails as `broken`. */
  readonly eventTimeoutMs: number;
}

const countSchema = z.number().int().nonnegative();

const engineStateSchema = z.object({
  incarnation: z.string().min(1),
  fence: countSchema,
  slots: countSchema,
  batchSize: countSchema,
  loaded: z.array(z.object({adapter: z.string(), version: z.string()})),
  active: countSchema,
});

const generationEventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('started'),
    id: z.string(),
    engineIncarnation: z.string(),
    adapter: z.string(),
    version: z.string(),
  }),
  z.object({kind: z.literal('token'), offset: countSchema, token: z.string()}),
  z.object({
    kind: z.literal('end'),
    total: countSchema,
    finishReason: z.string(),
  }),
]);

const errorBodySchema = z.object({error: z.string()});

interface EngineRequest {
  readonly method: string;
  readonly url: string;
  readonly body?: string;
}

/**
 * Creates a client for the engine at a base URL. Each request opens a new
 * connection, because `unreachable` must prove that nothing was sent. On a
 * reused connection, the engine may have received a request that failed.
 */
export function httpEngine(
  url: string,
  options: Partial<EngineOptions> = {},
): Engine {
  const connectTimeoutMs = options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS;
  const timeoutMs = options.timeoutMs ?? REQUEST_TIMEOUT_MS;
  const orderTimeoutMs = options.orderTimeoutMs ?? ORDER_TIMEOUT_MS;
  const eventTimeoutMs = options.eventTimeoutMs ?? EVENT_TIMEOUT_MS;
  const generationUrl = (id: string) =>
    `${url}/v1/generations/${encodeURIComponent(id)}`;

  async function sendRequest(
    request: EngineRequest,
    responseTimeoutMs: number,
  ): Promise<Result<HttpResponse, EngineError>> {
    const sent = await send({
      ...request,
      headers: {'content-type': 'application/json'},
      connectTimeoutMs,
      timeoutMs: responseTimeoutMs,
      maxAnswerBytes: MAX_RESPONSE_BYTES,
    });
    return sent
      .mapErr(errorFromExchange)
      .andThen(response =>
        response.status < 300
          ? Ok(response)
          : Err(errorFromResponse(response.status, response.body.toString())),
      );
  }

  const stream = (request: EngineRequest) =>
    streamEvents(request, connectTimeoutMs, eventTimeoutMs);

  return {
    async state() {
      const request = {method: 'GET', url: `${url}/v1/state`};
      const sent = await sendRequest(request, timeoutMs);
      return sent.andThen(response => {
        const state = engineStateSchema.safeParse(
          parseJson(response.body.toString()),
        );
        return state.success
          ? Ok(state.data)
          : Err(engineError(ENGINE_ERROR.failed, z.prettifyError(state.error)));
      });
    },
    async order(order) {
      const body = JSON.stringify(order);
      const request = {method: 'POST', url: `${url}/v1/orders`, body};
      return (await sendRequest(request, orderTimeoutMs)).map(() => undefined);
    },
    generate(generation) {
      const body = JSON.stringify(generation);
      return stream({method: 'POST', url: `${url}/v1/generations`, body});
    },
    resume(id, offset) {
      const resumeUrl = `${generationUrl(id)}?offset=${offset}`;
      return stream({method: 'GET', url: resumeUrl});
    },
    async cancel(id) {
      const request = {method: 'DELETE', url: generationUrl(id)};
      return (await sendRequest(request, timeoutMs)).map(() => undefined);
    },
  };
}

/** Sends a request and emits the JSON lines of its response as events. Unsubscribing closes the connection. */
function streamEvents(
  request: EngineRequest,
  connectTimeoutMs: number,
  eventTimeoutMs: number,
): Observable<GenerationEvent> {
  return new Observable(subscriber => {
    const decoder = new TextDecoder();
    let status = 0;
    // The last, incomplete line; the whole body when the status is not 200.
    let buffered = '';
    const fail = (error: EngineError) => {
      subscriber.error(error);
    };
    const eventTimer = createInputTimer(() =>
      fail(
        engineError(
          ENGINE_ERROR.broken,
          `no data received for ${eventTimeoutMs} ms`,
        ),
      ),
    );
    const readLine = (line: string) => {
      const event = generationEventSchema.safeParse(parseJson(line));
      if (!event.success) {
        fail(engineError(ENGINE_ERROR.failed, `invalid event line: ${line}`));
        return;
      }
      subscriber.next(event.data);
      if (event.data.kind === 'end') subscriber.complete();
    };
    eventTimer.restart(eventTimeoutMs);
    const close = openExchange(
      {
        ...request,
        headers: {'content-type': 'application/json'},
        connectTimeoutMs,
      },
      {
        onHead: ({status: code}) => {
          status = code;
        },
        onData: chunk => {
          eventTimer.restart(eventTimeoutMs);
          const lines = (
            buffered + decoder.decode(chunk, {stream: true})
          ).split('\n');
          buffered = lines.pop() ?? '';
          if (buffered.length > MAX_RESPONSE_BYTES) {
            fail(
              engineError(
                ENGINE_ERROR.failed,
                'event line exceeds the size limit',
              ),
            );
          }
          if (status !== 200) {
            buffered = [...lines, buffered].join('\n');
            return;
          }
          lines.forEach(readLine);
        },
        onEnd: () =>
          fail(
            status === 200
              ? engineError(
                  ENGINE_ERROR.broken,
                  'stream closed without an end event',
                )
              : errorFromResponse(status, buffered),
          ),
        onError: error => fail(errorFromExchange(error)),
      },
    );
    return () => {
      eventTimer.clear();
      close();
    };
  });
}

/** Converts a response with a status other than 2xx to an error. */
function errorFromResponse(status: number, body: string): EngineError {
  const parsed = errorBodySchema.safeParse(parseJson(body));
  const reason = parsed.success ? parsed.data.error : `HTTP status ${status}`;
  if (status === 404) return engineError(ENGINE_ERROR.notFound, reason);
  if (status !== 409) return engineError(ENGINE_ERROR.failed, reason);
  if (reason === ENGINE_ERROR.fenced) {
    return engineError(
      ENGINE_ERROR.fenced,
      'order has an outdated fencing number',
    );
  }
  if (reason === ENGINE_ERROR.notLoaded) {
    return engineError(ENGINE_ERROR.notLoaded, 'adapter version is not loaded');
  }
  return engineError(ENGINE_ERROR.failed, reason);
}

function errorFromExchange({kind, message}: ExchangeError): EngineError {
  return engineError(
    kind === 'unreachable' ? ENGINE_ERROR.unreachable : ENGINE_ERROR.broken,
    message,
  );
}

function engineError(kind: EngineError['kind'], message: string): EngineError {
  return {kind, message};
}
