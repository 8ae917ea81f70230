/**
 * Follows the routes, targets and adapter versions that the platform publishes,
 * also through outages of its store.
 */
import {BehaviorSubject, type Observable} from 'rxjs';
import {
  LAPSE_GRACE_MS,
  answerLimitMs,
  retryPauseMs,
  pollTiming,
  withListedTargets,
  withTarget,
  withoutExpired,
  withoutTarget,
  type Clock,
  type FollowTiming,
  type RegisteredTarget,
  type Registry,
} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';
import {
  CHANGE_SOURCE,
  createFreshnessTracker,
  type ChangeSource,
} from './freshness.js';
import type {
  DirectoryAnswer,
  DirectoryChange,
  DirectoryError,
  DirectorySource,
} from './directorysource.js';
import {
  EMPTY_DIRECTORY,
  modelAdapterKey,
  operatorChangesOf,
  targetChangesOf,
  type DirectoryState,
  type OperatorChanges,
} from './directorystate.js';
import type {GatewayMetrics} from './metrics.js';

/** Directory of published routes, targets and adapter versions. */
export interface Directory {
  readonly state$: Observable<DirectoryState>;
  readonly current: () => DirectoryState;
  /**
   * Returns the whole state and its revision for a peer; undefined before the
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
   * Applies the operator's changes as another node knows them; ignores those
   * that are not later.
   */
  readonly adoptOperatorChanges: (
    published: OperatorChanges,
    source: ChangeSource,
  ) => void;
  /**
   * Records that, as of `ageMs` milliseconds ago, another node knew no operator
   * change after the revision. Ignored if this node is at another revision.
   */
  readonly confirmOperatorRevision: (
    operatorRevision: number,
    ageMs: number,
  ) => void;
  /** Polls the source earlier than planned, because another node knows a later operator change. */
  readonly pollSoon: () => void;
  /**
   * Limits requests for the operator's changes to one stream per
   * {@link PEER_REQUEST_INTERVAL_MS}; returns whether this stream may send one now.
   * The stream that sent the last request waits twice as long, which gives
   * other streams a turn when its node does not answer.
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
    afterRevision: number,
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

/**
 * Minimum time between requests to other nodes for the operator's changes, in
 * milliseconds. Nodes are asked one at a time, because an answer of 1 MB takes
 * a second on a narrow link.
 */
const PEER_REQUEST_INTERVAL_MS = 1_000;

/** Returns whether the source cannot return the changes after a revision, which requires a full read. */
function needsFullRead(kind: DirectoryError['kind']): boolean {
  return kind === 'no_history' || kind === 'oversized';
}

/**
 * Removes missing targets whose grace period has ended. Returns the same object
 * if there are none, which lets the caller skip publishing it.
 */
function withoutExpiredTargets(
  state: DirectoryState,
  nowMs: number,
): DirectoryState {
  const registry = withoutExpired(state.registry, nowMs);
  return registry === state.registry ? state : {...state, registry};
}

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
  });
  const state$ = new BehaviorSubject<DirectoryState>(EMPTY_DIRECTORY);
  /** Revision up to which all changes are known; never decreases. */
  let revision = 0;
  let isFullReadNeeded = true;
  let lastAnswerAtMs = clock.monotonicMs();
  /**
   * Monotonic time in milliseconds until which a removed target is kept as missing,
   * because its entry may only have lapsed.
   */
  let lapseGraceUntilMs = 0;
  /** Number of consecutive failed calls. */
  let failures = 0;
  let isPollRequested = false;
  let isPeerRequestPending = false;
  let hasRequestedPeers = false;
  let lastPeerRequestAtMs = -Infinity;
  let lastRequestStream: object | undefined;
  let endPause: (() => void) | undefined;
  let isClosed = false;

  const publish = (state: DirectoryState) => {
    if (state !== state$.value) state$.next(state);
  };
  const applyChange = (
    state: DirectoryState,
    change: DirectoryChange,
    nowMs: number,
    source: ChangeSource,
  ): DirectoryState => {
    switch (change.kind) {
      case 'routes': {
        const {table} = change;
        if (table.version <= (state.table?.version ?? -1)) return state;
        freshness.recordRoutesAdoption(table.version, source);
        return {...state, table};
      }
      case 'target': {
        const {target, id} = change;
        logTarget(state.registry, id, target);
        const registry =
          target === undefined
            ? withoutTarget(state.registry, id, nowMs, lapseGraceUntilMs)
            : withTarget(state.registry, target);
        return {...state, registry};
      }
      case 'adapter': {
        const key = modelAdapterKey(change.model, change.adapter);
        const knownVersion = state.adapterVersions.get(key) ?? 0;
        if (change.version <= knownVersion) return state;
        log.info('adapter_version', {
          adapter: key,
          version: change.version,
          source,
        });
        const adapterVersions = new Map(state.adapterVersions);
        return {
          ...state,
          adapterVersions: adapterVersions.set(key, change.version),
        };
      }
      case 'unreadable':
        metrics.count('directory_unreadable');
        log.warn('directory_unreadable', {key: change.key.slice(0, 80)});
        return state;
    }
  };
  const logTarget = (
    registry: Registry,
    id: string,
    target: RegisteredTarget | undefined,
  ) => {
    const previous = registry.get(id)?.target;
    if (previous !== undefined && previous.leaving === target?.leaving) return;
    if (previous === undefined && target === undefined) return;
    const state =
      target === undefined ? 'removed' : target.leaving ? 'leaving' : 'listed';
    log.info('target', {
      id,
      state,
      service: (target ?? previous)?.service ?? '',
    });
  };
  const applyAnswer = (
    {changes, operatorRevision = 0}: Omit<DirectoryAnswer, 'revision'>,
    isFullState: boolean,
    source: ChangeSource,
  ) => {
    const nowMs = clock.monotonicMs();
    let state = state$.value;
    if (isFullState) {
      const listed = changes.flatMap(change =>
        change.kind === 'target' && change.target ? [change.target] : [],
      );
      const registry = withListedTargets(
        state.registry,
        listed,
        nowMs,
        lapseGraceUntilMs,
      );
      state = {...state, registry};
    }
    const remainingChanges = isFullState
      ? changes.filter(({kind}) => kind !== 'target')
      : changes;
    for (const change of remainingChanges) {
      state = applyChange(state, change, nowMs, source);
    }
    if (operatorRevision > state.operatorRevision) {
      state = {...state, operatorRevision};
    }
    publish(withoutExpiredTargets(state, nowMs));
  };
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
      });
    }
    failures = 0;
    lastAnswerAtMs = nowMs;
  };
  const handleFailure = ({kind, message}: DirectoryError) => {
    failures += 1;
    metrics.count('directory_failed', kind);
    if (failures === 1) log.warn('directory_lost', {kind, message});
    if (needsFullRead(kind)) isFullReadNeeded = true;
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
    const answer = await fetchPeerSnapshot(revision, isUrgent).finally(() => {
      isPeerRequestPending = false;
    });
    if (answer === undefined || isClosed) return;
    if (answer.revision <= revision) return;
    revision = answer.revision;
    isFullReadNeeded = false;
    // The entries of some targets may also have lapsed at the peer.
    lapseGraceUntilMs = clock.monotonicMs() + LAPSE_GRACE_MS;
    applyAnswer(answer, true, CHANGE_SOURCE.peer);
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
      revision,
      operatorRevision: published.revision,
    };
  };
  const adoptOperatorChanges = (
    published: OperatorChanges,
    from: ChangeSource,
  ) => {
    if (published.revision <= state$.value.operatorRevision) return;
    const {changes, revision: operatorRevision} = published;
    applyAnswer({changes, operatorRevision}, false, from);
  };
  const confirmOperatorRevision = (operatorRevision: number, ageMs: number) => {
    if (operatorRevision !== state$.value.operatorRevision) return;
    freshness.recordOperatorConfirmation(clock.monotonicMs() - ageMs);
  };
  /** Makes one call to the source; resolves to the pause before the next call, in milliseconds. */
  const callSource = async (): Promise<number> => {
    const startedAtMs = clock.monotonicMs();
    const isFullState = isFullReadNeeded;
    const answerMs = answerLimitMs(timing, failures);
    const isStarting = state$.value.table === undefined;
    const headStartTimer = isStarting
      ? setTimeout(startPeerRequest, SOURCE_HEAD_START_MS)
      : undefined;
    const answer = isFullState
      ? await source.read(answerMs * READ_TIMEOUT_FACTOR)
      : await source.watch(revision, {waitMs: timing.waitMs, answerMs});
    clearTimeout(headStartTimer);
    if (isClosed) return 0;
    if (answer.isErr()) {
      handleFailure(answer.error);
      // A full read that fails with the same kind must not be repeated without a pause.
      if (!isFullState && needsFullRead(answer.error.kind)) return 0;
      startPeerRequest();
      return retryPauseMs(timing, failures, random());
    }
    handleSuccess();
    // Meanwhile, a peer may have sent a later state.
    if (answer.value.revision >= revision) {
      revision = answer.value.revision;
      isFullReadNeeded = false;
      applyAnswer(answer.value, isFullState, CHANGE_SOURCE.store);
      // The answer is at least as recent as the start of the call plus the time
      // that the source waited.
      const asOfMs = startedAtMs + (answer.value.waitedMs ?? 0);
      freshness.recordConfirmation(Math.min(clock.monotonicMs(), asOfMs));
    }
    const elapsedMs = clock.monotonicMs() - startedAtMs;
    return isFullState ? 0 : Math.max(0, timing.minCallIntervalMs - elapsedMs);
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
  const followSource = async () => {
    while (!isClosed) {
      isPollRequested = false;
      const startedAtMs = clock.monotonicMs();
      const pauseMs = await callSource();
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
  const claimPeerRequest = (stream: object) => {
    const nowMs = clock.monotonicMs();
    const minIntervalMs =
      stream === lastRequestStream
        ? 2 * PEER_REQUEST_INTERVAL_MS
        : PEER_REQUEST_INTERVAL_MS;
    if (nowMs - lastPeerRequestAtMs < minIntervalMs) return false;
    lastPeerRequestAtMs = nowMs;
    lastRequestStream = stream;
    return true;
  };
  followSource().catch((error: Error) =>
    log.error('directory_stopped', {message: error.message}),
  );
  const expiryTimer = setInterval(() => {
    publish(withoutExpiredTargets(state$.value, clock.monotonicMs()));
  }, 200);
  return {
    state$,
    current: () => state$.value,
    snapshot,
    operatorChanges: () => operatorChangesOf(state$.value),
    operatorAgeMs: freshness.operatorAgeMs,
    adoptOperatorChanges,
    confirmOperatorRevision,
    pollSoon,
    claimPeerRequest,
    status: freshness.status,
    close: () => {
      isClosed = true;
      endPause?.();
      clearInterval(expiryTimer);
      state$.complete();
    },
  };
}
