/** Detection of pauses of this process by the target role. */
import {pauseBetween, readTick, type Tick} from '@balsamnotch/core';
import {Subject} from 'rxjs';
import type {NodeContext} from '../node/context.js';

/**
 * Tells whether the process wakes from a pause. It compares with its own tick as
 * well as asking the node, so that a pause is seen whichever timer runs first.
 */
export class PauseWatch {
  /** Emits once for each pause, before any work goes on. */
  readonly paused$ = new Subject<void>();
  private last: Tick;
  private wasPaused = false;

  constructor(
    private readonly context: Pick<NodeContext, 'clock' | 'pauseMs'>,
  ) {
    this.last = readTick(context.clock);
  }

  /** Called before each order, send and answer; true when they must wait. */
  isPaused(): boolean {
    const now = readTick(this.context.clock);
    const ownMs = pauseBetween(this.last, now);
    if (ownMs > 0) this.last = now;
    const paused = ownMs > 0 || this.context.pauseMs() > 0;
    const begins = paused && !this.wasPaused;
    this.wasPaused = paused;
    if (begins) this.paused$.next();
    return paused;
  }

  /** Called by the timer. */
  tick(): void {
    this.isPaused();
    this.last = readTick(this.context.clock);
  }
}
