/** Fake engine and fake weight store on virtual time. */
import type {Events} from './events.js';

const TOKEN_MS = 10;

/** Growth of the time of a token with each further request in the batch. */
const TOKEN_GROWTH = 0.03;

const LOAD_MS = 250;
const FULL_SPEED_LOADS = 16;

interface Generation {
  readonly endWork: number;
  readonly done: () => void;
}

/** Continuous batching: all requests in the batch advance at the same rate. */
export class Engine {
  /** Sum of active requests over time, and time with any, in milliseconds. */
  fillMs = 0;
  busyMs = 0;
  private running: Generation[] = [];
  /** Tokens that a request present from the start would have. */
  private work = 0;
  private atMs = 0;
  private epoch = 0;

  constructor(private readonly events: Events) {}

  get active(): number {
    return this.running.length;
  }

  start(tokens: number, done: () => void): void {
    this.advance();
    this.running.push({endWork: this.work + tokens, done});
    this.schedule();
  }

  /** Drops all requests, as a restart does. */
  restart(): void {
    this.advance();
    this.running = [];
    this.epoch += 1;
  }

  private tokenMs(): number {
    return TOKEN_MS * (1 + TOKEN_GROWTH * (this.running.length - 1));
  }

  private advance(): void {
    const elapsedMs = this.events.nowMs - this.atMs;
    this.atMs = this.events.nowMs;
    if (this.running.length === 0) return;
    this.fillMs += elapsedMs * this.running.length;
    this.busyMs += elapsedMs;
    this.work += elapsedMs / this.tokenMs();
  }

  private schedule(): void {
    const epoch = ++this.epoch;
    if (this.running.length === 0) return;
    const next = Math.min(...this.running.map(({endWork}) => endWork));
    const delayMs = Math.max(0, next - this.work) * this.tokenMs();
    this.events.after(delayMs, () => {
      if (epoch === this.epoch) this.finish();
    });
  }

  private finish(): void {
    this.advance();
    const isDone = ({endWork}: Generation) => endWork <= this.work + 1e-6;
    const done = this.running.filter(isDone);
    this.running = this.running.filter(generation => !isDone(generation));
    this.schedule();
    for (const generation of done) generation.done();
  }
}

/** Fetches weights; a fetch takes longer above 16 in flight. */
export class WeightStore {
  /** Starts of all fetches. */
  readonly starts: number[] = [];
  slowness = 1;
  private inFlight = 0;

  constructor(private readonly events: Events) {}

  fetch(done: () => void): void {
    this.starts.push(this.events.nowMs);
    this.inFlight += 1;
    const crowd = Math.max(1, this.inFlight / FULL_SPEED_LOADS);
    this.events.after(LOAD_MS * crowd * this.slowness, () => {
      this.inFlight -= 1;
      done();
    });
  }
}
