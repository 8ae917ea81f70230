/** What a caller of a scenario sends, and what it received. */
import {
  chatBody,
  post,
  type Access,
  type CallerAnswer,
} from '@balsamnotch/demo';
import {expectedAnswer} from '@balsamnotch/standins';

/** Time that a caller waits for a stream, in milliseconds. */
const STREAM_TIMEOUT_MS = 40_000;

/** A refusal as a caller reads it. */
export interface ReadRefusal {
  readonly reason: string;
  readonly outcome: string;
}

/** Refusal in the body of an answer, if it has one. */
export function refusalOf({body}: CallerAnswer): ReadRefusal | undefined {
  const parsed = JSON.parse(body) as {error?: ReadRefusal};
  return parsed.error;
}

/** A chat of a scenario. */
export interface ChatPlan {
  readonly adapter: string;
  /** Empty for the current version. */
  readonly version: string;
  readonly content: string;
  readonly tokens: number;
}

/** A streamed chat as far as it was received. */
export interface ReadStream {
  readonly plan: ChatPlan;
  text: string;
  model: string;
  done: boolean;
  error?: ReadRefusal;
  status: number;
  /** Resolves when the stream has ended, whole or not. */
  ended: Promise<void>;
}

function modelOf({adapter, version}: ChatPlan): string {
  return version === '' ? adapter : `${adapter}@${version}`;
}

interface Chunk {
  readonly model?: string;
  readonly error?: ReadRefusal;
  readonly choices?: Array<{readonly delta?: {readonly content?: string}}>;
}

function take(stream: ReadStream, data: string): void {
  if (data === '[DONE]') {
    stream.done = true;
    return;
  }
  const chunk = JSON.parse(data) as Chunk;
  if (chunk.error !== undefined) stream.error = chunk.error;
  if (chunk.model !== undefined) stream.model = chunk.model;
  stream.text += chunk.choices?.[0]?.delta?.content ?? '';
}

async function read(stream: ReadStream, access: Access): Promise<void> {
  const {plan} = stream;
  const answer = await fetch(`http://${access.address}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${access.key}`,
      'x-deadline-ms': String(STREAM_TIMEOUT_MS),
    },
    body: JSON.stringify({
      ...chatBody(modelOf(plan), plan.content, plan.tokens),
      stream: true,
    }),
    signal: AbortSignal.timeout(STREAM_TIMEOUT_MS),
  });
  stream.status = answer.status;
  if (!answer.ok) {
    const body = (await answer.json()) as {error?: ReadRefusal};
    stream.error = body.error;
    return;
  }
  let rest = '';
  const decoder = new TextDecoder();
  for await (const part of answer.body as AsyncIterable<Uint8Array>) {
    const lines = (rest + decoder.decode(part, {stream: true})).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) {
      if (line.startsWith('data: ')) take(stream, line.slice(6));
    }
  }
}

/** Starts a streamed chat. */
export function startStream(access: Access, plan: ChatPlan): ReadStream {
  const stream: ReadStream = {
    plan,
    text: '',
    model: '',
    done: false,
    status: 0,
    ended: Promise.resolve(),
  };
  stream.ended = read(stream, access).catch((error: unknown) => {
    stream.error = {reason: String(error), outcome: 'broken'};
  });
  return stream;
}

/** The answer that the stand-in engines give for a chat with this version. */
export function wholeAnswer(plan: ChatPlan, version: string): string {
  const messages = [{role: 'user', content: plan.content}];
  const {adapter, tokens} = plan;
  return expectedAnswer({adapter, version, messages}, tokens);
}

/** A confirmation and what its caller was told. */
export interface ToldConfirmation {
  readonly booking: string;
  /** 0 when the connection broke without an answer. */
  readonly status: number;
  /** Outcome that a refusal states. */
  readonly outcome?: string;
  readonly ms: number;
}

/** Confirms a booking without a ticket. Rejects when there is no answer. */
export async function confirmOnce(
  access: Access,
  booking: string,
  deadlineMs: number,
): Promise<ToldConfirmation> {
  const answer = await confirm(access, '', booking, deadlineMs);
  const {status, ms} = answer;
  const outcome = status === 200 ? undefined : refusalOf(answer)?.outcome;
  return {booking, status, outcome, ms};
}

/** Confirms a booking under a ticket. */
export function confirm(
  access: Access,
  ticket: string,
  booking: string,
  deadlineMs: number,
): Promise<CallerAnswer> {
  const headers = {
    'x-deadline-ms': String(deadlineMs),
    ...(ticket === '' ? {} : {'idempotency-key': ticket}),
  };
  return post(access, '/v1/services/booking/confirm', {booking}, headers);
}
