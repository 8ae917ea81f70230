/** Simulated engine and weight store in virtual time. */
import type {EventQueue} from './events.js';

/** Time per token for a request that is alone in the batch. */
const TOKEN_MS = 10;

/** Fraction by which each further request in the batch lengthens the time per token. */
const TOKEN_MS_GROWTH = 0.03;

/** Time of one fetch from the weight store at full speed. */
const FETCH_MS = 250;

/** Concurrent fetches above which a new fetch takes longer. */
const MAX_FULL_SPEED_FETCHES = 16;

/** A request in the batch. */
interface Generation {
  /** Value of `processedTokens` at which the request ends. */
  readonly endTokens: number;
  readonly onDone: () => void;
}

/** Engine with continuous batching: all requests in the batch progress at the same rate. */
export class Engine {
  /** Integral of the number of active requests over time, in request-milliseconds. */
  activeRequestMs = 0;
  /** Time with at least one active request, in milliseconds. */
  busyMs = 0;
  private running: Generation[] = [];
  /** Tokens that a request active since the engine started would have generated. */
  private processedTokens = 0;
  private advancedAtMs = 0;
  /** Incremented whenever the batch changes, so that a completion scheduled earlier is ignored. */
  private scheduleVersion = 0;

  constructor(private readonly events: EventQueue) {}

  get active(): number {
    return this.running.length;
  }

  /** Adds a request to the batch; `onDone` is called after its last token. */
  start(tokens: number, onDone: () => void): void {
    this.advance();
    this.running.push({endTokens: this.processedTokens + tokens, onDone});
    this.schedule();
  }

  /** Drops all requests without calling `onDone`, as a restart does. */
  restart(): void {
    this.advance();
    this.running = [];
    this.scheduleVersion += 1;
  }

  private tokenMs(): number {
    return TOKEN_MS * (1 + TOKEN_MS_GROWTH * (this.running.length - 1));
  }

  private advance(): void {
    const elapsedMs = this.events.nowMs - this.advancedAtMs;
    this.advancedAtMs = this.events.nowMs;
    if (this.running.length === 0) return;
    this.activeRequestMs += elapsedMs * this.running.length;
    this.busyMs += elapsedMs;
    this.processedTokens += elapsedMs / this.tokenMs();
  }

  private schedule(): void {
    const scheduleVersion = ++this.scheduleVersion;
    if (this.running.length === 0) return;
    const firstEndTokens = Math.min(
      ...this.running.map(({endTokens}) => endTokens),
    );
    const delayMs =
      Math.max(0, firstEndTokens - this.processedTokens) * this.tokenMs();
    this.events.after(delayMs, () => {
      if (scheduleVersion === this.scheduleVersion) this.finish();
    });
  }

  private finish(): void {
    this.advance();
    const isDone = ({endTokens}: Generation) =>
      endTokens <= this.processedTokens + 1e-6;
    const finished = this.running.filter(isDone);
    this.running = this.running.filter(generation => !isDone(generation));
    this.schedule();
    for (const generation of finished) generation.onDone();
  }
}

/** Fetches weights. A fetch that brings more than 16 in flight takes proportionally longer. */
export class WeightStore {
  /** Start times of all fetches, in milliseconds. */
  readonly fetchStartsMs: number[] = [];
  /** Factor by which fetches that start now take longer; 1 is the usual speed. */
  slowdownFactor = 1;
  private inFlight = 0;

  constructor(private readonly events: EventQueue) {}

  fetch(onDone: () => void): void {
    this.fetchStartsMs.push(this.events.nowMs);
    this.inFlight += 1;
    const contention = Math.max(1, this.inFlight / MAX_FULL_SPEED_FETCHES);
    this.events.after(FETCH_MS * contention * this.slowdownFactor, () => {
      this.inFlight -= 1;
      onDone();
    });
  }
}
