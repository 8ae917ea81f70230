/** Simulates batched decoding for the engine stand-in; streams can be read again from any offset. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {json, type Reply} from './server.js';
import {tokenAt} from './tokens.js';

/** Additional duration of a step of a full batch, as a fraction of `tokenMs`. */
const FULL_BATCH_SLOWDOWN = 0.5;
/** Time for which a completed generation can still be read. */
const RETENTION_MS = 60_000;

/** Schema of the body of a request that starts a generation. */
export const generationSchema = z.object({
  adapter: z.string(),
  version: z.string(),
  id: z.string().min(1),
  messages: z.array(z.object({role: z.string(), content: z.string()})),
  /** Length of the complete answer in tokens, including the prefix. */
  maxTokens: z.int().positive(),
  prefix: z.array(z.string()),
  priority: z.enum(['interactive', 'batch']),
});

/** A generation and the responses to which it is streamed. */
interface Generation extends z.infer<typeof generationSchema> {
  readonly tokens: string[];
  readonly readers: Set<ServerResponse>;
  hasEnded: boolean;
}

/** Settings that a batch reads at each step, so that changes take effect immediately. */
export interface BatchSettings {
  readonly hang: boolean;
  readonly batchSize: number;
  /** Duration of a step of an empty batch. */
  readonly tokenMs: number;
}

/** Creates the counters that a batch updates, all at zero. */
export function batchCounters() {
  return {
    started: 0,
    finished: 0,
    cancelled: 0,
    /** Generations continued from a prefix that differs from the tokens of this adapter version. */
    wrongPrefix: 0,
    tokens: 0,
    batchSteps: 0,
    peakActive: 0,
  };
}

/** Runs the generations of one engine incarnation. */
export class Batch {
  private readonly generations = new Map<string, Generation>();
  private active: Generation[] = [];
  private queue: Generation[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly incarnation: string,
    private readonly settings: BatchSettings,
    private readonly counters: ReturnType<typeof batchCounters>,
  ) {}

  /** Returns the generations that have not ended, active and queued. */
  running(): readonly Generation[] {
    return [...this.active, ...this.queue];
  }

  /** Starts a generation and streams it after its prefix; 409 while one with this id is running. */
  start(body: z.infer<typeof generationSchema>): Reply {
    if (this.generations.get(body.id)?.hasEnded === false) {
      return json(409, {error: 'exists'});
    }
    this.counters.started += 1;
    if (body.prefix.some((token, index) => token !== tokenAt(body, index))) {
      this.counters.wrongPrefix += 1;
    }
    const generation: Generation = {
      ...body,
      tokens: [...body.prefix],
      readers: new Set(),
      hasEnded: false,
    };
    this.generations.set(body.id, generation);
    this.enqueue(generation);
    this.timer ??= setTimeout(() => this.step(), this.stepMs());
    return this.stream(generation, body.prefix.length);
  }

  /** Streams a generation from a token offset to its end; 404 or 400 for an unknown id or offset. */
  read(id: string, offset: number): Reply {
    const generation = this.generations.get(id);
    if (generation === undefined) return json(404, {error: 'not_found'});
    return offset >= 0 && offset <= generation.tokens.length
      ? this.stream(generation, offset)
      : json(400, {error: 'bad_offset'});
  }

  /** Cancels and removes a generation; 404 for an unknown id. */
  cancel(id: string): Reply {
    const generation = this.generations.get(id);
    if (generation === undefined) return json(404, {error: 'not_found'});
    if (!generation.hasEnded) this.counters.cancelled += 1;
    this.discard(generation);
    return json(204, undefined);
  }

  /** Stops the batch and discards all running generations. */
  close(): void {
    clearTimeout(this.timer);
    this.running().forEach(generation => this.discard(generation));
  }

  /** Removes a generation and closes the connections that stream it. */
  discard(generation: Generation): void {
    this.generations.delete(generation.id);
    this.active = this.active.filter(other => other !== generation);
    this.queue = this.queue.filter(other => other !== generation);
    for (const reader of generation.readers) reader.destroy();
  }

  private enqueue(generation: Generation): void {
    const firstBatchIndex = this.queue.findIndex(
      other => other.priority === 'batch',
    );
    const insertIndex =
      generation.priority === 'batch' || firstBatchIndex < 0
        ? this.queue.length
        : firstBatchIndex;
    this.queue.splice(insertIndex, 0, generation);
  }

  /** Runs one batch step, which appends one token to each active generation. */
  private step(): void {
    this.timer = undefined;
    if (!this.settings.hang) {
      const free = Math.max(0, this.settings.batchSize - this.active.length);
      this.active.push(...this.queue.splice(0, free));
      const {counters} = this;
      counters.batchSteps += 1;
      counters.peakActive = Math.max(counters.peakActive, this.active.length);
      this.active.forEach(generation => this.advance(generation));
      this.active = this.active.filter(generation => !generation.hasEnded);
    }
    if (this.running().length > 0) {
      this.timer = setTimeout(() => this.step(), this.stepMs());
    }
  }

  private stepMs(): number {
    const fillRatio = this.active.length / this.settings.batchSize;
    return this.settings.tokenMs * (1 + FULL_BATCH_SLOWDOWN * fillRatio);
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
    generation.hasEnded = true;
    this.counters.finished += 1;
    readers.forEach(reader => writeEnd(reader, generation));
    readers.clear();
    setTimeout(() => {
      if (this.generations.get(generation.id) === generation) {
        this.generations.delete(generation.id);
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
      tokens.slice(offset).forEach((token, index) => {
        writeLine(response, {kind: 'token', offset: offset + index, token});
      });
      if (generation.hasEnded) {
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
