/** Figures of a run, and the measurement of one deployment over all policies. */
import {BASELINES, POLICIES, type Policy} from './policies.js';
import {simulate, type Fault, type Run, type RunOptions} from './simulation.js';
import {
  floorLoads,
  requestTrace,
  type Deployment,
  type Request,
  type Shift,
} from './trace.js';

/** Options of {@link measure}. */
export interface MeasureOptions {
  readonly seed: number;
  readonly shift: Shift;
  readonly fault: Fault;
  readonly zipf: number;
  /** Offered load; when absent, the load at which the best baseline serves 95 in 100 in time. */
  readonly requestsPerSecond?: number;
  /** Also measures the useful answers at 0.5 to 2 times the offered load. */
  readonly overload?: boolean;
}

/** Figures of one policy. */
export interface PolicyFigures {
  readonly requests: number;
  /** Share of requests that waited on a fetch. */
  readonly loadStalls: number;
  readonly loads: number;
  /** Mean fill of batches while an engine runs. */
  readonly batchEfficiency: number;
  readonly firstTokenMs: {p50: number; p95: number; p99: number};
  readonly stallWaitP95Ms: number;
  readonly servedInTime: number;
  readonly refused: Readonly<Record<string, number>>;
  readonly peakLoadsPerSecond: number;
  /** Most loads above `loadsPerSecond * W` in any window of W seconds. */
  readonly largestBurst: number;
  readonly busiestTarget: number;
  /** Absent without a fault or shift, or when the level was not reached. */
  readonly recoverySeconds?: number;
}

/** Figures of one deployment and seed. */
export interface Measurement {
  readonly deployment: string;
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly floorLoads: number;
  readonly policies: Readonly<Record<string, PolicyFigures>>;
  /** Answers within their deadline a second, by multiple of the offered load. */
  readonly usefulPerSecond: Readonly<Record<string, number>>;
}

const WARM_UP_MS = 600_000;
const CHANGE_AT_MS = 1_200_000;
const END_MS = 1_800_000;

/** Run from which the offered load is found. */
const CALIBRATION = {fromMs: 200_000, endMs: 700_000} as const;
const SERVED_SHARE = 0.95;
const RATE_STEP = 0.1;
const LEAST_REQUESTS_PER_SECOND = 3;
const MOST_REQUESTS_PER_SECOND = 12;
const LOAD_FACTORS = [0.5, 1, 1.5, 2];

/** Length of the window whose stall share is compared with the steady level, in seconds. */
const RECOVERY_WINDOW_S = 30;
const RECOVERED = 1.1;

function peakLoadsPerSecond(starts: readonly number[]): number {
  let first = 0;
  let peak = 0;
  starts.forEach((atMs, i) => {
    while ((starts[first] ?? atMs) <= atMs - 1_000) first += 1;
    peak = Math.max(peak, i - first + 1);
  });
  return peak;
}

function largestBurst(starts: readonly number[]): number {
  let earliest = -Infinity;
  let largest = 0;
  starts.forEach((atMs, i) => {
    const level = i - (3 * atMs) / 1_000;
    earliest = Math.max(earliest, -level);
    largest = Math.max(largest, level + earliest + 1);
  });
  return largest;
}

function stallShare(run: Run, fromS: number, toS: number): number {
  const seconds = run.seconds.slice(fromS, toS);
  const requests = seconds.reduce(
    (sum, each) => sum + (each?.requests ?? 0),
    0,
  );
  const stalls = seconds.reduce((sum, each) => sum + (each?.stalls ?? 0), 0);
  return stalls / Math.max(1, requests);
}

/** Seconds from the change until the next window is at most 1.1 times the steady level. */
function recoverySeconds(run: Run): number | undefined {
  const changeS = CHANGE_AT_MS / 1_000;
  const steady = stallShare(run, WARM_UP_MS / 1_000, changeS);
  const lastS = END_MS / 1_000 - RECOVERY_WINDOW_S;
  for (let s = changeS; s <= lastS; s++) {
    const share = stallShare(run, s, s + RECOVERY_WINDOW_S);
    if (share <= RECOVERED * steady) return s - changeS;
  }
  return undefined;
}

export function figures(run: Run, hasChange: boolean): PolicyFigures {
  const at = (part: number) => run.firstToken.getValueAtPercentile(part);
  return {
    requests: run.requests,
    loadStalls: run.stalls / run.requests,
    loads: run.loads,
    batchEfficiency: run.batchEfficiency,
    firstTokenMs: {p50: at(50), p95: at(95), p99: at(99)},
    stallWaitP95Ms: run.stallWait.getValueAtPercentile(95),
    servedInTime: run.inTime / run.requests,
    refused: run.refused,
    peakLoadsPerSecond: peakLoadsPerSecond(run.loadStarts),
    largestBurst: largestBurst(run.loadStarts),
    busiestTarget: run.busiest,
    recoverySeconds: hasChange ? recoverySeconds(run) : undefined,
  };
}

function steadyTrace(
  deployment: Deployment,
  {seed, zipf}: MeasureOptions,
  requestsPerSecond: number,
  endMs: number,
): readonly Request[] {
  const shift = {shift: 'none', shiftAtMs: 0} as const;
  return requestTrace(deployment, {
    seed,
    zipf,
    requestsPerSecond,
    endMs,
    ...shift,
  });
}

/** Offered load at which the best baseline serves 95 in 100 within their deadline. */
function offeredLoad(deployment: Deployment, options: MeasureOptions): number {
  const run: RunOptions = {...CALIBRATION, fault: 'none', faultAtMs: 0};
  const serves = (policy: Policy, rate: number) => {
    const trace = steadyTrace(deployment, options, rate, run.endMs);
    const {inTime, requests} = simulate(deployment, policy, trace, run);
    return inTime >= SERVED_SHARE * requests;
  };
  return BASELINES.reduce((best, policy) => {
    if (!serves(policy, best + RATE_STEP)) return best;
    let low = best;
    let high = MOST_REQUESTS_PER_SECOND;
    while (high - low > RATE_STEP) {
      const rate = (low + high) / 2;
      if (serves(policy, rate)) low = rate;
      else high = rate;
    }
    return low;
  }, LEAST_REQUESTS_PER_SECOND);
}

/** Answers within their deadline a second of the chosen policy under more and more load. */
export function usefulPerSecond(
  deployment: Deployment,
  options: MeasureOptions,
  rate: number,
): Readonly<Record<string, number>> {
  const run: RunOptions = {...CALIBRATION, fault: 'none', faultAtMs: 0};
  const seconds = (run.endMs - run.fromMs) / 1_000;
  const useful = LOAD_FACTORS.map(factor => {
    const trace = steadyTrace(deployment, options, rate * factor, run.endMs);
    const policy = POLICIES[0];
    if (policy === undefined) return [`${factor}`, 0];
    const {inTime} = simulate(deployment, policy, trace, run);
    return [`${factor}`, inTime / seconds];
  });
  return Object.fromEntries(useful);
}

/** Measures all policies with the same trace. */
export function measure(
  deployment: Deployment,
  options: MeasureOptions,
): Measurement {
  const {seed, shift, fault, zipf} = options;
  const requestsPerSecond =
    options.requestsPerSecond ?? offeredLoad(deployment, options);
  const trace = requestTrace(deployment, {
    seed,
    zipf,
    requestsPerSecond,
    shift,
    shiftAtMs: CHANGE_AT_MS,
    endMs: END_MS,
  });
  const run = {
    fromMs: WARM_UP_MS,
    endMs: END_MS,
    fault,
    faultAtMs: CHANGE_AT_MS,
  };
  const hasChange = shift !== 'none' || fault !== 'none';
  const policies = POLICIES.map(policy => [
    policy.name,
    figures(simulate(deployment, policy, trace, run), hasChange),
  ]);
  const slots = deployment.targets * deployment.slots;
  return {
    deployment: deployment.name,
    seed,
    requestsPerSecond,
    floorLoads: floorLoads(trace, slots, run.fromMs),
    policies: Object.fromEntries(policies),
    usefulPerSecond: options.overload
      ? usefulPerSecond(deployment, options, requestsPerSecond)
      : {},
  };
}
