/** Admission control of one engine: leases of entries on its adapters. */
import {
  ACCOUNT_ROOM,
  INITIAL_PREFILL_RATE,
  NO_SHARES,
  PROMPT_START,
  UNPACED_MS,
  promptStart,
  withFirstEvent,
  withPrompt,
  type AccountRoom,
  type FairShares,
  type PromptStart,
  type StartedPrompt,
} from '@balsamnotch/core';
import {modelAdapterKey} from '../node/directorystate.js';
import type {LeaseTerms} from '../node/leaseterms.js';
import {LEASE_REFUSAL} from '../node/leaserefusal.js';
import {StatedLimit} from '../node/statedlimit.js';
import {
  hasAdapterRoom,
  hasRoom,
  inStartOrder,
  leaseRoom,
  sharedRequest,
  withGrantedLease,
  type AccountLease,
} from './accountleases.js';
import {expectedWaitMs, ratePerMs, withEvent, type EventTimes} from './pace.js';
import type {AdapterDemand} from './plan.js';

/** Request of an entry for a lease. */
export interface LeaseRequest extends LeaseTerms {
  /** Monotonic time until which the request can wait, in milliseconds. */
  readonly waitDeadlineMs: number;
  /** Monotonic time of the request, in milliseconds. */
  readonly requestedAtMs: number;
  /**
   * Called once. The reason is empty for a granted lease. A refusal has a reason
   * and the expected time until a retry can succeed, in milliseconds (0 when
   * it is not known).
   */
  readonly answer: (reason: string, retryAfterMs: number) => void;
}

/** Handle of a lease, by which its holder gives up waiting or ends a granted lease. */
export interface LeaseHandle {
  readonly release: () => void;
}

/** Options of {@link Leases}. */
export interface LeaseOptions {
  /**
   * Maximum number of leases granted at the same time; a function because the
   * configuration can change.
   */
  readonly maxGranted?: () => number;
  /** Lower bound of the load queue: number of adapters that may always wait for a load. */
  readonly minWaitingAdapters?: number;
  /** Upper bound of the load queue: maximum number of adapters that wait for a load. */
  readonly maxWaitingAdapters?: number;
  /**
   * Share of the latency objective within which the load must finish; the rest
   * is for processing the prompt.
   */
  readonly loadShare?: number;
  /** Share of both queues that is open to requests below the highest rank. */
  readonly lowRankShare?: number;
  /** Limit on the starts of requests that the engine states. */
  readonly limit?: Pick<StatedLimit, 'waitMs' | 'recordStart'>;
  /**
   * Number of waiting requests at which requests for loaded adapters are
   * refused while no more leases can be granted.
   */
  readonly maxWaitingRequests?: number;
}

interface TrackedLease extends AccountLease {
  readonly request: LeaseRequest;
  isGranted: boolean;
  /** Whether the adapter was loaded when the request arrived. */
  readonly wasLoaded: boolean;
  /**
   * Whether the adapter was absent when the request arrived and no load of it
   * has been counted since.
   */
  wasAbsent: boolean;
}

/** Refusal with the expected time until a retry can succeed, in milliseconds. */
interface LeaseRefusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/**
 * Time for which requests must have waited for absent adapters without
 * interruption before the measured load rate limits the queue and prompts start
 * unpaced, in milliseconds.
 */
const MIN_LOAD_BACKLOG_MS = 1_000;

/**
 * Share of the latency objective for which a request waits until the engine's limit allows it.
 * Another engine may take it meanwhile.
 */
const LIMIT_WAIT_SHARE = 0.25;

/**
 * Number of first events after which the estimate of the prefill rate no longer shows its initial
 * value: from that, one step for each reaches half and four times as much.
 */
const MIN_OBSERVED_FIRST_EVENTS = 30;

/** What is known of a request before its lease is added. */
interface AddedLease {
  readonly key: string;
  readonly waiting: readonly TrackedLease[];
  /** Where it may wait; undefined for a request without an account. */
  readonly room: AccountRoom | undefined;
}

/** Returns whether the engine holds an adapter in at least the given version. */
export type HoldsAdapter = (
  model: string,
  adapter: string,
  version: number,
) => boolean;

/** Waiting and granted leases of one target node. */
export class Leases {
  private readonly byAdapter = new Map<string, Set<TrackedLease>>();
  private readonly maxGranted: () => number;
  private readonly minWaitingAdapters: number;
  private readonly maxWaitingAdapters: number;
  private readonly loadShare: number;
  private readonly lowRankShare: number;
  private readonly maxWaitingRequests: number;
  private readonly limit: Pick<StatedLimit, 'waitMs' | 'recordStart'>;
  private grantedLeases = 0;
  /** What accounts have been granted. */
  private shares: FairShares = NO_SHARES;
  /** Times at which adapters were loaded for waiting requests. */
  private adapterArrivals: EventTimes = [];
  private startedPrompts: readonly StartedPrompt[] = [];
  /** Monotonic time until which prompts start without pacing, in milliseconds. */
  private unpacedUntilMs = -Infinity;
  /** Estimated prefill rate of the engine. */
  private tokensPerMs = INITIAL_PREFILL_RATE;
  /** Number of first events that the estimate has followed. */
  private firstEvents = 0;
  /** Times at which granted leases ended. */
  private leaseEnds: EventTimes = [];
  /**
   * Monotonic time in milliseconds since which requests have waited for absent
   * adapters without interruption; Infinity while none waits.
   */
  private backlogSinceMs = Infinity;

  constructor({
    maxGranted = () => Infinity,
    minWaitingAdapters = 2,
    maxWaitingAdapters = 8,
    loadShare = 0.75,
    lowRankShare = 0.5,
    maxWaitingRequests = 16,
    limit = new StatedLimit(),
  }: LeaseOptions = {}) {
    this.maxGranted = maxGranted;
    this.minWaitingAdapters = minWaitingAdapters;
    this.maxWaitingAdapters = maxWaitingAdapters;
    this.loadShare = loadShare;
    this.lowRankShare = lowRankShare;
    this.maxWaitingRequests = maxWaitingRequests;
    this.limit = limit;
  }

  /** Estimated number of prompt tokens that the engine reads per millisecond. */
  get prefillRate(): number {
    return this.tokensPerMs;
  }

  /** The same, or 0 until enough first events were observed to compare it with other engines. */
  get observedPrefillRate(): number {
    return this.firstEvents < MIN_OBSERVED_FIRST_EVENTS ? 0 : this.tokensPerMs;
  }

  /** Number of currently granted leases. */
  get grantedCount(): number {
    return this.grantedLeases;
  }

  /** Records the time from the start of a granted request to its first event, in milliseconds. */
  recordFirstEvent(promptTokens: number, firstEventMs: number): void {
    this.firstEvents += 1;
    this.tokensPerMs = withFirstEvent(
      this.tokensPerMs,
      promptTokens,
      firstEventMs,
    );
  }

  /**
   * Adds a lease, or refuses it immediately when it could not be granted in
   * time. `monotonicMs` is called when the lease is released.
   */
  add(
    request: LeaseRequest,
    holds: HoldsAdapter,
    monotonicMs: () => number = () => request.requestedAtMs,
  ): LeaseHandle {
    const key = modelAdapterKey(request.model, request.adapter);
    const waiting = this.waiting();
    const shared = sharedRequest(request);
    const rankShare = request.rank === 0 ? 1 : this.lowRankShare;
    const maxWaiting = this.maxWaitingRequests * rankShare;
    const room = leaseRoom(waiting, shared, maxWaiting);
    const refusal = this.refusalFor(request, {key, waiting, room}, holds);
    if (refusal !== undefined) {
      request.answer(refusal.reason, refusal.retryAfterMs);
      return {release: () => undefined};
    }
    const {model, adapter, version} = request;
    const wasLoaded = holds(model, adapter, version);
    const lease: TrackedLease = {
      request,
      key,
      isGranted: false,
      wasLoaded,
      wasAbsent: !wasLoaded,
      shared,
      isFirst: room === ACCOUNT_ROOM.first,
    };
    const leases = this.byAdapter.get(key) ?? new Set();
    this.byAdapter.set(key, leases.add(lease));
    return {release: () => this.release(lease, monotonicMs())};
  }

  private refusalFor(
    {
      model,
      adapter,
      version,
      rank,
      objectiveMs,
      requestedAtMs,
      waitDeadlineMs,
      continues,
      account = '',
    }: LeaseRequest,
    {key, waiting, room}: AddedLease,
    holds: HoldsAdapter,
  ): LeaseRefusal | undefined {
    const rankShare = rank === 0 ? 1 : this.lowRankShare;
    const limitWaitMs = this.limit.waitMs(waiting.length, requestedAtMs);
    const maxLimitWaitMs = Math.min(
      waitDeadlineMs - requestedAtMs,
      objectiveMs * LIMIT_WAIT_SHARE,
    );
    if (limitWaitMs > maxLimitWaitMs) {
      return {reason: LEASE_REFUSAL.limited, retryAfterMs: limitWaitMs};
    }
    if (continues) return undefined;
    if (holds(model, adapter, version)) {
      const isFull = this.grantedLeases >= this.maxGranted();
      const mayWait =
        room === undefined
          ? waiting.length < this.maxWaitingRequests * rankShare
          : hasRoom(room);
      if (!isFull || mayWait) return undefined;
      if (room === ACCOUNT_ROOM.accountFull) {
        const retryAfterMs = expectedWaitMs(this.leaseEnds, 1, requestedAtMs);
        return {reason: LEASE_REFUSAL.accountFull, retryAfterMs};
      }
      // A retried request is granted once as many leases have ended as requests wait now.
      const retryAfterMs = expectedWaitMs(
        this.leaseEnds,
        waiting.length,
        requestedAtMs,
      );
      return {reason: LEASE_REFUSAL.engineFull, retryAfterMs};
    }
    const absent = waiting.filter(
      ({request: r}) => !holds(r.model, r.adapter, r.version),
    );
    const absentKeys = new Set(absent.map(lease => lease.key));
    if (absentKeys.has(key)) return undefined;
    const queueLimit =
      this.loadQueueLimit(objectiveMs, requestedAtMs) * rankShare;
    const mayWait =
      account === ''
        ? absentKeys.size < queueLimit
        : hasAdapterRoom(absent, {account, rank}, queueLimit);
    if (mayWait) return undefined;
    const arrivalsNeeded = Math.max(1, absentKeys.size - queueLimit + 1);
    const retryAfterMs = expectedWaitMs(
      this.adapterArrivals,
      arrivalsNeeded,
      requestedAtMs,
    );
    return {reason: LEASE_REFUSAL.loadQueueFull, retryAfterMs};
  }

  /**
   * Number of adapters that can wait and still be loaded within the latency
   * objective, estimated from the recent load rate. While every slot is in use,
   * that rate is far below what the engine can load.
   */
  private loadQueueLimit(objectiveMs: number, nowMs: number): number {
    if (!this.hasLoadBacklog(nowMs)) return this.maxWaitingAdapters;
    const perMs = ratePerMs(this.adapterArrivals, nowMs);
    const queueLimit = Math.round(perMs * objectiveMs * this.loadShare);
    const {minWaitingAdapters, maxWaitingAdapters} = this;
    return Math.min(
      maxWaitingAdapters,
      Math.max(minWaitingAdapters, queueLimit),
    );
  }

  /** Returns whether requests have waited for absent adapters for long without interruption. */
  private hasLoadBacklog(nowMs: number): boolean {
    return this.backlogSinceMs <= nowMs - MIN_LOAD_BACKLOG_MS;
  }

  private release(lease: TrackedLease, nowMs: number): void {
    const isRemoved = this.remove(lease);
    if (!isRemoved || !lease.isGranted) return;
    this.grantedLeases -= 1;
    this.leaseEnds = withEvent(this.leaseEnds, nowMs);
  }

  /** Removes a lease; returns false when it had already been removed. */
  private remove(lease: TrackedLease): boolean {
    const leases = this.byAdapter.get(lease.key);
    if (leases?.delete(lease) !== true) return false;
    if (leases.size === 0) this.byAdapter.delete(lease.key);
    return true;
  }

  private *unsortedWaiting(): Generator<TrackedLease> {
    for (const leases of this.byAdapter.values()) {
      for (const lease of leases) if (!lease.isGranted) yield lease;
    }
  }

  /** Waiting leases: those that continue a stream first, then by rank, then by time of request. */
  private waiting(): readonly TrackedLease[] {
    return [...this.unsortedWaiting()].sort(
      (a, b) =>
        Number(b.request.continues ?? false) -
          Number(a.request.continues ?? false) ||
        a.request.rank - b.request.rank ||
        a.request.requestedAtMs - b.request.requestedAtMs,
    );
  }

  /**
   * Grants leases on loaded adapters up to the limit, and refuses leases that
   * have waited too long.
   */
  grantAndExpire(holds: HoldsAdapter, nowMs: number): void {
    const maxGranted = this.maxGranted();
    let hasBacklog = false;
    /** Whether a request is held back. */
    let isPaced = false;
    const ordered = inStartOrder(this.waiting(), {
      shares: this.shares,
      isHeld: ({request: r}) => holds(r.model, r.adapter, r.version),
      free: Math.max(0, maxGranted - this.grantedLeases),
    });
    for (const lease of ordered) {
      const {model, adapter, version, waitDeadlineMs, answer} = lease.request;
      const isHeld = holds(model, adapter, version);
      hasBacklog ||= !isHeld;
      const start = isHeld ? this.promptStart(lease, nowMs) : undefined;
      isPaced ||= start === PROMPT_START.later;
      // Requests that may start now do not overtake those held back before them.
      const isHeldBack =
        isPaced && (start === PROMPT_START.now || start === PROMPT_START.later);
      const mayStart =
        this.grantedLeases < maxGranted && this.limit.waitMs(0, nowMs) === 0;
      if (mayStart && isHeld && !isHeldBack) {
        lease.isGranted = true;
        this.limit.recordStart(nowMs);
        this.shares = withGrantedLease(this.shares, lease, ordered);
        this.grantedLeases += 1;
        if (lease.wasAbsent) this.recordArrival(lease.key, nowMs);
        this.startedPrompts = withPrompt(this.startedPrompts, {
          atMs: nowMs,
          tokens: lease.request.promptTokens,
        });
        answer('', 0);
      } else if (nowMs >= waitDeadlineMs) {
        this.remove(lease);
        answer(
          LEASE_REFUSAL.timeout,
          expectedWaitMs(this.adapterArrivals, 1, nowMs),
        );
      }
    }
    if (!hasBacklog) this.backlogSinceMs = Infinity;
    else if (this.backlogSinceMs === Infinity) this.backlogSinceMs = nowMs;
  }

  /** Decides whether a request may start, for the sake of the engine's running streams. */
  private promptStart(
    {request, wasLoaded}: TrackedLease,
    nowMs: number,
  ): PromptStart {
    // While adapters wait for slots, requests held back would occupy theirs for longer.
    if (nowMs < this.unpacedUntilMs || this.hasLoadBacklog(nowMs)) {
      return PROMPT_START.unpaced;
    }
    const {startedPrompts, tokensPerMs} = this;
    const start = promptStart(request, startedPrompts, tokensPerMs, nowMs);
    // A request that waited for a load is overdue without an overload of prompts.
    if (start === PROMPT_START.overdue && wasLoaded) {
      this.unpacedUntilMs = nowMs + UNPACED_MS;
    }
    return start;
  }

  /** Records that an adapter was loaded, once for all requests that waited for it. */
  private recordArrival(key: string, nowMs: number): void {
    for (const lease of this.byAdapter.get(key) ?? []) lease.wasAbsent = false;
    this.adapterArrivals = withEvent(this.adapterArrivals, nowMs);
  }

  /** Refuses all waiting leases. */
  refuseWaiting(reason: string): void {
    for (const lease of this.waiting()) {
      this.remove(lease);
      lease.request.answer(reason, 0);
    }
  }

  /** Current demand for each adapter with leases. */
  demands(): readonly AdapterDemand[] {
    return [...this.byAdapter.values()].map(leases => {
      const all = [...leases];
      const waiting = all.filter(({isGranted}) => !isGranted);
      const {model, adapter} = (all[0] as TrackedLease).request;
      return {
        model,
        adapter,
        version: Math.max(...all.map(({request}) => request.version)),
        leases: all.length,
        waiting: waiting.length,
        waitingSinceMs: Math.min(
          ...waiting.map(({request}) => request.requestedAtMs),
        ),
      };
    });
  }

  /** Number of client accounts of which leases wait. */
  waitingAccounts(): number {
    const accounts = [...this.unsortedWaiting()].map(
      ({shared}) => shared.account,
    );
    return new Set(accounts.filter(account => account !== '')).size;
  }

  /** Returns whether any lease is waiting. */
  hasWaiting(): boolean {
    return this.unsortedWaiting().next().done !== true;
  }
}
