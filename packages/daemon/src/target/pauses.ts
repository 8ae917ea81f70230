/** Detection of process pauses in the target role. */
import {Subject} from 'rxjs';
import type {NodeContext} from '../node/context.js';

/** Tells whether the process is waking from a pause, such as a suspension of its VM. */
export class PauseWatch {
  /** Emits once for each pause, before any work continues. */
  readonly paused$ = new Subject<void>();
  private wasPaused = false;

  constructor(private readonly context: Pick<NodeContext, 'pauseMs'>) {}

  /**
   * True while the process is waking from a pause. The timer calls it, and each
   * order, send and answer checks it first and does not proceed when it is true.
   */
  isPaused(): boolean {
    const isPaused = this.context.pauseMs() > 0;
    const isNewPause = isPaused && !this.wasPaused;
    this.wasPaused = isPaused;
    if (isNewPause) this.paused$.next();
    return isPaused;
  }
}
