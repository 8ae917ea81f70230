/** How often each adapter version is requested, with ageing. */

/** Options of {@link AgedFrequency}. */
export interface FrequencyOptions {
  /** Time in which a count loses half of its value, in milliseconds. */
  readonly halfLifeMs?: number;
  /** Keys kept; the least frequent are dropped above it. */
  readonly capacity?: number;
}

/** Share of requests for unknown keys after a shift of popularity. */
const SHIFTED_SHARE = 0.9;

/** Log likelihood ratio from which a shift is assumed. */
const SHIFT_EVIDENCE = 10;

/** Weight of one request in the usual share of unknown keys. */
const SHARE_WEIGHT = 1 / 300;

/** Count below which a key is unknown. */
const KNOWN_COUNT = 2;

/** Aged requests before which every key is unknown and a shift cannot be told. */
const LEAST_TOTAL = 200;

/** Part of the counts that is kept after a shift. */
const KEPT_AFTER_SHIFT = 0.05;

/**
 * Aged request counts of one process, which owns and changes them. Counts grow
 * by a weight that doubles each half-life, so that ageing touches no entry.
 */
export class AgedFrequency {
  private readonly counts = new Map<string, number>();
  private readonly halfLifeMs: number;
  private readonly capacity: number;
  private originMs: number | undefined;
  private total = 0;
  private evidence = 0;
  /** Usual share of requests for unknown keys. */
  private unknownShare = 0.5;

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
    const before = this.counts.get(key) ?? 0;
    this.detectShift(before / weight >= KNOWN_COUNT, this.total / weight);
    this.total += weight;
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

  /** Cumulative sum test; a shift makes the counts before it nearly worthless. */
  private detectShift(isKnown: boolean, total: number): void {
    if (total < LEAST_TOTAL) return;
    const usual = Math.min(0.75, Math.max(0.05, this.unknownShare));
    const change = isKnown
      ? Math.log((1 - SHIFTED_SHARE) / (1 - usual))
      : Math.log(SHIFTED_SHARE / usual);
    this.evidence = Math.max(0, this.evidence + change);
    this.unknownShare += SHARE_WEIGHT * ((isKnown ? 0 : 1) - this.unknownShare);
    if (this.evidence < SHIFT_EVIDENCE) return;
    this.evidence = 0;
    this.rescale(KEPT_AFTER_SHIFT);
  }

  private rescale(factor: number): void {
    this.total *= factor;
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
