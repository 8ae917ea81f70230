/** Published state as known to a node. */
import {
  adapterVersionDigest,
  START_POSITION,
  versionsDigest,
  type Departures,
  type KnownChanges,
  type Registry,
  type RouteTable,
  type StorePosition,
} from '@balsamnotch/core';
import type {DirectoryChange} from './directorysource.js';

/** Routes and adapter versions that the operator published, up to a position. */
export interface OperatorChanges {
  readonly position: StorePosition;
  readonly changes: readonly DirectoryChange[];
}

/** Published routes, targets and adapter versions known to this node. */
export interface DirectoryState {
  /** Current route table; absent until the first is known. */
  readonly table?: RouteTable;
  readonly registry: Registry;
  /** Targets that were removed from the registry. */
  readonly departures: Departures;
  /** Newest declared version of each adapter; see {@link modelAdapterKey} for the key. */
  readonly adapterVersions: ReadonlyMap<string, number>;
  /**
   * Position of the last known operator change. Versions that the store lost when
   * it returned from an older copy stay in force, whatever their position was.
   */
  readonly operatorPosition: StorePosition;
}

/** Returns the key of an adapter of a model: `model/adapter`. */
export function modelAdapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

/** Initial state, before anything is known. */
export const EMPTY_DIRECTORY: DirectoryState = {
  registry: new Map(),
  departures: new Map(),
  adapterVersions: new Map(),
  operatorPosition: START_POSITION,
};

/** Digests by versions of adapters; every message to another node has one. */
const digests = new WeakMap<DirectoryState['adapterVersions'], number>();

function adaptersDigest(
  adapterVersions: DirectoryState['adapterVersions'],
): number {
  const known = digests.get(adapterVersions);
  if (known !== undefined) return known;
  const digest = versionsDigest(undefined, adapterVersions);
  digests.set(adapterVersions, digest);
  return digest;
}

/** A declared version of an adapter. */
export interface AdapterVersion {
  /** See {@link modelAdapterKey}. */
  readonly key: string;
  readonly version: number;
}

/** Returns the versions with those that are later, and which these are. */
export function withLaterVersions(
  known: DirectoryState['adapterVersions'],
  offered: readonly AdapterVersion[],
): {
  readonly adapterVersions: DirectoryState['adapterVersions'];
  readonly later: readonly AdapterVersion[];
} {
  const later = offered.filter(
    ({key, version}) => version > (known.get(key) ?? 0),
  );
  if (later.length === 0) return {adapterVersions: known, later};
  const next = new Map(known);
  let digest = adaptersDigest(known);
  for (const {key, version} of later) {
    const previous = next.get(key);
    if (previous !== undefined) {
      if (version <= previous) continue;
      digest ^= adapterVersionDigest(key, previous);
    }
    digest ^= adapterVersionDigest(key, version);
    next.set(key, version);
  }
  digests.set(next, digest >>> 0);
  return {adapterVersions: next, later};
}

/** Returns what nodes compare to find out which of them lacks changes. */
export function knownChangesOf({
  table,
  adapterVersions,
  operatorPosition,
}: DirectoryState): KnownChanges {
  const routesDigest = versionsDigest(table?.version, new Map());
  const digest = (routesDigest ^ adaptersDigest(adapterVersions)) >>> 0;
  return {
    position: operatorPosition,
    digest,
    routesVersion: table?.version ?? 0,
  };
}

/** Returns the operator's changes in a state; undefined before the first route table. */
export function operatorChangesOf({
  table,
  adapterVersions,
  operatorPosition,
}: DirectoryState): OperatorChanges | undefined {
  if (table === undefined) return undefined;
  const changes: DirectoryChange[] = [{kind: 'routes', table}];
  for (const [key, version] of adapterVersions) {
    const [model = '', adapter = ''] = key.split('/');
    changes.push({kind: 'adapter', model, adapter, version});
  }
  return {changes, position: operatorPosition};
}

/** Returns the listed targets, without those whose entries are missing. */
export function targetChangesOf({
  registry,
}: DirectoryState): readonly DirectoryChange[] {
  const changes: DirectoryChange[] = [];
  for (const [id, {target, missingUntilMs}] of registry) {
    if (missingUntilMs === 0) changes.push({kind: 'target', id, target});
  }
  return changes;
}
