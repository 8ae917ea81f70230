/** Moving mean of durations. */

/** Weight of the last duration. */
const WEIGHT = 0.2;

/** Exponentially weighted mean, in milliseconds; 0 before the first duration. */
export class MovingMean {
  private mean = 0;

  get ms(): number {
    return this.mean;
  }

  add(ms: number): void {
    this.mean = this.mean === 0 ? ms : this.mean + WEIGHT * (ms - this.mean);
  }
}
