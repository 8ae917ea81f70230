/** Applies published changes to the state of a node. */
import {
  asDeparted,
  asKnownSince,
  HELD_BACK_MS,
  laterPosition,
  releasedTargets,
  replacesTable,
  withDepartures,
  withListedTargets,
  withoutDeparted,
  withoutExpired,
  withoutForgotten,
  withoutHeld,
  withoutTarget,
  withTarget,
  withTargets,
  type RegisteredTarget,
  type Registry,
} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';
import type {DirectoryAnswer, DirectoryChange} from './directorysource.js';
import {
  modelAdapterKey,
  withLaterVersions,
  type DirectoryState,
} from './directorystate.js';
import type {ChangeSource, FreshnessTracker} from './freshness.js';
import type {GatewayMetrics} from './metrics.js';

/** Monotonic times that decide which targets are kept, in milliseconds. */
export interface ChangeTimes {
  readonly nowMs: number;
  /** Time until which a removed target is kept as missing, because its entry may only have lapsed. */
  readonly lapseGraceUntilMs: number;
  /** Time of the last return of the store from an older copy; -Infinity before the first. */
  readonly restoredAtMs: number;
}

/** Changes to apply. */
export interface ChangeSet extends Pick<
  DirectoryAnswer,
  'changes' | 'operatorPosition'
> {
  /** Whether the changes contain everything that is published. */
  readonly isFullState: boolean;
  readonly source: ChangeSource;
}

/** Applies changes to states of one node. */
export interface ChangeApplier {
  /** Returns the state after the changes; versions that are not later are left out. */
  readonly apply: (
    state: DirectoryState,
    changes: ChangeSet,
    times: ChangeTimes,
  ) => DirectoryState;
  /**
   * Returns the state after times at which targets are removed or listed again. Returns
   * the same object if there are none, which lets the caller skip publishing it.
   */
  readonly expire: (
    state: DirectoryState,
    times: ChangeTimes,
  ) => DirectoryState;
}

/** Options of {@link createChangeApplier}. */
export interface ChangeApplierOptions {
  readonly freshness: FreshnessTracker;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Largest number of adapter versions that are logged one by one when they arrive together. */
const MAX_LOGGED_VERSIONS = 16;

/** Longest part of the key of an item that is logged, in characters. */
const MAX_LOGGED_CHARS = 80;

/** A declared version of an adapter, as published. */
type AdapterChange = Extract<DirectoryChange, {kind: 'adapter'}>;

/** Returns the state with another registry, and with the targets removed from it as departures. */
function withRegistry(
  state: DirectoryState,
  registry: Registry,
  nowMs: number,
): DirectoryState {
  if (registry === state.registry) return state;
  const departures = withDepartures(
    state.departures,
    state.registry,
    registry,
    nowMs,
  );
  return {...state, registry, departures};
}

/** Returns the state after a read of the whole list. */
function withList(
  state: DirectoryState,
  targets: readonly RegisteredTarget[],
  {nowMs, lapseGraceUntilMs, restoredAtMs}: ChangeTimes,
): DirectoryState {
  const isFromCopy = nowMs < restoredAtMs + HELD_BACK_MS;
  const {targets: listed, departures} = withoutDeparted(
    targets,
    state.departures,
    nowMs,
    restoredAtMs,
  );
  const registry = withListedTargets(
    state.registry,
    isFromCopy
      ? listed.map(target => asKnownSince(target, state.registry))
      : listed,
    nowMs,
    lapseGraceUntilMs,
  );
  return withRegistry({...state, departures}, registry, nowMs);
}

/** Creates an applier that logs changes and records their delays. */
export function createChangeApplier({
  freshness,
  log,
  metrics,
}: ChangeApplierOptions): ChangeApplier {
  /** Reason that was last logged, by key of the item. Only items of the operator have one. */
  const loggedReasons = new Map<string, string>();
  const logUnreadable = ({
    key,
    reason,
  }: Extract<DirectoryChange, {kind: 'unreadable'}>) => {
    if (reason === undefined) {
      log.warn('directory_unreadable', {key: key.slice(0, MAX_LOGGED_CHARS)});
      return;
    }
    // Each full read returns the item again.
    if (loggedReasons.get(key) === reason) return;
    loggedReasons.set(key, reason);
    log.warn('directory_unreadable', {key, reason});
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
  const applyTarget = (
    state: DirectoryState,
    id: string,
    target: RegisteredTarget | undefined,
    {nowMs, lapseGraceUntilMs}: ChangeTimes,
  ): DirectoryState => {
    const {registry, departures} = state;
    logTarget(registry, id, target);
    if (target === undefined) {
      return withRegistry(
        {...state, departures: withoutHeld(departures, id)},
        withoutTarget(registry, id, nowMs, lapseGraceUntilMs),
        nowMs,
      );
    }
    const next = withTarget(registry, asDeparted(target, departures));
    return withRegistry(state, next, nowMs);
  };
  /** Applies all versions at once, since each new map of versions is a copy of the one before. */
  const applyVersions = (
    state: DirectoryState,
    changes: readonly AdapterChange[],
    source: ChangeSource,
  ): DirectoryState => {
    const offered = changes.map(({model, adapter, version}) => ({
      key: modelAdapterKey(model, adapter),
      version,
    }));
    const {adapterVersions, later} = withLaterVersions(
      state.adapterVersions,
      offered,
    );
    if (later.length === 0) return state;
    if (later.length > MAX_LOGGED_VERSIONS) {
      log.info('adapter_versions', {
        later: later.length,
        known: adapterVersions.size,
        source,
      });
    } else {
      for (const {key, version} of later) {
        log.info('adapter_version', {adapter: key, version, source});
      }
    }
    return {...state, adapterVersions};
  };
  const applyChange = (
    state: DirectoryState,
    change: Exclude<DirectoryChange, AdapterChange>,
    source: ChangeSource,
    times: ChangeTimes,
  ): DirectoryState => {
    switch (change.kind) {
      case 'routes': {
        const {table} = change;
        if (!replacesTable(table, state.table)) return state;
        freshness.recordRoutesAdoption(table.version, source);
        return {...state, table};
      }
      case 'target':
        return applyTarget(state, change.id, change.target, times);
      case 'unreadable':
        metrics.count('directory_unreadable');
        logUnreadable(change);
        return state;
    }
  };
  const expire = (state: DirectoryState, times: ChangeTimes) => {
    const {nowMs, restoredAtMs} = times;
    const released = releasedTargets(state.departures, nowMs, restoredAtMs);
    let registry = withoutExpired(state.registry, nowMs);
    for (const target of released.targets) {
      logTarget(registry, target.id, target);
    }
    registry = withTargets(
      registry,
      released.targets.map(target => asDeparted(target, released.departures)),
    );
    const departures = withoutForgotten(released.departures, nowMs);
    const isSame = departures === state.departures;
    return withRegistry(
      isSame ? state : {...state, departures},
      registry,
      nowMs,
    );
  };
  const apply = (
    state: DirectoryState,
    {changes, operatorPosition, isFullState, source}: ChangeSet,
    times: ChangeTimes,
  ) => {
    let next = state;
    let remainingChanges = changes;
    if (isFullState) {
      const targets = changes.flatMap(change =>
        change.kind === 'target' && change.target ? [change.target] : [],
      );
      next = withList(next, targets, times);
      remainingChanges = changes.filter(({kind}) => kind !== 'target');
    }
    const versions: AdapterChange[] = [];
    for (const change of remainingChanges) {
      if (change.kind === 'adapter') versions.push(change);
      else next = applyChange(next, change, source, times);
    }
    next = applyVersions(next, versions, source);
    if (operatorPosition !== undefined) {
      const later = laterPosition(next.operatorPosition, operatorPosition);
      if (later !== next.operatorPosition) {
        next = {...next, operatorPosition: later};
      }
    }
    return expire(next, times);
  };
  return {apply, expire};
}
