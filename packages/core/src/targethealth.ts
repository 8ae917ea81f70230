/** Health of a target, derived by one entry from the outcomes of its own requests. */

/** Observed health of one target. Observations decay with time since the last use. */
export interface TargetHealth {
  /** Consecutive failures since the last success. */
  readonly failuresInRow: number;
  /** Moving average of the share of failed requests at the time of the last use, 0 to 1. */
  readonly failureShare: number;
  /** Moving average of the time to the first byte, in milliseconds; 0 before the first success. */
  readonly latencyMs: number;
  /** Monotonic time of the last observation, in milliseconds. */
  readonly usedAtMs: number;
  /** Monotonic time until which the target is avoided, in milliseconds; 0 if it is not. */
  readonly avoidUntilMs: number;
}

/** Weight of one request in the moving averages. */
const SAMPLE_WEIGHT = 0.12;

/**
 * Weight of a request whose connection broke or that got no answer. It is higher because
 * the outcome of the request is lost, unlike with an error response.
 */
const BROKEN_CONNECTION_WEIGHT = 0.35;

/**
 * Half-life of observations while a target is not used, in milliseconds. The decay lets a
 * target that has recovered get requests again.
 */
const HALF_LIFE_MS = 3_000;

/** Time for which a target is avoided after the first failure to answer or connect, in milliseconds. */
const INITIAL_AVOID_MS = 400;

/** Maximum time for which a silent or unreachable target is avoided, in milliseconds. */
const MAX_AVOID_MS = 3_000;

/** Health of a target that has not been used yet. */
export const UNKNOWN_HEALTH: TargetHealth = {
  failuresInRow: 0,
  failureShare: 0,
  latencyMs: 0,
  usedAtMs: 0,
  avoidUntilMs: 0,
};

/** Returns the exponential moving average after one more sample. */
function movingAverage(
  value: number,
  sample: number,
  weight = SAMPLE_WEIGHT,
): number {
  return value + weight * (sample - value);
}

/** Returns the factor by which observations have decayed since the last use, 0 to 1. */
function decay({usedAtMs}: TargetHealth, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - usedAtMs) / HALF_LIFE_MS);
}

/** Returns the share of requests that are expected to fail now, 0 to 1. */
export function expectedFailures(health: TargetHealth, nowMs: number): number {
  return health.failureShare * decay(health, nowMs);
}

/**
 * Returns the expected time to the first byte, in milliseconds. It approaches
 * `defaultMs` while the target is not used.
 */
export function expectedLatency(
  health: TargetHealth,
  defaultMs: number,
  nowMs: number,
): number {
  if (health.latencyMs === 0) return defaultMs;
  return defaultMs + (health.latencyMs - defaultMs) * decay(health, nowMs);
}

/** Returns the health after an answer that is not a failure of the target. */
export function afterSuccess(
  health: TargetHealth,
  latencyMs: number,
  nowMs: number,
): TargetHealth {
  return {
    failuresInRow: 0,
    failureShare: movingAverage(expectedFailures(health, nowMs), 0),
    usedAtMs: nowMs,
    latencyMs:
      health.latencyMs === 0
        ? latencyMs
        : movingAverage(health.latencyMs, latencyMs),
    avoidUntilMs: 0,
  };
}

/**
 * Returns the health after another target answered the same request first, at which time this one
 * had worked on it for `elapsedMs`. Its latency is at least that long.
 */
export function afterOutrun(
  health: TargetHealth,
  elapsedMs: number,
  nowMs: number,
): TargetHealth {
  const latencyMs = Math.max(elapsedMs, health.latencyMs);
  return {
    ...health,
    failureShare: expectedFailures(health, nowMs),
    usedAtMs: nowMs,
    latencyMs:
      health.latencyMs === 0
        ? latencyMs
        : movingAverage(health.latencyMs, latencyMs),
  };
}

/** Returns the health after the target answered with a failure. */
export function afterFailure(
  health: TargetHealth,
  nowMs: number,
  weight: number = SAMPLE_WEIGHT,
): TargetHealth {
  return {
    ...health,
    failuresInRow: health.failuresInRow + 1,
    failureShare: movingAverage(expectedFailures(health, nowMs), 1, weight),
    usedAtMs: nowMs,
  };
}

/** Returns the health after the connection broke while the target was processing the request. */
export function afterBrokenConnection(
  health: TargetHealth,
  nowMs: number,
): TargetHealth {
  return afterFailure(health, nowMs, BROKEN_CONNECTION_WEIGHT);
}

/**
 * Returns the health after the target could not be reached or did not answer. The target
 * is avoided for twice as long after each consecutive failure, up to `MAX_AVOID_MS`.
 */
export function afterSilence(
  health: TargetHealth,
  nowMs: number,
): TargetHealth {
  const failed = afterBrokenConnection(health, nowMs);
  const avoidMs = INITIAL_AVOID_MS * 2 ** Math.min(failed.failuresInRow - 1, 5);
  return {...failed, avoidUntilMs: nowMs + Math.min(MAX_AVOID_MS, avoidMs)};
}

/** Returns the health of a target that has no capacity; it is avoided for `avoidMs`. */
export function afterFull(
  health: TargetHealth,
  nowMs: number,
  avoidMs: number,
): TargetHealth {
  return {...health, avoidUntilMs: nowMs + avoidMs};
}
