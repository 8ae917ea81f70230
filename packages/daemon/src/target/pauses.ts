/** Detection of process pauses in the target role. */
import {Subject} from 'rxjs';
import type {NodeContext} from '../node/context.js';

/** Detects pauses of the process, such as a suspension of its VM. */
export class PauseWatch {
  /** Emits once for each pause, before any work continues. */
  readonly paused$ = new Subject<void>();
  private wasPaused = false;

  constructor(private readonly context: Pick<NodeContext, 'pauseMs'>) {}

  /**
   * Returns whether the process is waking from a pause. The timer calls it. It is
   * also called before new work is admitted or started, before an order is sent to
   * the engine and before a read of the engine's state is used; none of these
   * proceeds when the result is true.
   */
  isPaused(): boolean {
    const isPaused = this.context.pauseMs() > 0;
    const isNewPause = isPaused && !this.wasPaused;
    this.wasPaused = isPaused;
    if (isNewPause) this.paused$.next();
    return isPaused;
  }
}
