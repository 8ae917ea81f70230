/** How often each adapter version is requested, with ageing. */

/** Options of {@link AgedFrequency}. */
export interface FrequencyOptions {
  /** Time in which a count loses half of its value, in milliseconds. */
  readonly halfLifeMs?: number;
  /** Keys kept; the least frequent are dropped above it. */
  readonly capacity?: number;
}

/**
 * Aged request counts of one process, which owns and changes them. Counts grow
 * by a weight that doubles each half-life, so that ageing touches no entry.
 */
export class AgedFrequency {
  private readonly counts = new Map<string, number>();
  private readonly halfLifeMs: number;
  private readonly capacity: number;
  private originMs: number | undefined;

  constructor({
    halfLifeMs = 600_000,
    capacity = 20_000,
  }: FrequencyOptions = {}) {
    this.halfLifeMs = halfLifeMs;
    this.capacity = capacity;
  }

  get size(): number {
    return this.counts.size;
  }

  /** Counts one request. */
  record(key: string, nowMs: number): void {
    const weight = this.weight(nowMs);
    this.counts.set(key, (this.counts.get(key) ?? 0) + weight);
    if (this.counts.size > this.capacity) this.drop();
  }

  /** Aged number of requests. */
  count(key: string, nowMs: number): number {
    return (this.counts.get(key) ?? 0) / this.weight(nowMs);
  }

  private weight(nowMs: number): number {
    this.originMs ??= nowMs;
    const halfLives = (nowMs - this.originMs) / this.halfLifeMs;
    // Rescaling keeps the weights far below the largest number.
    if (halfLives > 100) {
      this.rescale(2 ** -halfLives);
      this.originMs = nowMs;
      return 1;
    }
    return 2 ** halfLives;
  }

  private rescale(factor: number): void {
    for (const [key, count] of this.counts) {
      this.counts.set(key, count * factor);
    }
  }

  /** Drops the lower half, so that the cost of sorting is spread over many requests. */
  private drop(): void {
    const sorted = [...this.counts].sort((a, b) => a[1] - b[1]);
    for (const [key] of sorted.slice(0, sorted.length / 2)) {
      this.counts.delete(key);
    }
  }
}
