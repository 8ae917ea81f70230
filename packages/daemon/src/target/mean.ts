/** Moving mean of durations. */

/** Weight of the latest duration in the mean. */
const LATEST_WEIGHT = 0.2;

/** Exponentially weighted moving mean, in milliseconds; 0 before the first duration. */
export class MovingMean {
  private mean = 0;

  get ms(): number {
    return this.mean;
  }

  add(ms: number): void {
    this.mean =
      this.mean === 0 ? ms : this.mean + LATEST_WEIGHT * (ms - this.mean);
  }
}
