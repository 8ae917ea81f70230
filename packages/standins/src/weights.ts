/** Stand-in for the weight store, including its rate limit. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {
  NOT_FOUND,
  commonFaults,
  json,
  startStandIn,
  type Reply,
  type StandIn,
  type StandInOptions,
  type StandInRequest,
} from './server.js';

const SECOND_MS = 1_000;
/**
 * Loads that wait longer than this for the rate limit count as throttled;
 * shorter waits are timer jitter.
 */
const THROTTLE_TOLERANCE_MS = 50;
/** Number of recent loads that the report lists individually. */
const MAX_RECENT_LOADS = 200;

/** Schema of the settings and faults of the weight store stand-in. */
export const weightsControl = z
  .strictObject({
    ...commonFaults,
    loadsPerSecond: z.number().positive(),
    /** Number of simultaneous loads that start without waiting for the rate limit. */
    burst: z.int().positive(),
    /** Duration of a load while at most `maxInFlight` loads are in flight. */
    loadMs: z.number().nonnegative(),
    /** With more loads in flight than this, each load takes proportionally longer. */
    maxInFlight: z.int().positive(),
    /** Factor by which each load takes longer. */
    slow: z.number().positive(),
    /** Whether every load fails with 503. */
    fail: z.boolean(),
  })
  .partial();

type Control = z.infer<typeof weightsControl>;

/** Limits of the weight store; see {@link weightsControl}. */
export interface WeightStoreLimits {
  readonly loadsPerSecond: number;
  readonly burst: number;
  readonly loadMs: number;
  readonly maxInFlight: number;
}

/** A token taken from the token bucket that limits the rate of loads. */
export interface RateLimitToken {
  /** Time until the token is available. */
  readonly waitMs: number;
  /** Time at which the bucket is full again. */
  readonly fullAtMs: number;
}

/** Takes a token from the bucket, which would otherwise be full again at `fullAtMs`. */
export function takeToken(
  limits: WeightStoreLimits,
  fullAtMs: number,
  nowMs: number,
): RateLimitToken {
  const refillMs = SECOND_MS / limits.loadsPerSecond;
  const waitMs = fullAtMs - (limits.burst - 1) * refillMs - nowMs;
  return {
    waitMs: Math.max(0, waitMs),
    fullAtMs: Math.max(fullAtMs, nowMs) + refillMs,
  };
}

/** Returns the duration of a load that raises the number of loads in flight to `inFlight`. */
export function loadDurationMs(
  limits: WeightStoreLimits,
  inFlight: number,
): number {
  return limits.loadMs * Math.max(1, inFlight / limits.maxInFlight);
}

/** Starts a weight store stand-in. */
export function startWeights(
  options: StandInOptions<Control> = {},
): Promise<StandIn> {
  const settings = {
    loadsPerSecond: 3,
    burst: 2,
    loadMs: 250,
    maxInFlight: 16,
    slow: 1,
    fail: false,
  };
  const counters = {
    loads: 0,
    failed: 0,
    /** Loads that waited because requests exceeded the rate limit. */
    throttled: 0,
    peakInFlight: 0,
    /** Largest number of loads requested within one second. */
    peakPerSecond: 0,
  };
  /** Number of loads by ADAPTER@VERSION. */
  const loadCounts = new Map<string, number>();
  /** The most recent loads; `atMs` is the time of the request, counted from the start of the process. */
  const recent: Array<{
    readonly atMs: number;
    readonly waitMs: number;
    readonly adapter: string;
  }> = [];
  let inFlight = 0;
  let arrivalTimesMs: readonly number[] = [];
  /** Time at which the bucket is full again. */
  let fullAtMs = 0;

  function recordArrival(nowMs: number): void {
    arrivalTimesMs = [
      ...arrivalTimesMs.filter(atMs => atMs > nowMs - SECOND_MS),
      nowMs,
    ];
    counters.peakPerSecond = Math.max(
      counters.peakPerSecond,
      arrivalTimesMs.length,
    );
    inFlight += 1;
    counters.peakInFlight = Math.max(counters.peakInFlight, inFlight);
  }

  async function load(request: StandInRequest): Promise<Reply> {
    const [, resource, adapter, version] = request.path;
    if (
      resource !== 'weights' ||
      adapter === undefined ||
      version === undefined
    ) {
      return NOT_FOUND;
    }
    const nowMs = performance.now();
    recordArrival(nowMs);
    const token = takeToken(settings, fullAtMs, nowMs);
    fullAtMs = token.fullAtMs;
    recent.push({atMs: nowMs, waitMs: token.waitMs, adapter});
    if (recent.length > MAX_RECENT_LOADS) recent.shift();
    if (token.waitMs > THROTTLE_TOLERANCE_MS) counters.throttled += 1;
    await sleep(
      token.waitMs + loadDurationMs(settings, inFlight) * settings.slow,
    );
    inFlight -= 1;
    if (settings.fail) {
      counters.failed += 1;
      return json(503, {error: 'store_failed'});
    }
    counters.loads += 1;
    const key = `${adapter}@${version}`;
    loadCounts.set(key, (loadCounts.get(key) ?? 0) + 1);
    return json(200, {adapter, version});
  }

  return startStandIn(
    {
      control: weightsControl,
      apply: control => Object.assign(settings, control),
      report: () => ({
        ...settings,
        inFlight,
        counters,
        recent,
        byAdapter: Object.fromEntries(loadCounts),
      }),
      handle: load,
    },
    options,
  );
}
