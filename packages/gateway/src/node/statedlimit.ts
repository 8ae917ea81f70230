/** The limit that a server states in its answers, and the starts of requests that it allows. */
import {
  refilled,
  tokenWaitMs,
  withoutToken,
  type TokenBucket,
} from '@balsamnotch/core';

/** Reason of refusals of requests that the limit of a server does not allow in time. */
export const LIMIT_REACHED = 'server_limit';

/** Options of {@link StatedLimit}. */
export interface StatedLimitOptions {
  /** Share of the limit that this node may use, 0 to 1. */
  readonly share?: () => number;
  /** Tokens when a limit is stated for the first time, 0 to 1. */
  readonly initialTokens?: () => number;
}

/**
 * Mutable limit of one incarnation of a server. Times are monotonic, in milliseconds. The
 * platform allows half a limit more, and 5 requests, in each 4 s, so the second's worth that a
 * token bucket holds may come at once.
 */
export class StatedLimit {
  private limitPerSecond = 0;
  private statedAtMs = -Infinity;
  private bucket: TokenBucket = {tokens: 0, atMs: 0};
  private readonly share: () => number;
  private readonly initialTokens: () => number;

  constructor({
    share = () => 1,
    initialTokens = () => 1,
  }: StatedLimitOptions = {}) {
    this.share = share;
    this.initialTokens = initialTokens;
  }

  /** Requests per second that the server takes from all nodes; 0 for no limit. */
  get perSecond(): number {
    return this.limitPerSecond;
  }

  /** Records what an answer stated at `atMs`; an answer before the last one is ignored. */
  record(perSecond: number, atMs: number, nowMs: number): void {
    if (atMs < this.statedAtMs) return;
    this.statedAtMs = atMs;
    if (this.limitPerSecond === 0) {
      this.bucket = {tokens: this.initialTokens(), atMs: nowMs};
    } else {
      this.bucket = refilled(this.bucket, this.rate(), nowMs);
    }
    this.limitPerSecond = perSecond;
  }

  /** Forgets the limit, since the server was replaced. */
  reset(): void {
    this.limitPerSecond = 0;
    this.statedAtMs = -Infinity;
  }

  /** Returns the time until a request may start of which `ahead` others go first; 0 if it may now. */
  waitMs(ahead: number, nowMs: number): number {
    if (this.limitPerSecond === 0) return 0;
    return tokenWaitMs(this.bucket, this.rate(), ahead, nowMs);
  }

  /** Records the start of a request. */
  recordStart(nowMs: number): void {
    if (this.limitPerSecond === 0) return;
    this.bucket = withoutToken(this.bucket, this.rate(), nowMs);
  }

  private rate(): number {
    return this.limitPerSecond * this.share();
  }
}
