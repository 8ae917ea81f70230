/** Virtual time: events in the order of their time. */

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** A binary heap of events; equal times run in the order of scheduling. */
export class Events {
  nowMs = 0;
  private readonly heap: Entry[] = [];
  private scheduled = 0;

  /** Runs a function at a time, not before now. */
  at(atMs: number, run: () => void): void {
    const entry = {
      atMs: Math.max(atMs, this.nowMs),
      order: this.scheduled++,
      run,
    };
    let i = this.heap.push(entry) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      const above = this.heap[parent];
      if (above === undefined || isBefore(above, entry)) break;
      this.heap[i] = above;
      i = parent;
    }
    this.heap[i] = entry;
  }

  /** Runs a function after a delay. */
  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + delayMs, run);
  }

  /** Runs all events before `endMs`. */
  runUntil(endMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.atMs >= endMs) return;
      this.removeFirst();
      this.nowMs = first.atMs;
      first.run();
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      const a = this.heap[left];
      if (a === undefined) break;
      const b = this.heap[left + 1];
      const child = b !== undefined && isBefore(b, a) ? left + 1 : left;
      const entry = this.heap[child];
      if (entry === undefined || isBefore(last, entry)) break;
      this.heap[i] = entry;
      i = child;
    }
    this.heap[i] = last;
  }
}
