/** Published state as known to a node. */
import type {Registry, RouteTable} from '@balsamnotch/core';
import type {DirectoryChange} from './directorysource.js';

/** Routes and adapter versions that the operator published, up to a revision. */
export interface OperatorChanges {
  readonly revision: number;
  readonly changes: readonly DirectoryChange[];
}

/** Published routes, targets and adapter versions known to this node. */
export interface DirectoryState {
  /** Current route table; absent until the first is known. */
  readonly table?: RouteTable;
  readonly registry: Registry;
  /** Newest declared version of each adapter; see {@link modelAdapterKey} for the key. */
  readonly adapterVersions: ReadonlyMap<string, number>;
  /** Revision of the last known operator change; 0 before the first. */
  readonly operatorRevision: number;
}

/** Returns the key of an adapter of a model: `model/adapter`. */
export function modelAdapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

/** Initial state, before anything is known. */
export const EMPTY_DIRECTORY: DirectoryState = {
  registry: new Map(),
  adapterVersions: new Map(),
  operatorRevision: 0,
};

/** Returns the operator's changes in a state; undefined before the first route table. */
export function operatorChangesOf({
  table,
  adapterVersions,
  operatorRevision,
}: DirectoryState): OperatorChanges | undefined {
  if (table === undefined) return undefined;
  const changes: DirectoryChange[] = [{kind: 'routes', table}];
  for (const [key, version] of adapterVersions) {
    const [model = '', adapter = ''] = key.split('/');
    changes.push({kind: 'adapter', model, adapter, version});
  }
  return {changes, revision: operatorRevision};
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
