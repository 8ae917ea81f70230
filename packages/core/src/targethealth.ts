/** Health of a target as one entry observes it on its own requests. */

/** Observations of one target. */
export interface TargetHealth {
  /** Failures since the last success. */
  readonly failuresInRow: number;
  /** Aged share of requests that failed when it was last used, 0 to 1. */
  readonly failureShare: number;
  /** Aged time to the first byte when it was last used, in milliseconds; 0 before the first. */
  readonly latencyMs: number;
  /** Monotonic time of the last use. */
  readonly usedAtMs: number;
  /** Monotonic time until which the target gets no new work; 0 for none. */
  readonly avoidUntilMs: number;
}

/** Weight of one request in the aged values. */
const SAMPLE_WEIGHT = 0.12;

/** Weight of a connection that broke: the outcome of the request is lost, unlike with an error that the target states. */
const BROKEN_WEIGHT = 0.35;

/** Time in which what was observed loses half of its value, in milliseconds, so that a target that has recovered gets work again. */
const HALF_LIFE_MS = 3_000;

/** First time for which a silent or unreachable target is avoided, in milliseconds. */
const AVOID_MS = 400;

/** Longest time for which a target is avoided, in milliseconds. */
const MAX_AVOID_MS = 3_000;

/** Health of a target that was not used yet. */
export const UNOBSERVED: TargetHealth = {
  failuresInRow: 0,
  failureShare: 0,
  latencyMs: 0,
  usedAtMs: 0,
  avoidUntilMs: 0,
};

function aged(value: number, sample: number, weight = SAMPLE_WEIGHT): number {
  return value + weight * (sample - value);
}

/** Part of an observation that still counts. */
function remainder({usedAtMs}: TargetHealth, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - usedAtMs) / HALF_LIFE_MS);
}

/** Share of requests that are expected to fail now, 0 to 1. */
export function expectedFailures(health: TargetHealth, nowMs: number): number {
  return health.failureShare * remainder(health, nowMs);
}

/** Expected time to the first byte, in milliseconds; it approaches `usualMs` while the target is not used. */
export function expectedLatency(
  health: TargetHealth,
  usualMs: number,
  nowMs: number,
): number {
  if (health.latencyMs === 0) return usualMs;
  return usualMs + (health.latencyMs - usualMs) * remainder(health, nowMs);
}

/** Health after an answer that is not a failure of the target. */
export function afterSuccess(
  health: TargetHealth,
  latencyMs: number,
  nowMs: number,
): TargetHealth {
  return {
    failuresInRow: 0,
    failureShare: aged(expectedFailures(health, nowMs), 0),
    usedAtMs: nowMs,
    latencyMs:
      health.latencyMs === 0 ? latencyMs : aged(health.latencyMs, latencyMs),
    avoidUntilMs: 0,
  };
}

/** Health after the target answered with a failure of its own. */
export function afterFailure(
  health: TargetHealth,
  nowMs: number,
  weight: number = SAMPLE_WEIGHT,
): TargetHealth {
  return {
    ...health,
    failuresInRow: health.failuresInRow + 1,
    failureShare: aged(expectedFailures(health, nowMs), 1, weight),
    usedAtMs: nowMs,
  };
}

/** Health after the connection broke while the target had the request. */
export function afterBreak(health: TargetHealth, nowMs: number): TargetHealth {
  return afterFailure(health, nowMs, BROKEN_WEIGHT);
}

/** Health after the target could not be reached or stayed silent. It is avoided for longer each time. */
export function afterSilence(
  health: TargetHealth,
  nowMs: number,
): TargetHealth {
  const failed = afterBreak(health, nowMs);
  const avoidMs = AVOID_MS * 2 ** Math.min(failed.failuresInRow - 1, 5);
  return {...failed, avoidUntilMs: nowMs + Math.min(MAX_AVOID_MS, avoidMs)};
}

/** Health of a target that has no room for the next `avoidMs`. */
export function afterFull(
  health: TargetHealth,
  nowMs: number,
  avoidMs: number,
): TargetHealth {
  return {...health, avoidUntilMs: nowMs + avoidMs};
}
