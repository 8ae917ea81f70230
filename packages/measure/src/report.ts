/** Computes the figures of runs, and measures one deployment with all policies. */
import {BASELINES, POLICIES, type Policy} from './policies.js';
import {
  simulate,
  type Fault,
  type RunResult,
  type RunOptions,
} from './simulation.js';
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
  /** Exponent of the Zipf distribution of popularity. */
  readonly zipfExponent: number;
  /** Offered load; by default, the load at which the best baseline answers 95% in time. */
  readonly requestsPerSecond?: number;
  /** Whether to also measure the answers in time at 0.5 to 2 times the offered load. */
  readonly overload?: boolean;
}

/** Figures of one policy. */
export interface PolicyFigures {
  readonly requests: number;
  /** Fraction of requests that waited for a load. */
  readonly loadStalls: number;
  readonly loads: number;
  /** Mean fraction of the batch in use while an engine runs. */
  readonly batchEfficiency: number;
  readonly firstTokenMs: {p50: number; p95: number; p99: number};
  readonly stallWaitP95Ms: number;
  /** Fraction of requests that were answered before their deadline. */
  readonly servedInTime: number;
  /** Number of refused requests by reason. */
  readonly refused: Readonly<Record<string, number>>;
  /** Most loads that started within one second of the run. */
  readonly peakLoadsPerSecond: number;
  /** Largest excess of loads over `loadsPerSecond * W` in any window of W seconds. */
  readonly largestBurst: number;
  /** Tokens served by the busiest target, relative to the mean over targets. */
  readonly busiestTarget: number;
  /**
   * Time from the fault or shift until the share of stalls is back near its
   * earlier level. Absent without a fault or shift, or if that does not happen.
   */
  readonly recoverySeconds?: number;
}

/** Figures of one deployment and seed. */
export interface Measurement {
  readonly deployment: string;
  readonly seed: number;
  readonly requestsPerSecond: number;
  /** Lower bound on the loads; see {@link floorLoads}. */
  readonly floorLoads: number;
  readonly policies: Readonly<Record<string, PolicyFigures>>;
  /** Answers in time per second, by multiple of the offered load. */
  readonly usefulPerSecond: Readonly<Record<string, number>>;
}

/** Times of a run. A shift or fault begins at `CHANGE_AT_MS`. */
const WARM_UP_MS = 600_000;
const CHANGE_AT_MS = 1_200_000;
const END_MS = 1_800_000;

/** Times of the runs that search for the offered load. */
const CALIBRATION = {measuredFromMs: 200_000, endMs: 700_000} as const;

/** Fraction of requests that a baseline must answer in time at the offered load. */
const MIN_IN_TIME_SHARE = 0.95;

/** Resolution and bounds of the search for the offered load, in requests per second. */
const RATE_RESOLUTION = 0.1;
const MIN_REQUESTS_PER_SECOND = 3;
const MAX_REQUESTS_PER_SECOND = 12;

/** Multiples of the offered load at which the answers in time are measured. */
const LOAD_FACTORS = [0.5, 1, 1.5, 2];

/** Length of the window whose share of stalls is compared with the steady share, in seconds. */
const RECOVERY_WINDOW_S = 30;

/** Multiple of the steady share of stalls at or below which a window counts as recovered. */
const RECOVERY_FACTOR = 1.1;

function peakLoadsPerSecond(startsMs: readonly number[]): number {
  let windowStart = 0;
  let peak = 0;
  startsMs.forEach((atMs, i) => {
    while ((startsMs[windowStart] ?? atMs) <= atMs - 1_000) windowStart += 1;
    peak = Math.max(peak, i - windowStart + 1);
  });
  return peak;
}

function largestBurst(startsMs: readonly number[]): number {
  let negatedMinExcess = -Infinity;
  let largest = 0;
  startsMs.forEach((atMs, i) => {
    const excess = i - (3 * atMs) / 1_000;
    negatedMinExcess = Math.max(negatedMinExcess, -excess);
    largest = Math.max(largest, excess + negatedMinExcess + 1);
  });
  return largest;
}

function stallShare(run: RunResult, fromS: number, toS: number): number {
  const seconds = run.countsBySecond.slice(fromS, toS);
  const requests = seconds.reduce(
    (sum, each) => sum + (each?.requests ?? 0),
    0,
  );
  const stalls = seconds.reduce((sum, each) => sum + (each?.stalls ?? 0), 0);
  return stalls / Math.max(1, requests);
}

/** Seconds from the change to the first window with at most 1.1 times the steady share of stalls. */
function recoverySeconds(run: RunResult): number | undefined {
  const changeS = CHANGE_AT_MS / 1_000;
  const steadyShare = stallShare(run, WARM_UP_MS / 1_000, changeS);
  const lastS = END_MS / 1_000 - RECOVERY_WINDOW_S;
  for (let s = changeS; s <= lastS; s++) {
    const share = stallShare(run, s, s + RECOVERY_WINDOW_S);
    if (share <= RECOVERY_FACTOR * steadyShare) return s - changeS;
  }
  return undefined;
}

/** Computes the figures of a run; `hasChange` tells whether it had a fault or shift. */
export function figures(run: RunResult, hasChange: boolean): PolicyFigures {
  const percentile = (percent: number) =>
    run.firstTokenMs.getValueAtPercentile(percent);
  return {
    requests: run.requests,
    loadStalls: run.stalls / run.requests,
    loads: run.measuredLoads,
    batchEfficiency: run.batchEfficiency,
    firstTokenMs: {
      p50: percentile(50),
      p95: percentile(95),
      p99: percentile(99),
    },
    stallWaitP95Ms: run.stallWaitMs.getValueAtPercentile(95),
    servedInTime: run.answeredInTime / run.requests,
    refused: run.refusedByReason,
    peakLoadsPerSecond: peakLoadsPerSecond(run.loadStartsMs),
    largestBurst: largestBurst(run.loadStartsMs),
    busiestTarget: run.busiestTargetRatio,
    recoverySeconds: hasChange ? recoverySeconds(run) : undefined,
  };
}

function steadyTrace(
  deployment: Deployment,
  {seed, zipfExponent}: MeasureOptions,
  requestsPerSecond: number,
  endMs: number,
): readonly Request[] {
  const shift = {shift: 'none', shiftAtMs: 0} as const;
  return requestTrace(deployment, {
    seed,
    zipfExponent,
    requestsPerSecond,
    endMs,
    ...shift,
  });
}

/** Searches for the load at which the best baseline answers 95% of the requests in time. */
function offeredLoad(deployment: Deployment, options: MeasureOptions): number {
  const runOptions: RunOptions = {...CALIBRATION, fault: 'none', faultAtMs: 0};
  const servesInTime = (policy: Policy, rate: number) => {
    const trace = steadyTrace(deployment, options, rate, runOptions.endMs);
    const {answeredInTime, requests} = simulate(
      deployment,
      policy,
      trace,
      runOptions,
    );
    return answeredInTime >= MIN_IN_TIME_SHARE * requests;
  };
  return BASELINES.reduce((bestRate, policy) => {
    if (!servesInTime(policy, bestRate + RATE_RESOLUTION)) return bestRate;
    let lowRate = bestRate;
    let highRate = MAX_REQUESTS_PER_SECOND;
    while (highRate - lowRate > RATE_RESOLUTION) {
      const rate = (lowRate + highRate) / 2;
      if (servesInTime(policy, rate)) lowRate = rate;
      else highRate = rate;
    }
    return lowRate;
  }, MIN_REQUESTS_PER_SECOND);
}

/** Measures the answers in time per second of balsamnotch, at each multiple of `rate`. */
export function usefulPerSecond(
  deployment: Deployment,
  options: MeasureOptions,
  rate: number,
): Readonly<Record<string, number>> {
  const runOptions: RunOptions = {...CALIBRATION, fault: 'none', faultAtMs: 0};
  const seconds = (runOptions.endMs - runOptions.measuredFromMs) / 1_000;
  const answersPerSecond = LOAD_FACTORS.map(factor => {
    const trace = steadyTrace(
      deployment,
      options,
      rate * factor,
      runOptions.endMs,
    );
    const policy = POLICIES[0];
    if (policy === undefined) return [`${factor}`, 0];
    const {answeredInTime} = simulate(deployment, policy, trace, runOptions);
    return [`${factor}`, answeredInTime / seconds];
  });
  return Object.fromEntries(answersPerSecond);
}

/** Measures all policies with the same trace; calibrates the offered load if none is given. */
export function measure(
  deployment: Deployment,
  options: MeasureOptions,
): Measurement {
  const {seed, shift, fault, zipfExponent} = options;
  const requestsPerSecond =
    options.requestsPerSecond ?? offeredLoad(deployment, options);
  const trace = requestTrace(deployment, {
    seed,
    zipfExponent,
    requestsPerSecond,
    shift,
    shiftAtMs: CHANGE_AT_MS,
    endMs: END_MS,
  });
  const runOptions = {
    measuredFromMs: WARM_UP_MS,
    endMs: END_MS,
    fault,
    faultAtMs: CHANGE_AT_MS,
  };
  const hasChange = shift !== 'none' || fault !== 'none';
  const policies = POLICIES.map(policy => [
    policy.name,
    figures(simulate(deployment, policy, trace, runOptions), hasChange),
  ]);
  const slots = deployment.targetCount * deployment.slotsPerTarget;
  return {
    deployment: deployment.name,
    seed,
    requestsPerSecond,
    floorLoads: floorLoads(trace, slots, runOptions.measuredFromMs),
    policies: Object.fromEntries(policies),
    usefulPerSecond: options.overload
      ? usefulPerSecond(deployment, options, requestsPerSecond)
      : {},
  };
}
