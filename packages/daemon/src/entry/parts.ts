/**
 * Components that the entry's functions share: rate limits, retry budget, pause check
 * and timers.
 */
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

/** Shared components of an entry. */
export interface EntryComponents {
  readonly context: NodeContext;
  readonly targets: Targets;
  readonly limits: Limits;
  /** Returns the request statistics of a model service. */
  readonly popularityOf: (service: string) => Popularity;
  /**
   * Drops all target reports after a pause of the process. Resolves once the targets have
   * been probed, or after a short wait. Called before each step of a request, for each
   * event of a chat and at the end of a pause.
   */
  readonly checkPause: () => Promise<void>;
  /** Returns the refusal for new requests if the entry accepts none, else undefined. */
  readonly closedRefusal: () => Refusal | undefined;
}

/** Creates a lookup that keeps one {@link Popularity} per model service. */
export function createPopularityLookup(): EntryComponents['popularityOf'] {
  const services = new Map<string, Popularity>();
  return service => {
    const popularity = services.get(service) ?? new Popularity();
    services.set(service, popularity);
    return popularity;
  };
}

/** Token buckets of the callers and the retry budget of an entry. */
export class Limits {
  private readonly buckets = new Map<string, TokenBucket>();
  private retryBudget: RetryBudget = [];
  private entryCount = 1;

  constructor(private readonly context: NodeContext) {}

  /**
   * Sets the number of entries in the VM list, which share the rate limit of each
   * caller.
   */
  setEntryCount(count: number): void {
    this.entryCount = Math.max(1, count);
  }

  /**
   * Takes a token from the caller's bucket. Returns 0 if granted, otherwise the time until
   * a retry in milliseconds.
   */
  takeCallerToken({name, requestsPerSecond}: Caller): number {
    const nowMs = this.context.clock.monotonicMs();
    const rate = callerShare(requestsPerSecond, this.entryCount);
    const bucket = this.buckets.get(name) ?? fullBucket(rate, nowMs);
    const result = takeToken(bucket, rate, nowMs);
    this.buckets.set(name, result.bucket);
    return result.granted ? 0 : result.retryAfterMs;
  }

  countRequest(): void {
    this.retryBudget = countRequest(
      this.retryBudget,
      this.context.clock.monotonicMs(),
    );
  }

  mayRetry(): boolean {
    return mayRetry(this.retryBudget, this.context.clock.monotonicMs());
  }

  /** Counts a retry. Only retries that start new work are charged to the retry budget. */
  recordRetry(reason: RetryReason, startsWork: boolean): void {
    this.context.metrics.retried(reason);
    if (!startsWork) return;
    this.retryBudget = countRetry(
      this.retryBudget,
      this.context.clock.monotonicMs(),
    );
  }
}

/** Maximum time that requests wait for probes after a process pause, in milliseconds. */
const PAUSE_PROBE_WAIT_MS = 200;

/**
 * Creates a function that checks for a pause of the process. After each pause, all target
 * reports are dropped and all targets are probed once.
 */
export function createPauseCheck(
  context: NodeContext,
  targets: Targets,
): () => Promise<void> {
  let handledPauseMs = 0;
  let probesDone = Promise.resolve();
  return () => {
    const pauseMs = context.pauseMs();
    // The context reports the same pause for a while, always with the same length.
    if (pauseMs > 0 && pauseMs !== handledPauseMs) {
      context.log.warn('views_dropped', {pause_ms: Math.round(pauseMs)});
      context.metrics.count('views_dropped');
      targets.dropReports();
      probesDone = Promise.race([
        targets.whenProbed(),
        sleep(PAUSE_PROBE_WAIT_MS),
      ]);
    }
    handledPauseMs = pauseMs;
    return probesDone;
  };
}

/**
 * Returns the phase of a request. The last `reserveMs` before the deadline are reserved
 * for `Settle`.
 */
export function phaseAt(
  nowMs: number,
  deadlineMs: number,
  reserveMs: number,
): Phase {
  if (nowMs >= deadlineMs) return PHASE.over;
  return nowMs >= deadlineMs - reserveMs ? PHASE.closing : PHASE.open;
}

/** Resolves after `ms` milliseconds; a delay of 0 or less resolves without a timer. */
export function sleep(ms: number): Promise<void> {
  if (ms <= 0) return Promise.resolve();
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** An abort signal with a time limit that also follows a parent signal. */
export interface AbortTimer {
  readonly signal: AbortSignal;
  /** Removes the time limit; the parent signal still aborts. */
  clearTimeLimit(): void;
  /** Releases the timer and the listener on the parent signal. */
  dispose(): void;
}

/** Creates an {@link AbortTimer} that aborts after `limitMs` or with `parentSignal`. */
export function startAbortTimer(
  limitMs: number,
  parentSignal: AbortSignal,
): AbortTimer {
  const controller = new AbortController();
  const abort = () => controller.abort();
  const timer = setTimeout(abort, Math.max(0, limitMs));
  if (parentSignal.aborted) abort();
  else parentSignal.addEventListener('abort', abort, {once: true});
  return {
    signal: controller.signal,
    clearTimeLimit: () => clearTimeout(timer),
    dispose: () => {
      clearTimeout(timer);
      parentSignal.removeEventListener('abort', abort);
    },
  };
}
