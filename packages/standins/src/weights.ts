/** Stand-in for the weight store with its rate limit. */
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
/** A load that waits longer than this for the rate limit counts as throttled; below it is timer jitter. */
const THROTTLE_TOLERANCE_MS = 50;
/** Loads that the report lists one by one. */
const RECENT_LOADS = 200;

/** Settings and faults of the weight store stand-in. */
export const weightsControl = z
  .strictObject({
    ...commonFaults,
    loadsPerSecond: z.number().positive(),
    /** Loads at once that start without waiting for the rate limit. */
    burst: z.int().positive(),
    loadMs: z.number().nonnegative(),
    /** Above this many loads in flight, a load takes proportionally longer. */
    maxInFlight: z.int().positive(),
    /** Factor on the time of each load. */
    slow: z.number().positive(),
    fail: z.boolean(),
  })
  .partial();

type Control = z.infer<typeof weightsControl>;

/** Limits of the weight store. */
export interface WeightsLimit {
  readonly loadsPerSecond: number;
  readonly burst: number;
  readonly loadMs: number;
  readonly maxInFlight: number;
}

/** A token of the rate limit: the time until it is there, and when the bucket is full again. */
export interface Token {
  readonly waitMs: number;
  readonly fullAtMs: number;
}

/** Takes a token from the bucket that would be full at `fullAtMs`. */
export function takeToken(
  limit: WeightsLimit,
  fullAtMs: number,
  nowMs: number,
): Token {
  const tokenMs = SECOND_MS / limit.loadsPerSecond;
  const waitMs = fullAtMs - (limit.burst - 1) * tokenMs - nowMs;
  return {
    waitMs: Math.max(0, waitMs),
    fullAtMs: Math.max(fullAtMs, nowMs) + tokenMs,
  };
}

/** Time of one load that brings the number in flight to `inFlight`. */
export function fetchMs(limit: WeightsLimit, inFlight: number): number {
  return limit.loadMs * Math.max(1, inFlight / limit.maxInFlight);
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
    /** Loads that waited because they came faster than the limit. */
    throttled: 0,
    peakInFlight: 0,
    /** Most loads that were asked for within one second. */
    peakPerSecond: 0,
  };
  const byAdapter = new Map<string, number>();
  /** Times of the last loads since the start of the process, and their waits. */
  const recent: Array<{
    readonly atMs: number;
    readonly waitMs: number;
    readonly adapter: string;
  }> = [];
  let inFlight = 0;
  let arrivals: readonly number[] = [];
  /** Time at which the bucket is full again. */
  let fullAtMs = 0;

  function recordArrival(nowMs: number): void {
    arrivals = [...arrivals.filter(at => at > nowMs - SECOND_MS), nowMs];
    counters.peakPerSecond = Math.max(counters.peakPerSecond, arrivals.length);
    inFlight += 1;
    counters.peakInFlight = Math.max(counters.peakInFlight, inFlight);
  }

  async function load(request: StandInRequest): Promise<Reply> {
    const [, kind, adapter, version] = request.path;
    if (kind !== 'weights' || adapter === undefined || version === undefined) {
      return NOT_FOUND;
    }
    const nowMs = performance.now();
    recordArrival(nowMs);
    const token = takeToken(settings, fullAtMs, nowMs);
    fullAtMs = token.fullAtMs;
    recent.push({atMs: nowMs, waitMs: token.waitMs, adapter});
    if (recent.length > RECENT_LOADS) recent.shift();
    if (token.waitMs > THROTTLE_TOLERANCE_MS) counters.throttled += 1;
    await sleep(token.waitMs + fetchMs(settings, inFlight) * settings.slow);
    inFlight -= 1;
    if (settings.fail) {
      counters.failed += 1;
      return json(503, {error: 'store_failed'});
    }
    counters.loads += 1;
    const key = `${adapter}@${version}`;
    byAdapter.set(key, (byAdapter.get(key) ?? 0) + 1);
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
        byAdapter: Object.fromEntries(byAdapter),
      }),
      handle: load,
    },
    options,
  );
}
