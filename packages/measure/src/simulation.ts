/** Simulates one policy with one trace in virtual time. */
import {build, type Histogram} from 'hdr-histogram-js';
import {Engine, WeightStore} from './engine.js';
import {Entry} from './entry.js';
import {EventQueue} from './events.js';
import {BucketLimiter, ShareLimiter, type Limiter} from './limiter.js';
import type {Policy} from './policies.js';
import {Target} from './target.js';
import type {Deployment, Request} from './trace.js';

/**
 * Fault during a run: `restart` restarts the first half of the targets,
 * `store-slow` slows the weight store down.
 */
export type Fault = 'none' | 'restart' | 'store-slow';

/** Times and fault of one run, in virtual time. */
export interface RunOptions {
  /** Start of the measured period, after the warm-up. */
  readonly measuredFromMs: number;
  /** End of the trace. */
  readonly endMs: number;
  readonly fault: Fault;
  readonly faultAtMs: number;
}

/** Duration of the fault `store-slow`, and the factor by which fetches take longer. */
const STORE_SLOWDOWN = {durationMs: 60_000, factor: 4} as const;

/** Time from the start in the engine to the first token. */
const FIRST_TOKEN_DELAY_MS = 10;

/**
 * Results of one run. Except where noted, they cover the requests that arrive in
 * the measured period.
 */
export interface RunResult {
  readonly requests: number;
  /** Requests that waited for a load. */
  readonly stalls: number;
  /** Requests that were answered in full before their deadline. */
  readonly answeredInTime: number;
  readonly refusedByReason: Readonly<Record<string, number>>;
  /** Time from arrival to the first token. */
  readonly firstTokenMs: Histogram;
  /** The same time, only for requests that waited for a load. */
  readonly stallWaitMs: Histogram;
  /** Mean fraction of the batch in use while an engine runs. */
  readonly batchEfficiency: number;
  /** Start times of all loads of the whole run, in order. */
  readonly loadStartsMs: readonly number[];
  /** Loads that started in the measured period or after it. */
  readonly measuredLoads: number;
  /** Tokens served by the busiest target, relative to the mean over targets. */
  readonly busiestTargetRatio: number;
  /** Requests and stalls of the whole run, by the second of arrival. */
  readonly countsBySecond: ReadonlyArray<{requests: number; stalls: number}>;
}

/** Collects the results of one run. */
class RunRecorder {
  requests = 0;
  stalls = 0;
  answeredInTime = 0;
  readonly refusedByReason: Record<string, number> = {};
  readonly firstTokenMs = build({highestTrackableValue: 3_600_000});
  readonly stallWaitMs = build({highestTrackableValue: 3_600_000});
  readonly tokensByTarget: number[];
  readonly countsBySecond: Array<{requests: number; stalls: number}> = [];

  constructor(
    private readonly events: EventQueue,
    private readonly deployment: Deployment,
    private readonly measuredFromMs: number,
  ) {
    this.tokensByTarget = Array.from({length: deployment.targetCount}, () => 0);
  }

  recordArrival(request: Request): void {
    this.countsOfSecond(request).requests += 1;
    if (request.arrivalMs >= this.measuredFromMs) this.requests += 1;
  }

  recordStart(request: Request, hasStalled: boolean): void {
    const waitMs = Math.ceil(
      this.events.nowMs - request.arrivalMs + FIRST_TOKEN_DELAY_MS,
    );
    if (hasStalled) this.recordStall(request);
    if (request.arrivalMs < this.measuredFromMs) return;
    this.firstTokenMs.recordValue(waitMs);
    if (hasStalled) this.stallWaitMs.recordValue(waitMs);
  }

  recordEnd(request: Request, target: number): void {
    if (request.arrivalMs < this.measuredFromMs) return;
    this.tokensByTarget[target] =
      (this.tokensByTarget[target] ?? 0) + request.tokens;
    const elapsedMs = this.events.nowMs - request.arrivalMs;
    if (elapsedMs <= this.deployment.budgetMs) this.answeredInTime += 1;
  }

  recordRefusal(request: Request, reason: string, hasStalled: boolean): void {
    if (hasStalled) this.recordStall(request);
    if (request.arrivalMs < this.measuredFromMs) return;
    this.refusedByReason[reason] = (this.refusedByReason[reason] ?? 0) + 1;
  }

  private recordStall(request: Request): void {
    this.countsOfSecond(request).stalls += 1;
    if (request.arrivalMs >= this.measuredFromMs) this.stalls += 1;
  }

  private countsOfSecond({arrivalMs}: Request): {
    requests: number;
    stalls: number;
  } {
    const second = Math.floor(arrivalMs / 1_000);
    return (this.countsBySecond[second] ??= {requests: 0, stalls: 0});
  }
}

/** Runs a trace with a policy. */
export function simulate(
  deployment: Deployment,
  policy: Policy,
  trace: readonly Request[],
  options: RunOptions,
): RunResult {
  const events = new EventQueue();
  const store = new WeightStore(events);
  const engines = Array.from(
    {length: deployment.targetCount},
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
  const limiter: Limiter = policy.isBalsamnotch
    ? new ShareLimiter(events, targets)
    : new BucketLimiter(events);
  const recorder = new RunRecorder(events, deployment, options.measuredFromMs);
  const entries = Array.from(
    {length: deployment.entryCount},
    () => new Entry(events, targets, policy, deployment, recorder),
  );
  for (const request of trace) {
    events.at(request.arrivalMs, () => {
      recorder.recordArrival(request);
      entries[request.entry]?.serve(request);
    });
  }
  scheduleFault(options, events, targets, store);
  events.runUntil(options.measuredFromMs);
  const warmUpTotals = engines.map(({activeRequestMs, busyMs}) => ({
    activeRequestMs,
    busyMs,
  }));
  // Runs on after the trace, so that its last requests reach their answer or deadline.
  events.runUntil(options.endMs + deployment.budgetMs);
  const sum = (values: readonly number[]) => values.reduce((a, b) => a + b, 0);
  const activeRequestMs = sum(
    engines.map(
      (e, i) => e.activeRequestMs - (warmUpTotals[i]?.activeRequestMs ?? 0),
    ),
  );
  const busyMs = sum(
    engines.map((e, i) => e.busyMs - (warmUpTotals[i]?.busyMs ?? 0)),
  );
  const fetchStartsMs = store.fetchStartsMs;
  return {
    ...recorder,
    refusedByReason: recorder.refusedByReason,
    batchEfficiency: activeRequestMs / busyMs / deployment.batchSize,
    loadStartsMs: fetchStartsMs,
    measuredLoads: fetchStartsMs.filter(atMs => atMs >= options.measuredFromMs)
      .length,
    busiestTargetRatio:
      (Math.max(...recorder.tokensByTarget) * recorder.tokensByTarget.length) /
      sum(recorder.tokensByTarget),
    requests: recorder.requests,
    stalls: recorder.stalls,
    answeredInTime: recorder.answeredInTime,
    countsBySecond: recorder.countsBySecond,
  };
}

function scheduleFault(
  {fault, faultAtMs}: RunOptions,
  events: EventQueue,
  targets: readonly Target[],
  store: WeightStore,
): void {
  if (fault === 'restart') {
    const firstHalf = targets.slice(0, targets.length / 2);
    events.at(faultAtMs, () => firstHalf.forEach(target => target.restart()));
  }
  if (fault === 'store-slow') {
    events.at(faultAtMs, () => (store.slowdownFactor = STORE_SLOWDOWN.factor));
    events.at(
      faultAtMs + STORE_SLOWDOWN.durationMs,
      () => (store.slowdownFactor = 1),
    );
  }
}
