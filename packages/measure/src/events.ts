/** Virtual clock of a simulation: runs scheduled functions in order of time. */

interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/**
 * Event queue with a virtual clock, kept as a binary heap. Events with equal
 * times run in the order in which they were scheduled.
 */
export class EventQueue {
  /** Virtual time, in milliseconds. */
  nowMs = 0;
  private readonly heap: ScheduledEvent[] = [];
  private scheduledCount = 0;

  /** Schedules a function for `atMs`, or for now if that time has passed. */
  at(atMs: number, run: () => void): void {
    const event = {
      atMs: Math.max(atMs, this.nowMs),
      sequence: this.scheduledCount++,
      run,
    };
    let i = this.heap.push(event) - 1;
    while (i > 0) {
      const parentIndex = (i - 1) >> 1;
      const parentEvent = this.heap[parentIndex];
      if (parentEvent === undefined || isBefore(parentEvent, event)) break;
      this.heap[i] = parentEvent;
      i = parentIndex;
    }
    this.heap[i] = event;
  }

  /** Schedules a function after a delay, in milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + delayMs, run);
  }

  /** Runs all events before `endMs` and advances the clock to each. */
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.atMs >= endMs) return;
      this.removeNext();
      this.nowMs = next.atMs;
      next.run();
    }
  }

  private removeNext(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    let i = 0;
    for (;;) {
      const leftIndex = 2 * i + 1;
      const left = this.heap[leftIndex];
      if (left === undefined) break;
      const right = this.heap[leftIndex + 1];
      const childIndex =
        right !== undefined && isBefore(right, left)
          ? leftIndex + 1
          : leftIndex;
      const event = this.heap[childIndex];
      if (event === undefined || isBefore(last, event)) break;
      this.heap[i] = event;
      i = childIndex;
    }
    this.heap[i] = last;
  }
}
