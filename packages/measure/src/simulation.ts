/** One policy under one trace, on virtual time. */
import {build, type Histogram} from 'hdr-histogram-js';
import {Engine, WeightStore} from './engine.js';
import {Entry} from './entry.js';
import {Events} from './events.js';
import {BucketLimiter, ShareLimiter, type Limiter} from './limiter.js';
import type {Policy} from './policies.js';
import {Target} from './target.js';
import type {Deployment, Request} from './trace.js';

/** Faults that are set while a trace runs. */
export type Fault = 'none' | 'restart' | 'store-slow';

/** Times and faults of one run. */
export interface RunOptions {
  /** Start of the measured time, after the warm-up. */
  readonly fromMs: number;
  readonly endMs: number;
  readonly fault: Fault;
  readonly faultAtMs: number;
}

/** Time and factor of a slow weight store. */
const STORE_SLOW = {forMs: 60_000, factor: 4} as const;

/** Time of the first token after the start in the engine. */
const FIRST_TOKEN_MS = 10;

/** Counts of one run, within the measured time. */
export interface Run {
  readonly requests: number;
  readonly stalls: number;
  readonly inTime: number;
  readonly refused: Readonly<Record<string, number>>;
  readonly firstToken: Histogram;
  readonly stallWait: Histogram;
  readonly batchEfficiency: number;
  /** Starts of loads in the whole run, in order. */
  readonly loadStarts: readonly number[];
  readonly loads: number;
  /** Tokens served by the busiest target against the mean. */
  readonly busiest: number;
  /** Requests and stalls by second of the whole run. */
  readonly seconds: ReadonlyArray<{requests: number; stalls: number}>;
}

class Records {
  requests = 0;
  stalls = 0;
  inTime = 0;
  readonly refusedBy: Record<string, number> = {};
  readonly firstToken = build({highestTrackableValue: 3_600_000});
  readonly stallWait = build({highestTrackableValue: 3_600_000});
  readonly tokens: number[];
  readonly seconds: Array<{requests: number; stalls: number}> = [];

  constructor(
    private readonly events: Events,
    private readonly deployment: Deployment,
    private readonly fromMs: number,
  ) {
    this.tokens = Array.from({length: deployment.targets}, () => 0);
  }

  arrived(request: Request): void {
    this.second(request).requests += 1;
    if (request.atMs >= this.fromMs) this.requests += 1;
  }

  started(request: Request, stalled: boolean): void {
    const waitMs = Math.ceil(this.events.nowMs - request.atMs + FIRST_TOKEN_MS);
    if (stalled) this.stalled(request);
    if (request.atMs < this.fromMs) return;
    this.firstToken.recordValue(waitMs);
    if (stalled) this.stallWait.recordValue(waitMs);
  }

  ended(request: Request, target: number): void {
    if (request.atMs < this.fromMs) return;
    this.tokens[target] = (this.tokens[target] ?? 0) + request.tokens;
    const takenMs = this.events.nowMs - request.atMs;
    if (takenMs <= this.deployment.budgetMs) this.inTime += 1;
  }

  refused(request: Request, reason: string, stalled: boolean): void {
    if (stalled) this.stalled(request);
    if (request.atMs < this.fromMs) return;
    this.refusedBy[reason] = (this.refusedBy[reason] ?? 0) + 1;
  }

  private stalled(request: Request): void {
    this.second(request).stalls += 1;
    if (request.atMs >= this.fromMs) this.stalls += 1;
  }

  private second({atMs}: Request): {requests: number; stalls: number} {
    const second = Math.floor(atMs / 1_000);
    return (this.seconds[second] ??= {requests: 0, stalls: 0});
  }
}

/** Runs a trace under a policy. */
export function simulate(
  deployment: Deployment,
  policy: Policy,
  trace: readonly Request[],
  options: RunOptions,
): Run {
  const events = new Events();
  const store = new WeightStore(events);
  const engines = Array.from(
    {length: deployment.targets},
    () => new Engine(events),
  );
  const targets: readonly Target[] = engines.map(
    (engine, index) =>
      new Target(index, {
        events,
        engine,
        store,
        limiter: () => limiter,
        policy,
        deployment,
      }),
  );
  const limiter: Limiter = policy.isOwn
    ? new ShareLimiter(events, targets)
    : new BucketLimiter(events);
  const records = new Records(events, deployment, options.fromMs);
  const entries = Array.from(
    {length: deployment.entries},
    () => new Entry(events, targets, policy, deployment, records),
  );
  for (const request of trace) {
    events.at(request.atMs, () => {
      records.arrived(request);
      entries[request.entry]?.serve(request);
    });
  }
  setFault(options, events, targets, store);
  events.runUntil(options.fromMs);
  const before = engines.map(({fillMs, busyMs}) => ({fillMs, busyMs}));
  // Requests at the end of the trace still get their answers.
  events.runUntil(options.endMs + deployment.budgetMs);
  const sum = (values: readonly number[]) => values.reduce((a, b) => a + b, 0);
  const fillMs = sum(
    engines.map((e, i) => e.fillMs - (before[i]?.fillMs ?? 0)),
  );
  const busyMs = sum(
    engines.map((e, i) => e.busyMs - (before[i]?.busyMs ?? 0)),
  );
  const starts = store.starts;
  return {
    ...records,
    refused: records.refusedBy,
    batchEfficiency: fillMs / busyMs / deployment.batchSize,
    loadStarts: starts,
    loads: starts.filter(atMs => atMs >= options.fromMs).length,
    busiest:
      (Math.max(...records.tokens) * records.tokens.length) /
      sum(records.tokens),
    requests: records.requests,
    stalls: records.stalls,
    inTime: records.inTime,
    seconds: records.seconds,
  };
}

function setFault(
  {fault, faultAtMs}: RunOptions,
  events: Events,
  targets: readonly Target[],
  store: WeightStore,
): void {
  if (fault === 'restart') {
    const half = targets.slice(0, targets.length / 2);
    events.at(faultAtMs, () => half.forEach(target => target.restart()));
  }
  if (fault === 'store-slow') {
    events.at(faultAtMs, () => (store.slowness = STORE_SLOW.factor));
    events.at(faultAtMs + STORE_SLOW.forMs, () => (store.slowness = 1));
  }
}
