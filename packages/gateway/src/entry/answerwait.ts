/** Waits of an entry for the answers of a target node. */
import {scheduleAfterInput} from '@balsamnotch/systems';

/** Mutable waits for one answer, one after the other. Each counts with its planned length, see `isNodeLost`. */
export class AnswerWait {
  private elapsedMs = 0;
  private cancelWait = () => {};

  /** Time that the node has had for its answer, in milliseconds. */
  get silentMs(): number {
    return this.elapsedMs;
  }

  /** Counts from now on. */
  reset(): void {
    this.elapsedMs = 0;
  }

  /**
   * Waits for `ms` milliseconds in place of the wait in progress, and then calls `onElapsed`, once what
   * had arrived by then has been read.
   */
  start(ms: number, onElapsed: () => void): void {
    this.cancel();
    this.cancelWait = scheduleAfterInput(() => {
      this.elapsedMs += ms;
      onElapsed();
    }, ms);
  }

  /** Ends the wait in progress. */
  cancel(): void {
    this.cancelWait();
  }
}
