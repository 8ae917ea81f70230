/**
 * State of the node, and its planned stop: the node refuses new work and stops
 * once all requests have finished and no finished answer waits to be read.
 */
import {NODE_STATE, type NodeState} from '@balsamnotch/core';
import {Subject} from 'rxjs';

/** Counts of the work that a planned stop waits for. */
export interface DrainedWork {
  /** Number of requests in progress. */
  inProgress(): number;
  /** Number of finished answers that have not been read yet and that the stop still waits for. */
  unread(nowMs: number): number;
}

/** Controls the node's state and its planned stop. */
export class Drain {
  /** Emits once when a planned stop has ended. */
  readonly stopped$ = new Subject<void>();
  private isLeaving = false;
  private hasEnded = false;

  /** `isReady` returns true once the node can serve requests. */
  constructor(private readonly isReady: () => boolean) {}

  state(): NodeState {
    if (this.isLeaving) return NODE_STATE.leaving;
    return this.isReady() ? NODE_STATE.serving : NODE_STATE.starting;
  }

  begin(): void {
    this.isLeaving = true;
  }

  /** Cancels a planned stop; has no effect once the stop has ended. */
  cancel(): void {
    if (!this.hasEnded) this.isLeaving = false;
  }

  /** Called by the timer: ends a planned stop when no work is left. */
  tick(work: DrainedWork, nowMs: number): void {
    if (!this.isLeaving || this.hasEnded) return;
    if (work.inProgress() > 0 || work.unread(nowMs) > 0) return;
    this.hasEnded = true;
    this.stopped$.next();
    this.stopped$.complete();
  }
}
