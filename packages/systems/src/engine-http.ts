/** HTTP client of a model engine. */
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
  MAX_ANSWER_BYTES,
  REQUEST_TIMEOUT_MS,
  openExchange,
  parseJson,
  send,
  type Answer,
  type ExchangeError,
} from './http.js';

/** Time for an order to take effect; a load waits for the weight store. */
const ORDER_TIMEOUT_MS = 30_000;
/**
 * Longest time between two events of a stream. A batch step takes tens of
 * milliseconds, and several resumes must fit into a caller's deadline.
 */
const STREAM_SILENCE_MS = 1_000;

/** Options of {@link httpEngine}. */
export interface EngineOptions {
  readonly connectTimeoutMs: number;
  /** Time for a state read or a cancel. */
  readonly timeoutMs: number;
  /** Time for an order to take effect. */
  readonly orderTimeoutMs: number;
  /** A stream without an event for this time is reported as `broken`. */
  readonly silenceMs: number;
}

const count = z.number().int().nonnegative();

const engineState = z.object({
  incarnation: z.string().min(1),
  fence: count,
  slots: count,
  batchSize: count,
  loaded: z.array(z.object({adapter: z.string(), version: z.string()})),
  active: count,
});

const generationEvent = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('started'),
    id: z.string(),
    engineIncarnation: z.string(),
    adapter: z.string(),
    version: z.string(),
  }),
  z.object({kind: z.literal('token'), offset: count, token: z.string()}),
  z.object({kind: z.literal('end'), total: count, finishReason: z.string()}),
]);

const refusal = z.object({error: z.string()});

/** A request to an engine. */
interface EngineRequest {
  readonly method: string;
  readonly url: string;
  readonly body?: string;
}

/**
 * Client of the engine at a base URL. Each request opens its own connection,
 * so that `unreachable` proves that nothing was sent.
 */
export function httpEngine(
  url: string,
  options: Partial<EngineOptions> = {},
): Engine {
  const connectTimeoutMs = options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS;
  const timeoutMs = options.timeoutMs ?? REQUEST_TIMEOUT_MS;
  const orderTimeoutMs = options.orderTimeoutMs ?? ORDER_TIMEOUT_MS;
  const silenceMs = options.silenceMs ?? STREAM_SILENCE_MS;
  const generationUrl = (id: string) =>
    `${url}/v1/generations/${encodeURIComponent(id)}`;

  async function ask(
    request: EngineRequest,
    limitMs: number,
  ): Promise<Result<Answer, EngineError>> {
    const sent = await send({
      ...request,
      headers: {'content-type': 'application/json'},
      connectTimeoutMs,
      timeoutMs: limitMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    return sent
      .mapErr(exchangeFailure)
      .andThen(answer =>
        answer.status < 300
          ? Ok(answer)
          : Err(refusalOf(answer.status, answer.body.toString())),
      );
  }

  const stream = (request: EngineRequest) =>
    streamEvents(request, connectTimeoutMs, silenceMs);

  return {
    async state() {
      const request = {method: 'GET', url: `${url}/v1/state`};
      const answer = await ask(request, timeoutMs);
      return answer.andThen(found => {
        const state = engineState.safeParse(parseJson(found.body.toString()));
        return state.success
          ? Ok(state.data)
          : Err(failure(ENGINE_ERROR.failed, z.prettifyError(state.error)));
      });
    },
    async order(order) {
      const body = JSON.stringify(order);
      const request = {method: 'POST', url: `${url}/v1/orders`, body};
      return (await ask(request, orderTimeoutMs)).map(() => undefined);
    },
    generate(generation) {
      const body = JSON.stringify(generation);
      return stream({method: 'POST', url: `${url}/v1/generations`, body});
    },
    resume(id, offset) {
      const from = `${generationUrl(id)}?offset=${offset}`;
      return stream({method: 'GET', url: from});
    },
    async cancel(id) {
      const request = {method: 'DELETE', url: generationUrl(id)};
      return (await ask(request, timeoutMs)).map(() => undefined);
    },
  };
}

/** Events of a stream of JSON lines. Unsubscribing closes the connection. */
function streamEvents(
  request: EngineRequest,
  connectTimeoutMs: number,
  silenceMs: number,
): Observable<GenerationEvent> {
  return new Observable(subscriber => {
    const decoder = new TextDecoder();
    let status = 0;
    let rest = '';
    let silence: NodeJS.Timeout | undefined;
    const fail = (error: EngineError) => {
      subscriber.error(error);
    };
    const restartSilence = () => {
      clearTimeout(silence);
      silence = setTimeout(() => {
        fail(failure(ENGINE_ERROR.broken, `no event in ${silenceMs} ms`));
      }, silenceMs);
    };
    const readLine = (line: string) => {
      const event = generationEvent.safeParse(parseJson(line));
      if (!event.success) {
        fail(failure(ENGINE_ERROR.failed, `not an event: ${line}`));
        return;
      }
      subscriber.next(event.data);
      if (event.data.kind === 'end') subscriber.complete();
    };
    restartSilence();
    const close = openExchange(
      {
        ...request,
        headers: {'content-type': 'application/json'},
        connectTimeoutMs,
      },
      {
        answered: ({status: code}) => {
          status = code;
        },
        received: part => {
          restartSilence();
          const lines = (rest + decoder.decode(part, {stream: true})).split(
            '\n',
          );
          rest = lines.pop() ?? '';
          if (rest.length > MAX_ANSWER_BYTES) {
            fail(failure(ENGINE_ERROR.failed, 'event line too long'));
          }
          if (status !== 200) {
            rest = [...lines, rest].join('\n');
            return;
          }
          lines.forEach(readLine);
        },
        ended: () =>
          fail(
            status === 200
              ? failure(ENGINE_ERROR.broken, 'stream ended without an end')
              : refusalOf(status, rest),
          ),
        failed: error => fail(exchangeFailure(error)),
      },
    );
    return () => {
      clearTimeout(silence);
      close();
    };
  });
}

/** Error that an answer with a status other than 2xx stands for. */
function refusalOf(status: number, body: string): EngineError {
  const parsed = refusal.safeParse(parseJson(body));
  const reason = parsed.success ? parsed.data.error : `status ${status}`;
  if (status === 404) return failure(ENGINE_ERROR.notFound, reason);
  if (status !== 409) return failure(ENGINE_ERROR.failed, reason);
  if (reason === ENGINE_ERROR.fenced) {
    return failure(ENGINE_ERROR.fenced, 'order has an old fencing number');
  }
  if (reason === ENGINE_ERROR.notLoaded) {
    return failure(ENGINE_ERROR.notLoaded, 'adapter version is not loaded');
  }
  return failure(ENGINE_ERROR.failed, reason);
}

function exchangeFailure({kind, message}: ExchangeError): EngineError {
  return failure(
    kind === 'unreachable' ? ENGINE_ERROR.unreachable : ENGINE_ERROR.broken,
    message,
  );
}

function failure(kind: EngineError['kind'], message: string): EngineError {
  return {kind, message};
}
