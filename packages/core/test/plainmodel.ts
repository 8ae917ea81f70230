/**
 * A model of the plain servers of a deployment, with entries that choose for themselves. It plays
 * waves, clumps and an account at many times its rate, in simulated time.
 */
import {randomOf} from './random.js';

/** What an entry does with a request now. */
export type ModelDecision =
  {readonly server: number} | {readonly retryAfterMs: number};

/** A request as an entry sees it. */
export interface ModelRequest {
  readonly account: number;
  /** Whether the client has been refused before. */
  readonly isRepeat: boolean;
  readonly remainingMs: number;
}

/** End of a send to a server. */
export interface ModelEnd {
  readonly server: number;
  /** Time from the send to the answer, in milliseconds. */
  readonly latencyMs: number;
  readonly isRefused: boolean;
}

/** What one entry decides. */
export interface ModelEntry {
  readonly decide: (request: ModelRequest, nowMs: number) => ModelDecision;
  readonly ended: (end: ModelEnd, nowMs: number) => void;
}

/** Load and servers of a play. */
export interface ModelOptions {
  readonly seed: number;
  readonly entries: number;
  /** Speed of each server; 1 is the rated one. */
  readonly speeds: readonly number[];
  readonly slots: number;
  readonly queue: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly lengthMs: number;
  /** Mean requests per second at a time. */
  readonly rate: (atMs: number) => number;
  /** Share of the requests that account 0 sends at a time; the others have equal parts. */
  readonly hotShare: (atMs: number) => number;
  readonly accounts: number;
  readonly createEntry: (random: () => number) => ModelEntry;
}

/** What became of the requests of a play, in shares of them unless stated otherwise. */
export interface ModelResult {
  readonly asked: number;
  readonly inAim: number;
  readonly late: number;
  readonly unserved: number;
  /** In aim, plus 0.3 of the late ones. */
  readonly worth: number;
  /** As `worth`, of the accounts other than account 0. */
  readonly othersWorth: number;
  /** Sends per request. */
  readonly sends: number;
  /** Sends that servers refused, as a share of the sends. */
  readonly refusedByServers: number;
  /** Refusals by entries while the servers had half of their slots idle, per request. */
  readonly needlessRefusals: number;
  /** Median time to an answer since the client's first attempt, in milliseconds. */
  readonly medianMs: number;
}

interface Timed {
  readonly atMs: number;
  readonly run: () => void;
}

/** Queue of events by time. */
class Events {
  private readonly heap: Timed[] = [];

  add(atMs: number, run: () => void): void {
    const {heap} = this;
    heap.push({atMs, run});
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if ((heap[parent]?.atMs ?? 0) <= atMs) break;
      this.swap(index, parent);
      index = parent;
    }
  }

  next(): Timed | undefined {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) {
      return first;
    }
    heap[0] = last;
    let index = 0;
    for (;;) {
      const atMs = (at: number) => heap[at]?.atMs ?? Infinity;
      const left = 2 * index + 1;
      const child = atMs(left + 1) < atMs(left) ? left + 1 : left;
      if (atMs(child) >= atMs(index)) break;
      this.swap(index, child);
      index = child;
    }
    return first;
  }

  private swap(a: number, b: number): void {
    const {heap} = this;
    const item = heap[a];
    const other = heap[b];
    if (item === undefined || other === undefined) return;
    heap[a] = other;
    heap[b] = item;
  }
}

interface ServerState {
  readonly speed: number;
  running: number;
  readonly waiting: (() => void)[];
}

/** Time from a client to an entry, one way, in milliseconds. */
const CLIENT_MS = 3;

/** Time from an entry to a server, one way, at most, in milliseconds. */
const SERVER_MS = 2;

/** Plays a load and returns what became of it. */
export function playPlainModel(options: ModelOptions): ModelResult {
  const {seed, objectiveMs, deadlineMs, lengthMs, slots, queue} = options;
  const random = randomOf(seed);
  const events = new Events();
  let nowMs = 0;
  const after = (delayMs: number, run: () => void) =>
    events.add(nowMs + delayMs, run);
  const entries = Array.from({length: options.entries}, () =>
    options.createEntry(random),
  );
  const servers = options.speeds.map((speed): ServerState => ({
    speed,
    running: 0,
    waiting: [],
  }));
  const normal = () =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  /** Work of a request at rated speed: scatters by half, a hundredth takes five times as long. */
  const work = () =>
    options.workMs *
    Math.exp(0.47 * normal() - 0.11) *
    (random() < 0.01 ? 5 : 1);
  const worth = {all: 0, others: 0};
  const asked = {all: 0, others: 0};
  let inAim = 0;
  let late = 0;
  let sends = 0;
  let refused = 0;
  let needless = 0;
  const times: number[] = [];

  const serve = (server: ServerState, done: () => void) => {
    server.running += 1;
    after(work() / server.speed, () => {
      server.running -= 1;
      done();
      server.waiting.shift()?.();
    });
  };

  const attempt = (account: number, sentAtMs: number, isRepeat: boolean) => {
    const entry = entries[Math.floor(random() * entries.length)];
    if (entry === undefined) return;
    const refuse = (retryAfterMs: number) => {
      const leftMs = deadlineMs - (nowMs - sentAtMs);
      if (isRepeat) return;
      const delayMs = Math.min(retryAfterMs, leftMs / 3);
      after(2 * CLIENT_MS + delayMs, () => attempt(account, sentAtMs, true));
    };
    const remainingMs = deadlineMs - (nowMs - sentAtMs);
    const decision = entry.decide({account, isRepeat, remainingMs}, nowMs);
    if (!('server' in decision)) {
      const running = servers.reduce((sum, each) => sum + each.running, 0);
      const waiting = servers.some(each => each.waiting.length > 0);
      if (running < (servers.length * slots) / 2 && !waiting) needless += 1;
      refuse(decision.retryAfterMs);
      return;
    }
    const server = servers[decision.server];
    if (server === undefined) return;
    const atMs = nowMs;
    sends += 1;
    const end = (isRefused: boolean) =>
      after(random() * SERVER_MS, () => {
        const latencyMs = nowMs - atMs;
        entry.ended({server: decision.server, latencyMs, isRefused}, nowMs);
        if (isRefused) {
          refused += 1;
          refuse(300 + 700 * random());
          return;
        }
        const tookMs = nowMs - sentAtMs + CLIENT_MS;
        if (tookMs > deadlineMs) return;
        times.push(tookMs);
        const value = tookMs <= objectiveMs ? 1 : 0.3;
        if (value === 1) inAim += 1;
        else late += 1;
        worth.all += value;
        if (account > 0) worth.others += value;
      });
    after(random() * SERVER_MS, () => {
      if (server.running < slots) serve(server, () => end(false));
      else if (server.waiting.length >= queue) end(true);
      else {
        server.waiting.push(() => serve(server, () => end(false)));
      }
    });
  };

  const arrive = () => {
    const rate = options.rate(nowMs);
    // Clumps of two on the average.
    const clump = 1 + Math.floor(random() * 3);
    for (let n = 0; n < clump; n++) {
      const isHot = random() < options.hotShare(nowMs);
      const account = isHot
        ? 0
        : 1 + Math.floor(random() * (options.accounts - 1));
      asked.all += 1;
      if (account > 0) asked.others += 1;
      const sentAtMs = nowMs;
      after(CLIENT_MS, () => attempt(account, sentAtMs, false));
    }
    const gapMs = (-Math.log(1 - random()) * 2_000) / rate;
    if (nowMs + gapMs < lengthMs) after(gapMs, arrive);
  };
  arrive();
  for (let event = events.next(); event; event = events.next()) {
    nowMs = event.atMs;
    event.run();
  }
  times.sort((a, b) => a - b);
  const share = (count: number) => count / asked.all;
  return {
    asked: asked.all,
    inAim: share(inAim),
    late: share(late),
    unserved: 1 - share(inAim + late),
    worth: share(worth.all),
    othersWorth: worth.others / asked.others,
    sends: share(sends),
    refusedByServers: refused / Math.max(1, sends),
    needlessRefusals: share(needless),
    medianMs: times[Math.floor(times.length / 2)] ?? 0,
  };
}
