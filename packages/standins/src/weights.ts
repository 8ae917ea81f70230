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
  let inFlight = 0;
  let arrivals: readonly number[] = [];
  /** Time at which the bucket is full again. */
  let fullAtMs = 0;

  /** Takes one token and returns the time until it is there. */
  function takeToken(nowMs: number): number {
    const tokenMs = SECOND_MS / settings.loadsPerSecond;
    const waitMs = fullAtMs - (settings.burst - 1) * tokenMs - nowMs;
    fullAtMs = Math.max(fullAtMs, nowMs) + tokenMs;
    return Math.max(0, waitMs);
  }

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
    const waitMs = takeToken(nowMs);
    if (waitMs > THROTTLE_TOLERANCE_MS) counters.throttled += 1;
    const crowding = Math.max(1, inFlight / settings.maxInFlight);
    await sleep(waitMs + settings.loadMs * crowding * settings.slow);
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
        byAdapter: Object.fromEntries(byAdapter),
      }),
      handle: load,
    },
    options,
  );
}
