/** Health of a target as one entry observes it on its own requests. */

/** Observations of one target. */
export interface TargetHealth {
  /** Failures since the last success. */
  readonly failuresInRow: number;
  /** Aged share of requests that failed, 0 to 1. */
  readonly failureShare: number;
  /** Aged time to the first byte, in milliseconds; 0 before the first. */
  readonly latencyMs: number;
  /** Monotonic time until which the target gets no new work; 0 for none. */
  readonly avoidUntilMs: number;
}

/** Weight of one request in the aged values. */
const SAMPLE_WEIGHT = 0.12;

/** First time for which a silent or unreachable target is avoided, in milliseconds. */
const AVOID_MS = 400;

/** Longest time for which a target is avoided, in milliseconds. */
const MAX_AVOID_MS = 3_000;

/** Health of a target that was not used yet. */
export const UNOBSERVED: TargetHealth = {
  failuresInRow: 0,
  failureShare: 0,
  latencyMs: 0,
  avoidUntilMs: 0,
};

function aged(value: number, sample: number): number {
  return value + SAMPLE_WEIGHT * (sample - value);
}

/** Health after an answer that is not a failure of the target. */
export function afterSuccess(
  health: TargetHealth,
  latencyMs: number,
): TargetHealth {
  return {
    failuresInRow: 0,
    failureShare: aged(health.failureShare, 0),
    latencyMs:
      health.latencyMs === 0 ? latencyMs : aged(health.latencyMs, latencyMs),
    avoidUntilMs: 0,
  };
}

/** Health after the target answered with a failure of its own. */
export function afterFailure(health: TargetHealth): TargetHealth {
  return {
    ...health,
    failuresInRow: health.failuresInRow + 1,
    failureShare: aged(health.failureShare, 1),
  };
}

/** Health after the target could not be reached or stayed silent. It is avoided for longer each time. */
export function afterSilence(
  health: TargetHealth,
  nowMs: number,
): TargetHealth {
  const failed = afterFailure(health);
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
