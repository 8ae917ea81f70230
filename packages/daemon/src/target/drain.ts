/** State of the node and planned stop: no new work, then exit when everything has been read. */
import {NODE_STATE, type NodeState} from '@balsamnotch/core';
import {Subject} from 'rxjs';

/** Work that a planned stop waits for. */
export interface DrainedWork {
  /** Requests in progress. */
  inProgress(): number;
  /** Finished answers that were not read and may still be. */
  unread(nowMs: number): number;
}

/** Owner of the node's state. */
export class Drain {
  /** Emits once when a planned stop has ended. */
  readonly stopped$ = new Subject<void>();
  private leaving = false;
  private ended = false;

  /** `isReady` tells whether the node has what it needs to serve. */
  constructor(private readonly isReady: () => boolean) {}

  state(): NodeState {
    if (this.leaving) return NODE_STATE.leaving;
    return this.isReady() ? NODE_STATE.serving : NODE_STATE.starting;
  }

  begin(): void {
    this.leaving = true;
  }

  /** Cancels a planned stop; without effect once it has ended. */
  cancel(): void {
    if (!this.ended) this.leaving = false;
  }

  /** Called by the timer. */
  tick(work: DrainedWork, nowMs: number): void {
    if (!this.leaving || this.ended) return;
    if (work.inProgress() > 0 || work.unread(nowMs) > 0) return;
    this.ended = true;
    this.stopped$.next();
    this.stopped$.complete();
  }
}
