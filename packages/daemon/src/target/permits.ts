/** Permits for load orders. */
import type {LoadPermits} from './systems.js';

/** Rate of load orders. */
export interface LoadRate {
  readonly loadsPerSecond: number;
  readonly burst: number;
}

/**
 * Token bucket over the whole limit of the weight store. The shares of section
 * 5.3 replace it: with several targets the sum of these buckets exceeds the limit.
 */
export function bucketPermits(rate: () => LoadRate | undefined): LoadPermits {
  let tokens = 0;
  let atMs: number | undefined;
  const refill = (nowMs: number): void => {
    const limit = rate();
    if (limit === undefined) return;
    const elapsedMs = nowMs - (atMs ?? -Infinity);
    const gained = (limit.loadsPerSecond * elapsedMs) / 1_000;
    tokens = Math.min(Math.max(1, limit.burst), tokens + gained);
    atMs = nowMs;
  };
  return {
    mayLoad(nowMs) {
      refill(nowMs);
      return tokens >= 1;
    },
    loadStarted() {
      tokens -= 1;
    },
  };
}
