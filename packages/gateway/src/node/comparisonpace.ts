/** Pace at which one process compares its records of crashes with those of others. */
import {
  fullBucket,
  takeToken,
  type Clock,
  type TokenBucket,
} from '@balsamnotch/core';

/**
 * Comparisons a second of one process with all others together. A difference between many nodes
 * shows on each link, and is made up for by few comparisons, since each of them spreads it.
 */
const COMPARISONS_PER_SECOND = 2;

/** Mutable pace of one process. */
export class ComparisonPace {
  private bucket: TokenBucket;

  constructor(private readonly clock: Clock) {
    this.bucket = fullBucket(COMPARISONS_PER_SECOND, clock.monotonicMs());
  }

  /** Takes a comparison; returns false if none is allowed now. */
  take(): boolean {
    const nowMs = this.clock.monotonicMs();
    const {bucket, granted} = takeToken(
      this.bucket,
      COMPARISONS_PER_SECOND,
      nowMs,
    );
    this.bucket = bucket;
    return granted;
  }
}
