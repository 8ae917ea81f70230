/** Aged request counts of adapter versions. */

/** Options of {@link AgedFrequency}. */
export interface FrequencyOptions {
  /** Time in which a count decays to half of its value, in milliseconds. */
  readonly halfLifeMs?: number;
  /** Maximum number of keys; above it the least frequent half is dropped. */
  readonly capacity?: number;
}

/** Assumed share of requests for unknown keys after a shift of popularity. */
const SHIFTED_UNKNOWN_SHARE = 0.9;

/** Cumulative log-likelihood ratio at which a shift is assumed. */
const SHIFT_THRESHOLD = 10;

/** Weight of one request in the moving average of the share of unknown keys. */
const UNKNOWN_SHARE_WEIGHT = 1 / 300;

/** Aged count below which a key is treated as unknown. */
const MIN_KNOWN_COUNT = 2;

/**
 * Aged total count below which no shift is detected: with fewer requests almost every
 * key is unknown.
 */
const MIN_TOTAL_COUNT = 200;

/** Factor applied to all counts after a shift. */
const SHIFT_COUNT_FACTOR = 0.05;

/**
 * Mutable request counts of one process with exponential decay. Instead of decaying
 * all counts, it adds a weight that doubles every half-life and divides by that weight
 * on reading. Times are monotonic milliseconds.
 */
export class AgedFrequency {
  private readonly counts = new Map<string, number>();
  private readonly halfLifeMs: number;
  private readonly capacity: number;
  private originMs: number | undefined;
  private total = 0;
  /** Cumulative log-likelihood ratio of a shift, at least 0. */
  private evidence = 0;
  /** Moving average of the share of requests for unknown keys. */
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

  /** Counts one request for a key. */
  record(key: string, nowMs: number): void {
    const weight = this.weight(nowMs);
    const previous = this.counts.get(key) ?? 0;
    this.detectShift(previous / weight >= MIN_KNOWN_COUNT, this.total / weight);
    this.total += weight;
    this.counts.set(key, (this.counts.get(key) ?? 0) + weight);
    if (this.counts.size > this.capacity) this.dropLeastFrequent();
  }

  /** Returns the aged number of requests for a key. */
  count(key: string, nowMs: number): number {
    return (this.counts.get(key) ?? 0) / this.weight(nowMs);
  }

  private weight(nowMs: number): number {
    this.originMs ??= nowMs;
    const halfLives = (nowMs - this.originMs) / this.halfLifeMs;
    // Rescaling keeps the weights far below the largest representable number.
    if (halfLives > 100) {
      this.rescale(2 ** -halfLives);
      this.originMs = nowMs;
      return 1;
    }
    return 2 ** halfLives;
  }

  /**
   * Detects a shift of popularity by a cumulative sum (CUSUM) test on the share of
   * requests for unknown keys. A shift makes the earlier counts nearly worthless.
   */
  private detectShift(isKnown: boolean, total: number): void {
    if (total < MIN_TOTAL_COUNT) return;
    const baselineShare = Math.min(0.75, Math.max(0.05, this.unknownShare));
    const logRatio = isKnown
      ? Math.log((1 - SHIFTED_UNKNOWN_SHARE) / (1 - baselineShare))
      : Math.log(SHIFTED_UNKNOWN_SHARE / baselineShare);
    this.evidence = Math.max(0, this.evidence + logRatio);
    this.unknownShare +=
      UNKNOWN_SHARE_WEIGHT * ((isKnown ? 0 : 1) - this.unknownShare);
    if (this.evidence < SHIFT_THRESHOLD) return;
    this.evidence = 0;
    this.rescale(SHIFT_COUNT_FACTOR);
  }

  private rescale(factor: number): void {
    this.total *= factor;
    for (const [key, count] of this.counts) {
      this.counts.set(key, count * factor);
    }
  }

  /** Drops the less frequent half of the keys, which spreads the cost of sorting over many requests. */
  private dropLeastFrequent(): void {
    const sorted = [...this.counts].sort((a, b) => a[1] - b[1]);
    for (const [key] of sorted.slice(0, sorted.length / 2)) {
      this.counts.delete(key);
    }
  }
}
