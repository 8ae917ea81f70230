/** What the functions of the entry share: context, targets, limits and the pause check. */
import {
  PHASE,
  Popularity,
  callerShare,
  countRequest,
  countRetry,
  fullBucket,
  mayRetry,
  takeToken,
  type Phase,
  type Refusal,
  type RetryBudget,
  type RetryReason,
  type TokenBucket,
} from '@balsamnotch/core';
import type {Caller} from '@balsamnotch/config';
import type {NodeContext} from '../node/context.js';
import type {Targets} from './targets.js';

/** Shared parts of one entry. */
export interface Parts {
  readonly context: NodeContext;
  readonly targets: Targets;
  readonly limits: Limits;
  /** Counts of requests by model service. */
  readonly popularity: (service: string) => Popularity;
  /** Acts on a pause of the process; asked before each send and answer. */
  readonly checkPause: () => Promise<void>;
  /** A refusal of all requests, while the entry takes none. */
  readonly closed: () => Refusal | undefined;
}

/** Keeps one {@link Popularity} for each model service. */
export function popularityByService(): Parts['popularity'] {
  const services = new Map<string, Popularity>();
  return service => {
    const known = services.get(service) ?? new Popularity();
    services.set(service, known);
    return known;
  };
}

/** Buckets of callers and the retry budget of one entry. */
export class Limits {
  private readonly buckets = new Map<string, TokenBucket>();
  private budget: RetryBudget = [];
  private entries = 1;

  constructor(private readonly context: NodeContext) {}

  /** The number of entries in the VM list that share each caller's limit. */
  setEntries(entries: number): void {
    this.entries = Math.max(1, entries);
  }

  /** Takes a request from the caller's bucket. Returns 0, or the time to wait in milliseconds. */
  take({name, requestsPerSecond}: Caller): number {
    const nowMs = this.context.clock.monotonicMs();
    const rate = callerShare(requestsPerSecond, this.entries);
    const bucket = this.buckets.get(name) ?? fullBucket(rate, nowMs);
    const taken = takeToken(bucket, rate, nowMs);
    this.buckets.set(name, taken.bucket);
    return taken.granted ? 0 : taken.retryAfterMs;
  }

  countRequest(): void {
    this.budget = countRequest(this.budget, this.context.clock.monotonicMs());
  }

  mayRetry(): boolean {
    return mayRetry(this.budget, this.context.clock.monotonicMs());
  }

  /** Counts a retry; one that starts new work takes from the budget. */
  retried(reason: RetryReason, startsWork: boolean): void {
    this.context.metrics.retried(reason);
    if (!startsWork) return;
    this.budget = countRetry(this.budget, this.context.clock.monotonicMs());
  }
}

/** Time that requests wait for the probes after a pause, in milliseconds. */
const PAUSE_PROBE_MS = 200;

/** Builds the pause check: after a pause all views are dropped and probed again, once. */
export function pauseCheck(
  context: NodeContext,
  targets: Targets,
): () => Promise<void> {
  let handledMs = 0;
  let probed = Promise.resolve();
  return () => {
    const pauseMs = context.pauseMs();
    // One pause is reported for a while, always with the same length.
    if (pauseMs > 0 && pauseMs !== handledMs) {
      context.log.warn('views_dropped', {pause_ms: Math.round(pauseMs)});
      context.metrics.count('views_dropped');
      targets.forgetReports();
      probed = Promise.race([targets.probed(), sleep(PAUSE_PROBE_MS)]);
    }
    handledMs = pauseMs;
    return probed;
  };
}

/** Phase of a request at `nowMs`; `reserveMs` before the deadline are kept for `Settle`. */
export function phaseAt(
  nowMs: number,
  deadlineMs: number,
  reserveMs: number,
): Phase {
  if (nowMs >= deadlineMs) return PHASE.over;
  return nowMs >= deadlineMs - reserveMs ? PHASE.closing : PHASE.open;
}

/** Resolves after `ms`; at once when there is nothing to wait for. */
export function sleep(ms: number): Promise<void> {
  if (ms <= 0) return Promise.resolve();
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** A signal that is aborted at a time or by another signal; `end` frees its timer. */
export interface Stop {
  readonly signal: AbortSignal;
  /** Takes the time limit away; the other signal still counts. */
  withoutLimit(): void;
  end(): void;
}

/** Builds a {@link Stop} that is aborted after `ms` or with `gone`. */
export function stopAfter(ms: number, gone: AbortSignal): Stop {
  const controller = new AbortController();
  const abort = () => controller.abort();
  const timer = setTimeout(abort, Math.max(0, ms));
  if (gone.aborted) abort();
  else gone.addEventListener('abort', abort, {once: true});
  return {
    signal: controller.signal,
    withoutLimit: () => clearTimeout(timer),
    end: () => {
      clearTimeout(timer);
      gone.removeEventListener('abort', abort);
    },
  };
}
