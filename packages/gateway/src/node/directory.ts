/**
 * Follows the routes, targets and adapter versions that the platform publishes,
 * also through outages of its store.
 */
import {BehaviorSubject, type Observable} from 'rxjs';
import {
  comparePositions,
  heldBackCount,
  HISTORY,
  historyOf,
  isLaterPosition,
  LAPSE_GRACE_MS,
  START_POSITION,
  answerLimitMs,
  retryPauseMs,
  pollTiming,
  type Clock,
  type FollowTiming,
  type StorePosition,
} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';
import {createChangeApplier, type ChangeTimes} from './directorychanges.js';
import {
  CHANGE_SOURCE,
  createFreshnessTracker,
  type ChangeSource,
} from './freshness.js';
import {
  needsFullRead,
  type DirectoryAnswer,
  type DirectoryError,
  type DirectorySource,
} from './directorysource.js';
import {
  EMPTY_DIRECTORY,
  operatorChangesOf,
  targetChangesOf,
  type DirectoryState,
  type OperatorChanges,
} from './directorystate.js';
import type {GatewayMetrics} from './metrics.js';
import {createPeerRequestTurns} from './peerturns.js';
import {createVersionWatch} from './versionwatch.js';

/** Directory of published routes, targets and adapter versions. */
export interface Directory {
  readonly state$: Observable<DirectoryState>;
  readonly current: () => DirectoryState;
  /**
   * Returns the whole state and its position for a peer; undefined before the
   * first route table is known.
   */
  readonly snapshot: () => DirectoryAnswer | undefined;
  /** Returns the operator's changes; undefined before the first route table is known. */
  readonly operatorChanges: () => OperatorChanges | undefined;
  /**
   * Returns the age of the operator's changes in milliseconds: the time since the
   * store confirmed that nothing later is published; 0 before the first
   * confirmation.
   */
  readonly operatorAgeMs: () => number;
  /**
   * Emits the monotonic time in milliseconds up to which the list of targets is known, whenever
   * the store confirms it, after the state as of then.
   */
  readonly targetsConfirmed$: Observable<number>;
  /**
   * Returns the time since the store confirmed the list of targets, in milliseconds; Infinity
   * before the first confirmation and for a source that does not list targets.
   */
  readonly targetsAgeMs: () => number;
  /**
   * Applies the operator's changes as another node knows them; ignores versions
   * that are not later.
   */
  readonly adoptOperatorChanges: (
    published: OperatorChanges,
    source: ChangeSource,
  ) => void;
  /**
   * Records that, as of `ageMs` milliseconds ago, another node knew no operator
   * change after the position. Ignored if this node is at another position.
   */
  readonly confirmOperatorPosition: (
    operatorPosition: StorePosition,
    ageMs: number,
  ) => void;
  /** Records that another node states this version of the routes as in force; 0 for none. */
  readonly recordStatedRoutes: (version: number, source: ChangeSource) => void;
  /** Polls the source earlier than planned, because another node knows a later operator change. */
  readonly pollSoon: () => void;
  /**
   * Returns whether a stream to another node may request the operator's changes
   * now. Nodes are asked one at a time.
   */
  readonly claimPeerRequest: (stream: object) => boolean;
  /** Ages and delays for the metrics endpoint, in milliseconds. */
  readonly status: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}

/** Options of {@link createDirectory}. */
export interface DirectoryOptions {
  readonly source: DirectorySource;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly random?: () => number;
  /**
   * Fetches a later state from the next peer, or from all if urgent, while the
   * source does not answer.
   */
  readonly fetchPeerSnapshot?: (
    after: StorePosition,
    isUrgent: boolean,
  ) => Promise<DirectoryAnswer | undefined>;
  /** Time within which a published change must be in force, in milliseconds. */
  readonly changeBoundMs?: number;
  /** Timing of the calls to the source; derived from `changeBoundMs` by default. */
  readonly timing?: FollowTiming;
}

/** Time without an answer above which failed calls count as an outage, in milliseconds. */
const MIN_OUTAGE_MS = 1_000;

/**
 * Time that a starting node gives the source to answer before it also asks its
 * peers, in milliseconds.
 */
const SOURCE_HEAD_START_MS = 250;

/**
 * Ratio of the answer timeout of a call in a full read to that of a watch; above 1
 * because the answer of a full read is larger.
 */
const READ_TIMEOUT_FACTOR = 2;

/** Causes of a full read besides kinds of errors and of {@link HISTORY}. */
const FULL_READ_AT_START = 'start';
const FULL_READ_AFTER_EXCEPTION = 'exception';
const FULL_READ_WHEN_BEHIND = 'behind';

/** Creates a directory and starts following its source. */
export function createDirectory({
  source,
  clock,
  log,
  metrics,
  random = Math.random,
  fetchPeerSnapshot = () => Promise.resolve(undefined),
  changeBoundMs = 2_000,
  timing = pollTiming(changeBoundMs),
}: DirectoryOptions): Directory {
  const freshness = createFreshnessTracker({
    clock,
    log,
    metrics,
    boundMs: changeBoundMs,
    listsTargets: source.listsTargets,
  });
  const state$ = new BehaviorSubject<DirectoryState>(EMPTY_DIRECTORY);
  const applier = createChangeApplier({freshness, log, metrics});
  /**
   * Position up to which all changes are known: that of the store's latest answer, or a
   * later one of a peer. It goes back when the store does.
   */
  let position = START_POSITION;
  /** Why a full read is needed; undefined when it is not. */
  let fullReadCause: string | undefined = FULL_READ_AT_START;
  let lastFullReadAtMs = -Infinity;
  let lastAnswerAtMs = clock.monotonicMs();
  /**
   * Monotonic time in milliseconds until which a removed target is kept as missing,
   * because its entry may only have lapsed.
   */
  let lapseGraceUntilMs = 0;
  /** Monotonic time of the last return of the store from an older copy, in milliseconds. */
  let restoredAtMs = -Infinity;
  /** Number of consecutive failed calls. */
  let failures = 0;
  let isPollRequested = false;
  let isPeerRequestPending = false;
  let hasRequestedPeers = false;
  let endPause: (() => void) | undefined;
  let isClosed = false;

  const publish = (state: DirectoryState) => {
    if (state !== state$.value) state$.next(state);
  };
  const times = (): ChangeTimes => ({
    nowMs: clock.monotonicMs(),
    lapseGraceUntilMs,
    restoredAtMs,
  });
  const applyAnswer = (
    {changes, operatorPosition}: Omit<DirectoryAnswer, 'position'>,
    isFullState: boolean,
    source: ChangeSource,
  ) => {
    const changeSet = {changes, operatorPosition, isFullState, source};
    publish(applier.apply(state$.value, changeSet, times()));
  };
  /** Applies the whole state, also one of a history that the node has not followed so far. */
  const applyFullState = (answer: DirectoryAnswer, source: ChangeSource) => {
    const from = position;
    position = answer.position;
    fullReadCause = undefined;
    const history = historyOf(from, position);
    if (from.revision === 0 || history === HISTORY.continued) {
      applyAnswer(answer, true, source);
      return;
    }
    const nowMs = clock.monotonicMs();
    restoredAtMs = nowMs;
    // The copy lacks the entries of targets that registered after it was taken.
    lapseGraceUntilMs = nowMs + LAPSE_GRACE_MS;
    const {table} = state$.value;
    applyAnswer(answer, true, source);
    const {registry, departures} = state$.value;
    metrics.count('store_restored', history);
    log.warn('store_restored', {
      source,
      history,
      from_era: from.era,
      from_revision: from.revision,
      to_era: position.era,
      to_revision: position.revision,
      routes_version: state$.value.table?.version ?? 0,
      are_routes_kept: state$.value.table === table,
      targets: registry.size,
      missing: [...registry.values()].filter(entry => entry.missingUntilMs > 0)
        .length,
      held_back: heldBackCount(departures),
    });
  };
  /** What this node knows, for the log. */
  const knowledge = () => {
    const {table, operatorPosition} = state$.value;
    return {
      routes_version: table?.version ?? 0,
      operator_revision: operatorPosition.revision,
      era: position.era,
      revision: position.revision,
      answer_age_ms: Math.round(clock.monotonicMs() - lastAnswerAtMs),
    };
  };
  const versionWatch = createVersionWatch({
    clock,
    log,
    metrics,
    inForce: () => state$.value.table?.version ?? 0,
    knowledge,
    boundMs: changeBoundMs,
  });
  const handleSuccess = () => {
    const nowMs = clock.monotonicMs();
    const outageMs = nowMs - lastAnswerAtMs;
    if (failures > 0 && outageMs > MIN_OUTAGE_MS) {
      lapseGraceUntilMs = nowMs + LAPSE_GRACE_MS;
    }
    if (failures > 0) {
      log.info('directory_regained', {
        outage_ms: Math.round(outageMs),
        failures,
        ...knowledge(),
      });
    }
    failures = 0;
    lastAnswerAtMs = nowMs;
  };
  const handleFailure = ({kind, message}: DirectoryError) => {
    failures += 1;
    metrics.count('directory_failed', kind);
    if (failures === 1) {
      log.warn('directory_lost', {kind, message, ...knowledge()});
    }
    if (needsFullRead(kind)) fullReadCause = kind;
  };
  /**
   * Adopts a later state from peers. Runs one request at a time and does not
   * delay calls to the source.
   */
  const adoptPeerSnapshot = async () => {
    if (isPeerRequestPending) return;
    isPeerRequestPending = true;
    // Without routes the node refuses every request. All peers are asked, because
    // those that start at the same time know no routes either.
    const isUrgent = !hasRequestedPeers && state$.value.table === undefined;
    hasRequestedPeers = true;
    const answer = await fetchPeerSnapshot(position, isUrgent).finally(() => {
      isPeerRequestPending = false;
    });
    if (answer === undefined || isClosed) return;
    if (!isLaterPosition(answer.position, position)) return;
    // The entries of some targets may also have lapsed at the peer.
    lapseGraceUntilMs = clock.monotonicMs() + LAPSE_GRACE_MS;
    applyFullState(answer, CHANGE_SOURCE.peer);
  };
  const startPeerRequest = () => {
    adoptPeerSnapshot().catch((error: Error) =>
      log.error('peer_question_failed', {message: error.message}),
    );
  };
  const snapshot = (): DirectoryAnswer | undefined => {
    const published = operatorChangesOf(state$.value);
    if (published === undefined) return undefined;
    return {
      changes: [...published.changes, ...targetChangesOf(state$.value)],
      position,
      operatorPosition: published.position,
    };
  };
  const adoptOperatorChanges = (
    {changes, position: operatorPosition}: OperatorChanges,
    from: ChangeSource,
  ) => applyAnswer({changes, operatorPosition}, false, from);
  const confirmOperatorPosition = (
    operatorPosition: StorePosition,
    ageMs: number,
  ) => {
    const {operatorPosition: known} = state$.value;
    if (comparePositions(operatorPosition, known) !== 0) return;
    freshness.recordOperatorConfirmation(clock.monotonicMs() - ageMs);
  };
  /** Returns the pause that full reads keep between each other, in milliseconds. */
  const fullReadPauseMs = () =>
    Math.max(
      0,
      lastFullReadAtMs + timing.minCallIntervalMs - clock.monotonicMs(),
    );
  /**
   * Handles an answer to a call that began at position `asked`; returns whether it is
   * applied.
   */
  const handleAnswer = (
    answer: DirectoryAnswer,
    isFullState: boolean,
    asked: StorePosition,
  ): boolean => {
    const history = historyOf(asked, answer.position);
    const lacksChanges = !isFullState && history !== HISTORY.continued;
    // The call may have begun before a peer sent a later state.
    const isOvertaken = position !== asked;
    const isOlder = isLaterPosition(position, answer.position);
    if (isOvertaken && (isOlder || lacksChanges)) {
      metrics.count('directory_answer_ignored', history);
      log.info('directory_answer_ignored', {
        history,
        era: answer.position.era,
        revision: answer.position.revision,
      });
      return false;
    }
    if (lacksChanges) {
      fullReadCause = history;
      return false;
    }
    if (isFullState) {
      applyFullState(answer, CHANGE_SOURCE.store);
      return true;
    }
    position = answer.position;
    applyAnswer(answer, false, CHANGE_SOURCE.store);
    return true;
  };
  /** Makes one call to the source; resolves to the pause before the next call, in milliseconds. */
  const callSource = async (): Promise<number> => {
    const startedAtMs = clock.monotonicMs();
    const asked = position;
    const isFullState = fullReadCause !== undefined;
    const answerMs = answerLimitMs(timing, failures);
    const isStarting = state$.value.table === undefined;
    const headStartTimer = isStarting
      ? setTimeout(startPeerRequest, SOURCE_HEAD_START_MS)
      : undefined;
    if (fullReadCause !== undefined) {
      lastFullReadAtMs = startedAtMs;
      metrics.count('directory_full_read', fullReadCause);
    }
    const answer = isFullState
      ? await source.read(answerMs * READ_TIMEOUT_FACTOR)
      : await source.watch(asked, {waitMs: timing.waitMs, answerMs});
    clearTimeout(headStartTimer);
    if (isClosed) return 0;
    if (answer.isErr()) {
      handleFailure(answer.error);
      // A full read that fails with the same kind must not be repeated without a pause.
      if (!isFullState && needsFullRead(answer.error.kind)) {
        return fullReadPauseMs();
      }
      startPeerRequest();
      return retryPauseMs(timing, failures, random());
    }
    handleSuccess();
    if (handleAnswer(answer.value, isFullState, asked)) {
      // The answer is at least as recent as the start of the call plus the time
      // that the source waited.
      const asOfMs = startedAtMs + (answer.value.waitedMs ?? 0);
      freshness.recordConfirmation(Math.min(clock.monotonicMs(), asOfMs));
    }
    if (isFullState) return 0;
    if (fullReadCause !== undefined) return fullReadPauseMs();
    const elapsedMs = clock.monotonicMs() - startedAtMs;
    return Math.max(0, timing.minCallIntervalMs - elapsedMs);
  };
  /**
   * Pauses for `ms` milliseconds; {@link Directory.pollSoon} and `close` can
   * end the pause early.
   */
  const pause = (ms: number) =>
    new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ms);
      endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    }).finally(() => {
      endPause = undefined;
    });
  /**
   * Returns whether to poll without the usual pause. While the source does not
   * answer, the pause is kept.
   */
  const isPromptPollDue = () => isPollRequested && failures === 0;
  /** Logs an exception, which must not end the following of the source; returns the pause before the next call. */
  const handleException = ({message, stack = ''}: Error): number => {
    failures += 1;
    fullReadCause ??= FULL_READ_AFTER_EXCEPTION;
    metrics.count('directory_exception');
    log.error('directory_exception', {message, stack});
    startPeerRequest();
    return retryPauseMs(timing, failures, random());
  };
  const followSource = async () => {
    while (!isClosed) {
      isPollRequested = false;
      const startedAtMs = clock.monotonicMs();
      const pauseMs = await callSource().catch(handleException);
      if (!isPromptPollDue()) await pause(pauseMs);
      if (isClosed || !isPromptPollDue()) continue;
      const elapsedMs = clock.monotonicMs() - startedAtMs;
      const remainingMs = Math.max(
        0,
        timing.minHintedCallIntervalMs - elapsedMs,
      );
      await new Promise(resolve => setTimeout(resolve, remainingMs));
    }
  };
  const pollSoon = () => {
    isPollRequested = true;
    if (isPromptPollDue()) endPause?.();
  };
  /**
   * Reads everything, at most once in each bound, while a version that another node has is
   * missing although the store answers: the changes after the position do not contain it.
   */
  const rereadIfBehind = () => {
    if (!versionWatch.check()) {
      if (fullReadCause === FULL_READ_WHEN_BEHIND) fullReadCause = undefined;
      return;
    }
    const nowMs = clock.monotonicMs();
    if (failures > 0 || nowMs < lastFullReadAtMs + changeBoundMs) return;
    fullReadCause ??= FULL_READ_WHEN_BEHIND;
    pollSoon();
  };
  followSource().catch((error: Error) =>
    log.error('directory_stopped', {message: error.message}),
  );
  const expiryTimer = setInterval(() => {
    publish(applier.expire(state$.value, times()));
    rereadIfBehind();
  }, 200);
  return {
    state$,
    current: () => state$.value,
    snapshot,
    operatorChanges: () => operatorChangesOf(state$.value),
    operatorAgeMs: freshness.operatorAgeMs,
    targetsConfirmed$: freshness.targetsConfirmed$,
    targetsAgeMs: freshness.targetsAgeMs,
    adoptOperatorChanges,
    confirmOperatorPosition,
    recordStatedRoutes: versionWatch.recordStated,
    pollSoon,
    claimPeerRequest: createPeerRequestTurns(clock).claim,
    status: () => ({
      ...freshness.status(),
      ...versionWatch.status(),
      store_era: position.era,
      store_revision: position.revision,
    }),
    close: () => {
      isClosed = true;
      endPause?.();
      clearInterval(expiryTimer);
      state$.complete();
    },
  };
}
