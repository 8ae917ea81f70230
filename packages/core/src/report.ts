/** Reports of target nodes, and the names of adapters, versions and node states. */

/** An adapter in one of its versions. */
export interface AdapterVersion {
  readonly adapter: string;
  readonly version: string;
}

/** Key of an adapter version in maps and logs: `adapter@version`. */
export function adapterKey({adapter, version}: AdapterVersion): string {
  return `${adapter}@${version}`;
}

/** States of a node. */
export const NODE_STATE = {
  starting: 'starting',
  serving: 'serving',
  leaving: 'leaving',
} as const;

/** One of the values of {@link NODE_STATE}. */
export type NodeState = (typeof NODE_STATE)[keyof typeof NODE_STATE];

/** Use of one adapter that is loaded, being loaded or waited for. */
export interface LoadedAdapter extends AdapterVersion {
  readonly active: number;
  readonly queued: number;
}

/** State of a target node as it reports it on each answer. */
export interface TargetReport {
  readonly node: string;
  /** 128 random bits in hexadecimal, drawn at the start of the process. */
  readonly incarnation: string;
  /** Incarnation of the engine; empty beside a plain service. */
  readonly engineIncarnation: string;
  /** Monotonic clock of the node when it sent the report, in milliseconds. */
  readonly nodeClockMs: number;
  readonly revision: number;
  readonly state: NodeState;
  /** Requests that wait at the node. */
  readonly queued: number;
  /** Requests in the engine or service. */
  readonly active: number;
  /** Requests that the engine runs at once. */
  readonly batchSize: number;
  /** Adapters that the engine holds at once. */
  readonly slots: number;
  readonly loaded: readonly LoadedAdapter[];
  /** Loads that wait for a permit or run. */
  readonly loadsPending: number;
  /** Mean time of a request in the engine, in milliseconds. */
  readonly serviceMs: number;
}

/** Deployment tolerances that shape routing, slots and batching. */
export interface Tolerances {
  /** Weight of a millisecond of load stall against one of queueing, above 0. */
  readonly stallWeight: number;
  /** Time that a request may wait to join a fuller batch, in milliseconds. */
  readonly batchWaitMs: number;
}
