/** Chats that a drill sends as a caller, and what came of them. */
import {request, type IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** Time for one chat, in milliseconds; a chat without an end by then is broken. */
const CHAT_TIMEOUT_MS = 30_000;

/** Tokens that a drill's chat asks for. */
const CHAT_TOKENS = 64;

/**
 * Time between the starts of two chats of one worker, in milliseconds. Without
 * it, chats that are refused at once would be sent as fast as the CPU allows.
 */
const CHAT_INTERVAL_MS = 250;

/** Last data of a complete streamed answer. */
const DONE = '[DONE]';

/** A caller's access to an entry. */
export interface CallerAccess {
  /** Base URL of an entry, or of the balancer in front of the entries. */
  readonly url: string;
  readonly key: string;
}

/** What came of one chat. */
export interface ChatResult {
  /**
   * `complete`: the whole answer came. `refused`: a refusal came before any part
   * of the answer. `broken`: the answer, or the connection, ended early.
   */
  readonly kind: 'complete' | 'refused' | 'broken';
  /** Model that was asked for, `adapter` or `adapter@version`. */
  readonly asked: string;
  /** Model that the answer names; empty without one. */
  readonly answered: string;
  /** Reason of a refusal, or what broke; empty for a complete answer. */
  readonly reason: string;
  readonly ms: number;
}

/** The part of an answer that decides what came of the chat. */
type Outcome = Pick<ChatResult, 'kind' | 'answered' | 'reason'>;

/** Members of an answer or event that are looked at. */
interface AnswerPart {
  readonly model?: unknown;
  readonly choices?: unknown;
  readonly error?: {readonly reason?: unknown};
}

function parsePart(text: string): AnswerPart | undefined {
  try {
    const part: unknown = JSON.parse(text);
    return typeof part === 'object' && part !== null ? part : undefined;
  } catch {
    return undefined;
  }
}

function broken(reason: string, answered = ''): Outcome {
  return {kind: 'broken', answered, reason};
}

/** Outcome of a reply that is one JSON object. */
export function wholeOutcome(status: number, body: string): Outcome {
  const part = parsePart(body);
  if (status !== 200) {
    const reason = String(part?.error?.reason ?? `status ${status}`);
    return {kind: 'refused', answered: '', reason};
  }
  if (typeof part?.model !== 'string' || !Array.isArray(part.choices)) {
    return broken('answer is not a chat completion');
  }
  return {kind: 'complete', answered: part.model, reason: ''};
}

/** Outcome of a reply that is a stream of server-sent events. */
export function streamOutcome(body: string): Outcome {
  const events = body
    .split(/\r?\n/)
    .filter(line => line.startsWith('data:'))
    .map(line => line.slice('data:'.length).trim());
  const parts = events.filter(event => event !== DONE).map(parsePart);
  const models = new Set(
    parts.flatMap(part =>
      typeof part?.model === 'string' ? [part.model] : [],
    ),
  );
  const answered = [...models].join(' and ');
  const failed = parts.find(part => part?.error !== undefined);
  if (failed !== undefined) {
    return broken(String(failed.error?.reason ?? 'unknown'), answered);
  }
  if (parts.includes(undefined)) {
    return broken('an event is not JSON', answered);
  }
  if (events.at(-1) !== DONE) {
    return broken(`stream ended without ${DONE}`, answered);
  }
  return models.size === 1
    ? {kind: 'complete', answered, reason: ''}
    : broken('stream does not name one model', answered);
}

async function outcomeOf(response: IncomingMessage): Promise<Outcome> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const body = Buffer.concat(chunks).toString('utf8');
  const type = response.headers['content-type'] ?? '';
  const status = response.statusCode ?? 0;
  return status === 200 && type.startsWith('text/event-stream')
    ? streamOutcome(body)
    : wholeOutcome(status, body);
}

function send(
  {url, key}: CallerAccess,
  body: string,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const sent = request(
      `${url.replace(/\/+$/, '')}/v1/chat/completions`,
      {
        method: 'POST',
        // A connection of its own for each chat, as from separate callers.
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
    sent.on('error', reject);
    sent.end(body);
  });
}

/** Sends one chat and reads its whole answer. Never rejects. */
export async function chat(
  access: CallerAccess,
  asked: string,
  stream: boolean,
): Promise<ChatResult> {
  const start = performance.now();
  const body = JSON.stringify({
    model: asked,
    messages: [{role: 'user', content: 'drill'}],
    max_tokens: CHAT_TOKENS,
    stream,
  });
  let outcome: Outcome;
  try {
    outcome = await outcomeOf(await send(access, body));
  } catch (error) {
    outcome = broken(error instanceof Error ? error.message : String(error));
  }
  return {asked, ...outcome, ms: performance.now() - start};
}

/** Chats that run until they are stopped. */
export interface Traffic {
  /** Results so far. */
  readonly results: readonly ChatResult[];
  /** Sends no more chats, and waits for those in progress. */
  finish(): Promise<readonly ChatResult[]>;
}

/** Options of {@link startTraffic}. */
export interface TrafficOptions {
  readonly access: CallerAccess;
  /** Models to ask for in turn. */
  readonly models: readonly string[];
  /** Chats in progress at once. */
  readonly parallel: number;
}

/** Starts chats, every second of them streamed. */
export function startTraffic({
  access,
  models,
  parallel,
}: TrafficOptions): Traffic {
  const results: ChatResult[] = [];
  let isRunning = true;
  let sent = 0;
  const worker = async () => {
    while (isRunning) {
      const number = sent++;
      const model = models[number % models.length]!;
      // Alternates by rounds, so that each model is asked for both ways.
      const stream = Math.floor(number / models.length) % 2 === 0;
      const result = await chat(access, model, stream);
      results.push(result);
      await delay(CHAT_INTERVAL_MS - result.ms);
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
