/** Pauses of this process as the target role sees them. */
import {Subject} from 'rxjs';
import type {NodeContext} from '../node/context.js';

/** Tells whether the process wakes from a pause. */
export class PauseWatch {
  /** Emits once for each pause, before any work goes on. */
  readonly paused$ = new Subject<void>();
  private wasPaused = false;

  constructor(private readonly context: Pick<NodeContext, 'pauseMs'>) {}

  /** Called by the timer, and before each order, send and answer, which wait when it is true. */
  isPaused(): boolean {
    const paused = this.context.pauseMs() > 0;
    const begins = paused && !this.wasPaused;
    this.wasPaused = paused;
    if (begins) this.paused$.next();
    return paused;
  }
}
