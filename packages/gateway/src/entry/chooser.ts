/** Chooses the target of a request and acquires the lease on its adapter there. */
import {
  ADAPTER_STATE,
  atPreferredVersions,
  maySendSecond,
  rankEngines,
  rankPlain,
  spreadRetryAfter,
  type NeededAdapter,
  type PlacementCandidate,
  type RefusedLease,
  type Unavailability,
} from '@balsamnotch/core';
import {scheduleAfterInput} from '@balsamnotch/systems';
import {firstValueFrom, from, map, race} from 'rxjs';
import type {GatewayContext} from '../node/context.js';
import {QUARANTINED} from '../node/crashevidence.js';
import {modelAdapterKey} from '../node/directorystate.js';
import {LIMIT_REACHED} from '../node/statedlimit.js';
import type {AttemptResult} from './attempt.js';
import type {ChoiceRequest, ChoiceResources} from './choicerequest.js';
import {StreamContinuation} from './continuation.js';
import type {LeaseQuestions} from './leasequestions.js';
import {LEASE_LOST, type Lease, type LeaseAnswer} from './nodelink.js';
import {ENDED_AFTER_EVENTS, type EndedRequest} from './requestend.js';
import type {PlainRoom, RoomRefusal} from './plainroom/plainroom.js';
import type {StatedAvailability} from './statedavailability.js';
import type {TargetState, Targets} from './targets.js';
import {MOVE_STAGE, type MoveStage} from './targetstatements.js';

/**
 * Longest total wait of a request for leases at all targets, in milliseconds:
 * time for six consecutive loads.
 */
const MAX_LEASE_WAIT_MS = 1_500;

/**
 * Longest wait for the lease on an adapter that is already loaded, in
 * milliseconds. The request is then sent without the target node's grant.
 */
const GRANT_WAIT_MS = 120;

/** Answer to a lease on a loaded adapter whose target node is late. */
const ASSUMED_GRANT: LeaseAnswer = {reason: '', retryAfterMs: 0};

/** Answer to a lease that is not awaited any longer because of a statement of its target. */
const TARGET_UNAVAILABLE: LeaseAnswer = {
  reason: 'target_unavailable',
  retryAfterMs: 0,
};

/** Largest number of tokens that a message states; requests have far fewer. */
const MAX_TOKENS = 2 ** 31;

/** Reason for which a stream that has begun goes elsewhere: the version of its target has changed. */
const SOFTWARE_VERSION = 'software_version';

/** What is known of a lease before it is requested. */
interface AcquireOptions {
  /** Whether the target has the adapter. */
  readonly isLoaded: boolean;
  /** Whether no other target can continue the stream. */
  readonly continues: boolean;
}

/** Chooses targets for one request, and holds at most one lease at a time. */
export class TargetChooser {
  private lease: Lease | undefined;
  /** Whether the target node of the chosen target has granted the request. */
  isGranted = false;
  /** Total time spent waiting for leases, in milliseconds. */
  waitedMs = 0;
  /** Reason given for the last refused lease; empty if none was refused. */
  lastRefusalReason = '';
  /** Shortest time until a refusing target node expects capacity, in milliseconds; 0 if unknown. */
  private retryAfterMs = 0;
  /** Decides which targets may go on with a stream that has begun. */
  readonly continuation: StreamContinuation;
  /** Software version of the first target that was chosen. */
  private sentTo: string | undefined;
  private readonly context: GatewayContext;
  private readonly targets: Targets;
  private readonly questions: LeaseQuestions;
  private readonly plainRoom: PlainRoom | undefined;
  /** Whether the room for the request at plain targets has been decided. */
  private isRoomDecided = false;

  constructor(
    {context, targets, questions, plainRoom}: ChoiceResources,
    private readonly request: ChoiceRequest,
  ) {
    this.context = context;
    this.targets = targets;
    this.questions = questions;
    this.plainRoom = plainRoom;
    this.continuation = new StreamContinuation(targets);
  }

  /**
   * Releases the current lease, granted or still waiting. `ended` tells how its request ended; a
   * request that is given up before that may have had events.
   */
  release(ended?: EndedRequest): void {
    const {hasEvents} = this.continuation;
    this.lease?.release(ended ?? (hasEvents ? ENDED_AFTER_EVENTS : undefined));
    this.lease = undefined;
  }

  /** Releases the lease of an attempt that has ended, and records how its target has answered. */
  endAttempt(
    target: TargetState,
    result: AttemptResult,
    ended: EndedRequest | undefined,
  ): void {
    this.release(ended);
    const {service, objectiveMs} = this.request;
    if (service.engine !== undefined) return;
    this.plainRoom?.recordEnd(target, result, objectiveMs);
  }

  /** The requested adapter and its currently declared version; undefined for a plain service. */
  neededAdapter(): NeededAdapter | undefined {
    const {service, caller} = this.request;
    if (service.engine === undefined) return undefined;
    const {model, adapter} = caller;
    const {adapterVersions} = this.context.directory.current();
    const version = adapterVersions.get(modelAdapterKey(model, adapter)) ?? 0;
    return {model, adapter, version};
  }

  /** Version of the adapter that the target must serve; 0 for any. */
  expectedVersion(target: TargetState): number {
    const needed = this.neededAdapter();
    return needed ? this.targets.expectedVersion(target, needed) : 0;
  }

  /**
   * Resolves to the best ranked target outside `excluded` that grants the lease on
   * the adapter; undefined if there is none in time. Plain services need no lease.
   */
  async choose(
    excluded: ReadonlySet<string>,
  ): Promise<TargetState | undefined> {
    const {service, isFinished} = this.request;
    const needed = this.neededAdapter();
    const refusedBy = new Set(excluded);
    if (needed !== undefined) this.questions.recordRequest();
    else if (this.isWithoutRoom()) return undefined;
    for (
      let asked = 0;
      !isFinished() && this.waitedMs < MAX_LEASE_WAIT_MS;
      asked++
    ) {
      const candidates = this.candidates(needed, refusedBy);
      const best = this.rank(candidates, needed)[0];
      const target = best && this.targets.get(best.id);
      if (best === undefined || target === undefined) {
        this.recordLimits(candidates);
        this.recordKnownRefusals(candidates, needed);
        this.lastRefusalReason ||= this.targets.unavailability(service) ?? '';
        return undefined;
      }
      if (needed === undefined) return target;
      if (!this.questions.mayAsk(asked)) return undefined;
      const isLoaded = best.adapter === ADAPTER_STATE.loaded;
      const continues = this.isOnlyContinuation(candidates);
      if (await this.acquire(target, needed, {isLoaded, continues})) {
        return target;
      }
      // The other target nodes would give the same answer.
      if (this.lastRefusalReason === QUARANTINED) return undefined;
      refusedBy.add(best.id);
    }
    return undefined;
  }

  /**
   * Returns the best ranked target outside `excluded` that may get a second attempt; undefined if
   * there is none. Only for plain services, which need no lease.
   */
  chooseBeside(excluded: ReadonlySet<string>): TargetState | undefined {
    const {targets} = this;
    const nowMs = this.context.clock.monotonicMs();
    const entries = Math.max(1, targets.sharingEntries());
    const isSuitable = (candidate: PlacementCandidate) => {
      const isLimited = (targets.get(candidate.id)?.limit.perSecond ?? 0) > 0;
      return maySendSecond(candidate, {entries, isLimited}, nowMs);
    };
    const candidates = this.candidates(undefined, excluded).filter(isSuitable);
    const best = this.rank(candidates, undefined)[0];
    return best && targets.get(best.id);
  }

  /** Returns the requests in progress at the targets of the service, of all entries, and their slots. */
  serviceLoad(): {readonly inProgress: number; readonly slots: number} {
    const entries = Math.max(1, this.targets.sharingEntries());
    const candidates = this.candidates(undefined, new Set());
    const sum = (valueOf: (candidate: PlacementCandidate) => number) =>
      candidates.reduce((total, candidate) => total + valueOf(candidate), 0);
    return {
      inProgress: sum(({inProgress}) => inProgress) * entries,
      slots: sum(({slots}) => slots),
    };
  }

  /** Decides, once, whether a request for a plain service is sent; returns true and records why if not. */
  private isWithoutRoom(): boolean {
    if (this.isRoomDecided) return false;
    this.isRoomDecided = true;
    const {service, rank, account, remainingMs} = this.request;
    const refusal: RoomRefusal | undefined = this.plainRoom?.refusalOf({
      service: service.name,
      rank,
      account: account?.name ?? '',
      remainingMs: remainingMs(),
    });
    if (refusal === undefined) return false;
    this.lastRefusalReason = refusal.reason;
    this.recordRoom(refusal.expectedMs);
    return true;
  }

  /** Returns the delay that a refused caller is told, in milliseconds. */
  expectedRetryAfterMs(): number {
    return spreadRetryAfter(
      this.retryAfterMs,
      this.context.random(),
      this.targets.leastPauseMs(this.request.service),
    );
  }

  /** Returns whether there is a target outside `excluded` that may be asked. */
  hasTarget(excluded: ReadonlySet<string>): boolean {
    const needed = this.neededAdapter();
    return this.rank(this.candidates(needed, excluded), needed).length > 0;
  }

  private candidates(
    needed: NeededAdapter | undefined,
    excluded: ReadonlySet<string>,
  ): readonly PlacementCandidate[] {
    const required = this.continuation.versions();
    const {service, stream} = this.request;
    const {targets, sentTo} = this;
    const candidates = targets.candidates(service, needed, excluded, required);
    if (stream === '' || required.kind !== 'any') return candidates;
    const versionOf = ({id}: PlacementCandidate) =>
      targets.get(id)?.listing.target.softwareVersion ?? '';
    return atPreferredVersions(candidates, versionOf, {
      sentTo,
      isSettled: version => targets.versions.isSettled(service.name, version),
    });
  }

  /**
   * Returns whether the only candidate is also the only target that can serve the request, since its
   * stream has begun.
   */
  private isOnlyContinuation(
    candidates: readonly PlacementCandidate[],
  ): boolean {
    if (candidates.length !== 1) return false;
    const {kind} = this.targets.versions.known(this.request.service.name);
    return this.continuation.versions().kind !== 'any' && kind !== 'only';
  }

  /** Records when the first of the targets takes a request again, if limits hold all of them back. */
  private recordLimits(candidates: readonly PlacementCandidate[]): void {
    const waits = candidates.map(({limitWaitMs}) => limitWaitMs);
    const shortestMs = Math.min(...waits);
    if (waits.length === 0 || shortestMs === 0) return;
    this.lastRefusalReason = LIMIT_REACHED;
    this.retryAfterMs = shortestMs;
  }

  private rank(
    candidates: readonly PlacementCandidate[],
    needed: NeededAdapter | undefined,
  ): readonly PlacementCandidate[] {
    const nowMs = this.context.clock.monotonicMs();
    if (needed === undefined) {
      const paced = this.plainRoom?.withPaces(candidates) ?? candidates;
      return rankPlain(paced, nowMs, this.context.random);
    }
    const key = modelAdapterKey(needed.model, needed.adapter);
    const continues = this.isOnlyContinuation(candidates);
    const isOpen = (candidate: PlacementCandidate) =>
      continues || this.knownRefusal(candidate, needed) === undefined;
    const {promptTokens} = this.request.caller;
    return rankEngines(key, candidates.filter(isOpen), nowMs, {promptTokens});
  }

  /** Returns the refusal of an earlier request that holds for this one; undefined if none does. */
  private knownRefusal(
    {id, adapter}: PlacementCandidate,
    needed: NeededAdapter,
  ): RefusedLease | undefined {
    const target = this.targets.get(id);
    const link = target && this.targets.linkOf(target);
    const {rank, objectiveMs} = this.request;
    const isHeld = adapter === ADAPTER_STATE.loaded;
    const account = this.request.account?.name;
    return link?.refusalOf({...needed, isHeld, rank, objectiveMs, account});
  }

  /** Records why none of the targets is asked, and when the first of them expects room. */
  private recordKnownRefusals(
    candidates: readonly PlacementCandidate[],
    needed: NeededAdapter | undefined,
  ): void {
    if (needed === undefined) return;
    const [first] = candidates
      .flatMap(candidate => this.knownRefusal(candidate, needed) ?? [])
      .sort((a, b) => a.untilMs - b.untilMs);
    if (first === undefined) return;
    this.context.metrics.count('lease_not_asked', first.reason);
    this.lastRefusalReason = first.reason;
    this.recordRoom(first.untilMs - this.context.clock.monotonicMs());
  }

  /** Records the time after which a target node expects room, in milliseconds. */
  private recordRoom(afterMs: number): void {
    const shortestMs = this.retryAfterMs || Infinity;
    this.retryAfterMs = Math.min(shortestMs, afterMs);
  }

  /**
   * Gives up the lease, and returns true, if the chosen target has stated that it takes no
   * requests, or has since been listed with a version at which the stream may not go on.
   */
  leaveUnavailable(target: TargetState): boolean {
    const reason =
      target.stated.unavailability() ??
      (this.continuation.allows(target.listing.target)
        ? undefined
        : SOFTWARE_VERSION);
    if (reason === undefined) return false;
    this.release();
    if (!this.request.isFinished()) {
      this.recordMove(target, reason, MOVE_STAGE.lease);
    }
    return true;
  }

  /** Records that the request, which waited for a connection, goes elsewhere because of a statement. */
  recordWithdrawal(target: TargetState, reason: Unavailability): void {
    this.recordMove(target, reason, MOVE_STAGE.connection);
  }

  /** Counts and logs that the request, not sent yet, goes elsewhere because of a statement. */
  private recordMove(
    {listing}: TargetState,
    reason: Unavailability | typeof SOFTWARE_VERSION,
    stage: MoveStage,
  ): void {
    const {log, metrics} = this.context;
    metrics.count('moved_unsent', `${reason}_${stage}`);
    log.info('moved_unsent', {
      request: this.request.caller.requestId,
      target: listing.target.id,
      reason,
      stage,
    });
  }

  /**
   * Requests a lease, which loads the adapter and prevents its eviction. Resolves
   * to false if it is refused.
   */
  private async acquire(
    target: TargetState,
    needed: NeededAdapter,
    {isLoaded, continues}: AcquireOptions,
  ): Promise<boolean> {
    const {clock, metrics, log} = this.context;
    const {caller, account, remainingMs, rank, objectiveMs, gapObjectiveMs} =
      this.request;
    const {softwareVersion} = target.listing.target;
    this.sentTo ??= softwareVersion;
    this.continuation.hasEvents = false;
    const lease = this.targets.linkOf(target)?.acquire({
      ...needed,
      isHeld: isLoaded,
      rank,
      objectiveMs,
      gapObjectiveMs,
      promptTokens: Math.min(MAX_TOKENS, caller.promptTokens),
      account: account?.name,
      // Only shares of accounts are counted in tokens of answers.
      outputTokens: account && Math.min(MAX_TOKENS, caller.outputTokens),
      promptParts: caller.promptParts,
      requestId: caller.requestId,
      stream: this.request.stream,
      softwareVersion,
      continues,
      holdMs: remainingMs(),
      waitMs: Math.min(MAX_LEASE_WAIT_MS - this.waitedMs, remainingMs()),
    });
    this.lease = lease;
    const startedAtMs = clock.monotonicMs();
    const answer = lease?.answer ?? Promise.resolve(LEASE_LOST);
    // A limit allows no request that the target node does not count.
    const mayAssume = isLoaded && target.limit.perSecond === 0;
    const isUnconfirmed = () => lease?.isConfirmed() !== true;
    const leaseAnswer = await untilUnavailable(
      target.stated,
      mayAssume ? assumeGrantAfterWait(answer, isUnconfirmed) : answer,
    );
    const waitedMs = clock.monotonicMs() - startedAtMs;
    this.waitedMs += waitedMs;
    metrics.timing('adapter_wait', waitedMs);
    if (this.leaveUnavailable(target)) return false;
    const {reason, retryAfterMs} = leaseAnswer;
    this.isGranted = reason === '' && leaseAnswer !== ASSUMED_GRANT;
    if (reason === '') return true;
    // The engine keeps its loaded adapters while its target node is unreachable.
    const limitWaitMs = target.limit.waitMs(0, clock.monotonicMs());
    if (leaseAnswer === LEASE_LOST && isLoaded && limitWaitMs === 0) {
      return true;
    }
    this.release();
    this.lastRefusalReason = reason;
    if (retryAfterMs > 0) this.recordRoom(retryAfterMs);
    log.info('lease_refused', {
      request: caller.requestId,
      target: target.listing.target.id,
      reason,
      waited_ms: Math.round(waitedMs),
    });
    return false;
  }
}

/**
 * Answer to a lease on a loaded adapter, replaced by a grant if the target node has
 * not even confirmed it within {@link GRANT_WAIT_MS}.
 */
function assumeGrantAfterWait(
  answer: Promise<LeaseAnswer>,
  isUnconfirmed: () => boolean,
): Promise<LeaseAnswer> {
  return new Promise(resolve => {
    const cancel = scheduleAfterInput(() => {
      if (isUnconfirmed()) resolve(ASSUMED_GRANT);
    }, GRANT_WAIT_MS);
    answer
      .then(resolve)
      .finally(cancel)
      .catch(() => resolve(LEASE_LOST));
  });
}

/**
 * Answer to a lease, or {@link TARGET_UNAVAILABLE} if the target states meanwhile that it takes
 * no new requests.
 */
function untilUnavailable(
  {unavailable$}: StatedAvailability,
  answer: Promise<LeaseAnswer>,
): Promise<LeaseAnswer> {
  return firstValueFrom(
    race(from(answer), unavailable$.pipe(map(() => TARGET_UNAVAILABLE))),
  );
}
