/** Recent answers of one engine by the parts of their prompts. */
import type {PartAnswers} from './crashrecords.js';

/** Time after which counting starts anew, in milliseconds; the last period is kept beside it. */
const PERIOD_MS = 10_000;

/** Number of parts that are counted in one period; later ones are not. */
const MAX_PARTS = 4_000;

interface Period {
  readonly answers: number;
  readonly parts: ReadonlyMap<string, PartAnswers>;
}

const NO_ANSWERS: PartAnswers = {count: 0, lastAtMs: -Infinity};

function createPeriod() {
  return {answers: 0, parts: new Map<string, PartAnswers>()};
}

/** Counts of the current and the last period; mutable. */
export class RecentPartAnswers {
  private startMs = 0;
  private current = createPeriod();
  private last: Period = createPeriod();

  /** Counts an answer to a request with the given parts, at a monotonic time in milliseconds. */
  record(parts: readonly string[], nowMs: number): void {
    this.advance(nowMs);
    this.current.answers += 1;
    const counted = this.current.parts;
    for (const part of new Set(parts)) {
      const known = counted.get(part);
      if (known === undefined && counted.size >= MAX_PARTS) continue;
      const count = (known?.count ?? 0) + 1;
      counted.set(part, {count, lastAtMs: nowMs});
    }
  }

  /** Number of recent answers. */
  total(nowMs: number): number {
    this.advance(nowMs);
    return this.current.answers + this.last.answers;
  }

  /** Recent answers to requests with the part. */
  of(part: string, nowMs: number): PartAnswers {
    this.advance(nowMs);
    const current = this.current.parts.get(part) ?? NO_ANSWERS;
    const last = this.last.parts.get(part) ?? NO_ANSWERS;
    return {
      count: current.count + last.count,
      lastAtMs: Math.max(current.lastAtMs, last.lastAtMs),
    };
  }

  private advance(nowMs: number): void {
    const elapsedMs = nowMs - this.startMs;
    if (elapsedMs < PERIOD_MS) return;
    const isRecent = elapsedMs < 2 * PERIOD_MS;
    this.last = isRecent ? this.current : createPeriod();
    this.current = createPeriod();
    this.startMs = nowMs;
  }
}
