/** Batched decoding of the engine stand-in, with streams that can be read again. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {json, type Reply} from './server.js';
import {tokenAt} from './tokens.js';

/** Growth of the batch step from an empty to a full batch, as a part of `tokenMs`. */
const FILL_COST = 0.5;
/** Time for which an ended generation can be read again. */
const RETENTION_MS = 60_000;

/** Body of a request for a generation. */
export const generationBody = z.object({
  adapter: z.string(),
  version: z.string(),
  id: z.string().min(1),
  messages: z.array(z.object({role: z.string(), content: z.string()})),
  /** Length of the whole answer, prefix included. */
  maxTokens: z.int().positive(),
  prefix: z.array(z.string()),
  priority: z.enum(['interactive', 'batch']),
});

/** A generation with the responses that read it. */
interface Generation extends z.infer<typeof generationBody> {
  readonly tokens: string[];
  readonly readers: Set<ServerResponse>;
  ended: boolean;
}

/** Settings that a batch reads at each step. */
export interface BatchSettings {
  readonly hang: boolean;
  readonly batchSize: number;
  readonly tokenMs: number;
}

/** Counters of the effects of one batch. */
export function batchCounters() {
  return {
    started: 0,
    finished: 0,
    cancelled: 0,
    /** Generations continued from tokens that this adapter version would not have produced. */
    wrongPrefix: 0,
    tokens: 0,
    batchSteps: 0,
    peakActive: 0,
  };
}

/** The generations of one engine incarnation. */
export class Batch {
  private readonly known = new Map<string, Generation>();
  private active: Generation[] = [];
  private queue: Generation[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly incarnation: string,
    private readonly settings: BatchSettings,
    private readonly counters: ReturnType<typeof batchCounters>,
  ) {}

  /** Generations that have not ended. */
  running(): readonly Generation[] {
    return [...this.active, ...this.queue];
  }

  start(body: z.infer<typeof generationBody>): Reply {
    if (this.known.get(body.id)?.ended === false) {
      return json(409, {error: 'exists'});
    }
    this.counters.started += 1;
    if (body.prefix.some((token, n) => token !== tokenAt(body, n))) {
      this.counters.wrongPrefix += 1;
    }
    const generation: Generation = {
      ...body,
      tokens: [...body.prefix],
      readers: new Set(),
      ended: false,
    };
    this.known.set(body.id, generation);
    this.enqueue(generation);
    this.timer ??= setTimeout(() => this.step(), this.stepMs());
    return this.stream(generation, body.prefix.length);
  }

  /** Streams a generation from an offset to its end. */
  read(id: string, offset: number): Reply {
    const generation = this.known.get(id);
    if (generation === undefined) return json(404, {error: 'not_found'});
    return offset >= 0 && offset <= generation.tokens.length
      ? this.stream(generation, offset)
      : json(400, {error: 'bad_offset'});
  }

  cancel(id: string): Reply {
    const generation = this.known.get(id);
    if (generation === undefined) return json(404, {error: 'not_found'});
    if (!generation.ended) this.counters.cancelled += 1;
    this.discard(generation);
    return json(204, undefined);
  }

  /** Breaks all generations. */
  close(): void {
    clearTimeout(this.timer);
    this.running().forEach(generation => this.discard(generation));
  }

  /** Forgets a generation and breaks the streams that read it. */
  discard(generation: Generation): void {
    this.known.delete(generation.id);
    this.active = this.active.filter(other => other !== generation);
    this.queue = this.queue.filter(other => other !== generation);
    for (const reader of generation.readers) reader.destroy();
  }

  private enqueue(generation: Generation): void {
    const firstBatch = this.queue.findIndex(
      other => other.priority === 'batch',
    );
    const place =
      generation.priority === 'batch' || firstBatch < 0
        ? this.queue.length
        : firstBatch;
    this.queue.splice(place, 0, generation);
  }

  /** One batch step: each active generation gains one token. */
  private step(): void {
    this.timer = undefined;
    if (!this.settings.hang) {
      const free = Math.max(0, this.settings.batchSize - this.active.length);
      this.active.push(...this.queue.splice(0, free));
      const {counters} = this;
      counters.batchSteps += 1;
      counters.peakActive = Math.max(counters.peakActive, this.active.length);
      this.active.forEach(generation => this.advance(generation));
      this.active = this.active.filter(generation => !generation.ended);
    }
    if (this.running().length > 0) {
      this.timer = setTimeout(() => this.step(), this.stepMs());
    }
  }

  private stepMs(): number {
    const fill = this.active.length / this.settings.batchSize;
    return this.settings.tokenMs * (1 + FILL_COST * fill);
  }

  private advance(generation: Generation): void {
    const {tokens, readers} = generation;
    if (tokens.length < generation.maxTokens) {
      const offset = tokens.length;
      const token = tokenAt(generation, offset);
      tokens.push(token);
      this.counters.tokens += 1;
      for (const reader of readers) {
        writeLine(reader, {kind: 'token', offset, token});
      }
    }
    if (tokens.length < generation.maxTokens) return;
    generation.ended = true;
    this.counters.finished += 1;
    readers.forEach(reader => writeEnd(reader, generation));
    readers.clear();
    setTimeout(() => {
      if (this.known.get(generation.id) === generation) {
        this.known.delete(generation.id);
      }
    }, RETENTION_MS).unref();
  }

  private stream(generation: Generation, offset: number): Reply {
    const {id, adapter, version, tokens, readers} = generation;
    const engineIncarnation = this.incarnation;
    const open = (response: ServerResponse) => {
      response.writeHead(200, {'content-type': 'application/x-ndjson'});
      const identity = {id, engineIncarnation, adapter, version};
      writeLine(response, {kind: 'started', ...identity});
      tokens.slice(offset).forEach((token, n) => {
        writeLine(response, {kind: 'token', offset: offset + n, token});
      });
      if (generation.ended) {
        writeEnd(response, generation);
        return;
      }
      readers.add(response);
      response.on('close', () => readers.delete(response));
    };
    return {kind: 'stream', open};
  }
}

function writeLine(response: ServerResponse, event: object): void {
  response.write(`${JSON.stringify(event)}\n`);
}

function writeEnd(response: ServerResponse, {tokens}: Generation): void {
  const end = {kind: 'end', total: tokens.length, finishReason: 'length'};
  response.end(`${JSON.stringify(end)}\n`);
}
