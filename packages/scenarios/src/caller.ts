/** Requests that the callers of scenarios and soaks send, and the responses they receive. */
import {
  chatRequestBody,
  post,
  type EntryAccess,
  type CallerResponse,
} from '@balsamnotch/demo';
import {expectedAnswer} from '@balsamnotch/standins';

/** Maximum duration of a streamed chat, in milliseconds. Also sent as its deadline. */
const STREAM_TIMEOUT_MS = 40_000;

/** The `error` object in the body of a refusal. */
export interface RefusalBody {
  readonly reason: string;
  readonly outcome: string;
}

/** Returns the refusal in a JSON response body, or undefined if it holds none. */
export function refusalOf({body}: CallerResponse): RefusalBody | undefined {
  const parsed = JSON.parse(body) as {error?: RefusalBody};
  return parsed.error;
}

/** A chat to send. */
export interface ChatPlan {
  readonly adapter: string;
  /** Adapter version; empty for the current one. */
  readonly version: string;
  readonly content: string;
  /** Number of tokens to request. */
  readonly tokens: number;
}

/** A streamed chat and what its caller has received of it so far. */
export interface ChatStream {
  readonly plan: ChatPlan;
  text: string;
  /** `adapter@version` that the chunks name; empty before the first chunk. */
  model: string;
  /** True once `[DONE]` has been received. */
  done: boolean;
  /** Refusal or in-stream error. Outcome `broken` means that reading the response failed. */
  error?: RefusalBody;
  /** HTTP status; 0 before the response headers. */
  status: number;
  /** Resolves when the stream has ended, whether complete or not. Never rejects. */
  ended: Promise<void>;
}

function modelName({adapter, version}: ChatPlan): string {
  return version === '' ? adapter : `${adapter}@${version}`;
}

interface Chunk {
  readonly model?: string;
  readonly error?: RefusalBody;
  readonly choices?: Array<{readonly delta?: {readonly content?: string}}>;
}

function applyEvent(stream: ChatStream, data: string): void {
  if (data === '[DONE]') {
    stream.done = true;
    return;
  }
  const chunk = JSON.parse(data) as Chunk;
  if (chunk.error !== undefined) stream.error = chunk.error;
  if (chunk.model !== undefined) stream.model = chunk.model;
  stream.text += chunk.choices?.[0]?.delta?.content ?? '';
}

async function readStream(
  stream: ChatStream,
  access: EntryAccess,
): Promise<void> {
  const {plan} = stream;
  const response = await fetch(`http://${access.address}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${access.key}`,
      'x-deadline-ms': String(STREAM_TIMEOUT_MS),
    },
    body: JSON.stringify({
      ...chatRequestBody(modelName(plan), plan.content, plan.tokens),
      stream: true,
    }),
    signal: AbortSignal.timeout(STREAM_TIMEOUT_MS),
  });
  stream.status = response.status;
  if (!response.ok) {
    const body = (await response.json()) as {error?: RefusalBody};
    stream.error = body.error;
    return;
  }
  let incompleteLine = '';
  const decoder = new TextDecoder();
  for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
    const lines = (
      incompleteLine + decoder.decode(bytes, {stream: true})
    ).split('\n');
    incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      if (line.startsWith('data: ')) applyEvent(stream, line.slice(6));
    }
  }
}

/** Starts a streamed chat and keeps reading it in the background. */
export function startStream(access: EntryAccess, plan: ChatPlan): ChatStream {
  const stream: ChatStream = {
    plan,
    text: '',
    model: '',
    done: false,
    status: 0,
    ended: Promise.resolve(),
  };
  stream.ended = readStream(stream, access).catch((error: unknown) => {
    stream.error = {reason: String(error), outcome: 'broken'};
  });
  return stream;
}

/** Full text that the stand-in engines generate for a chat with this adapter version. */
export function completeAnswer(plan: ChatPlan, version: string): string {
  const messages = [{role: 'user', content: plan.content}];
  const {adapter, tokens} = plan;
  return expectedAnswer({adapter, version, messages}, tokens);
}

/** A confirmation of a booking and the response that its caller received. */
export interface ConfirmationResult {
  readonly booking: string;
  /** HTTP status; 0 if the connection failed before a response. */
  readonly status: number;
  /** Outcome stated in the refusal, if there is one. */
  readonly outcome?: string;
  /** Time from the request to the end of the response, in milliseconds. */
  readonly durationMs: number;
}

/** Confirms a booking without a ticket. Rejects if no response arrives. */
export async function confirmWithoutTicket(
  access: EntryAccess,
  booking: string,
  deadlineMs: number,
): Promise<ConfirmationResult> {
  const response = await confirmBooking(access, '', booking, deadlineMs);
  const {status, durationMs} = response;
  const outcome = status === 200 ? undefined : refusalOf(response)?.outcome;
  return {booking, status, outcome, durationMs};
}

/** Confirms a booking. An empty `ticket` sends none. Rejects if no response arrives. */
export function confirmBooking(
  access: EntryAccess,
  ticket: string,
  booking: string,
  deadlineMs: number,
): Promise<CallerResponse> {
  const headers = {
    'x-deadline-ms': String(deadlineMs),
    ...(ticket === '' ? {} : {'idempotency-key': ticket}),
  };
  return post(access, '/v1/services/booking/confirm', {booking}, headers);
}
