/** Sends chat requests as a caller during a drill and classifies their results. */
import {request, type IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** Timeout of one chat, in milliseconds; a chat that has not ended by then counts as broken. */
const CHAT_TIMEOUT_MS = 30_000;

/** Value of `max_tokens` in the chats of a drill. */
const CHAT_MAX_TOKENS = 64;

/**
 * Minimum time between the starts of two chats of one worker, in milliseconds.
 * Without it, a worker whose chats are refused immediately would send new ones as
 * fast as the CPU allows.
 */
const CHAT_INTERVAL_MS = 250;

/** Data of the last event of a complete streamed answer. */
const STREAM_TERMINATOR = '[DONE]';

/** URL and key for sending requests as a caller. */
export interface CallerAccess {
  /** Base URL of an entry, or of the balancer in front of the entries. */
  readonly url: string;
  /** API key of the caller. */
  readonly key: string;
}

/** Result of one chat. */
export interface ChatResult {
  /**
   * `complete`: the whole answer was received. `refused`: the reply was an error
   * response. `broken`: the answer or the connection ended early, the answer is
   * malformed, or the stream contains an error.
   */
  readonly kind: 'complete' | 'refused' | 'broken';
  /** Model in the request, `adapter` or `adapter@version`. */
  readonly requestedModel: string;
  /** Model that the answer names; empty when it names none. */
  readonly answeredModel: string;
  /** Reason of the refusal or description of the fault; empty for a complete answer. */
  readonly reason: string;
  readonly durationMs: number;
}

/** Fields of a chat result that are derived from the reply. */
type ReplyOutcome = Pick<ChatResult, 'kind' | 'answeredModel' | 'reason'>;

/** Members of a JSON answer or event that are evaluated. */
interface ReplyObject {
  readonly model?: unknown;
  readonly choices?: unknown;
  readonly error?: {readonly reason?: unknown};
}

function parseReplyObject(text: string): ReplyObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

function brokenOutcome(reason: string, answeredModel = ''): ReplyOutcome {
  return {kind: 'broken', answeredModel, reason};
}

/** Classifies a reply that is one JSON object. */
export function jsonOutcome(status: number, body: string): ReplyOutcome {
  const reply = parseReplyObject(body);
  if (status !== 200) {
    const reason = String(reply?.error?.reason ?? `status ${status}`);
    return {kind: 'refused', answeredModel: '', reason};
  }
  if (typeof reply?.model !== 'string' || !Array.isArray(reply.choices)) {
    return brokenOutcome('answer is not a chat completion');
  }
  return {kind: 'complete', answeredModel: reply.model, reason: ''};
}

/** Classifies a reply that is a stream of server-sent events. */
export function streamOutcome(body: string): ReplyOutcome {
  const events = body
    .split(/\r?\n/)
    .filter(line => line.startsWith('data:'))
    .map(line => line.slice('data:'.length).trim());
  const objects = events
    .filter(event => event !== STREAM_TERMINATOR)
    .map(parseReplyObject);
  const models = new Set(
    objects.flatMap(object =>
      typeof object?.model === 'string' ? [object.model] : [],
    ),
  );
  const answeredModel = [...models].join(' and ');
  const errorObject = objects.find(object => object?.error !== undefined);
  if (errorObject !== undefined) {
    return brokenOutcome(
      String(errorObject.error?.reason ?? 'unknown'),
      answeredModel,
    );
  }
  if (objects.includes(undefined)) {
    return brokenOutcome('an event is not JSON', answeredModel);
  }
  if (events.at(-1) !== STREAM_TERMINATOR) {
    return brokenOutcome(
      `stream ended without ${STREAM_TERMINATOR}`,
      answeredModel,
    );
  }
  return models.size === 1
    ? {kind: 'complete', answeredModel, reason: ''}
    : brokenOutcome('stream does not name one model', answeredModel);
}

async function readOutcome(response: IncomingMessage): Promise<ReplyOutcome> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const body = Buffer.concat(chunks).toString('utf8');
  const type = response.headers['content-type'] ?? '';
  const status = response.statusCode ?? 0;
  return status === 200 && type.startsWith('text/event-stream')
    ? streamOutcome(body)
    : jsonOutcome(status, body);
}

function postChat(
  {url, key}: CallerAccess,
  body: string,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const clientRequest = request(
      `${url.replace(/\/+$/, '')}/v1/chat/completions`,
      {
        method: 'POST',
        // Opens a new connection for each chat, as separate callers would.
        agent: false,
        headers: {
          authorization: `Bearer ${key}`,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
        signal: AbortSignal.timeout(CHAT_TIMEOUT_MS),
      },
      resolve,
    );
    clientRequest.on('error', reject);
    clientRequest.end(body);
  });
}

/** Sends one chat and reads its whole answer. Never rejects; errors give a `broken` result. */
export async function sendChat(
  access: CallerAccess,
  requestedModel: string,
  stream: boolean,
): Promise<ChatResult> {
  const startMs = performance.now();
  const body = JSON.stringify({
    model: requestedModel,
    messages: [{role: 'user', content: 'drill'}],
    max_tokens: CHAT_MAX_TOKENS,
    stream,
  });
  let outcome: ReplyOutcome;
  try {
    outcome = await readOutcome(await postChat(access, body));
  } catch (error) {
    outcome = brokenOutcome(
      error instanceof Error ? error.message : String(error),
    );
  }
  return {
    requestedModel,
    ...outcome,
    durationMs: performance.now() - startMs,
  };
}

/** Chats that are sent continuously until `finish` is called. */
export interface Traffic {
  /** Results of the chats that have ended so far. */
  readonly results: readonly ChatResult[];
  /** Stops sending chats, waits for those in progress and returns all results. */
  finish(): Promise<readonly ChatResult[]>;
}

/** Options of {@link startTraffic}. */
export interface TrafficOptions {
  readonly access: CallerAccess;
  /** Models to request in turn. */
  readonly models: readonly string[];
  /** Number of concurrent chats. */
  readonly parallel: number;
}

/** Starts sending chats, half of them streamed. */
export function startTraffic({
  access,
  models,
  parallel,
}: TrafficOptions): Traffic {
  const results: ChatResult[] = [];
  let isRunning = true;
  let startedCount = 0;
  const worker = async () => {
    while (isRunning) {
      const chatIndex = startedCount++;
      const model = models[chatIndex % models.length]!;
      // Alternates after each round of models, so each model is requested in both modes.
      const stream = Math.floor(chatIndex / models.length) % 2 === 0;
      const result = await sendChat(access, model, stream);
      results.push(result);
      await delay(CHAT_INTERVAL_MS - result.durationMs);
    }
  };
  const workers = Promise.all(Array.from({length: parallel}, worker));
  return {
    results,
    async finish() {
      isRunning = false;
      await workers;
      return results;
    },
  };
}
