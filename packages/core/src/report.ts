/** Reports of target nodes, and types for adapter versions and node states. */

/** One version of an adapter. */
export interface AdapterVersion {
  readonly adapter: string;
  readonly version: string;
}

/** Returns the key of an adapter version in maps and logs: `adapter@version`. */
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

/** Usage of an adapter that is loaded, is being loaded or has waiting requests. */
export interface LoadedAdapter extends AdapterVersion {
  readonly active: number;
  readonly queued: number;
}

/** State of a target node, reported to entries with each answer. */
export interface TargetReport {
  readonly node: string;
  /** 128 random bits in hexadecimal, generated at the start of the process. */
  readonly incarnation: string;
  /** Incarnation of the engine; empty for a plain service. */
  readonly engineIncarnation: string;
  /** Monotonic clock of the node at the time of sending, in milliseconds. */
  readonly nodeClockMs: number;
  /** Number of the configuration revision in force at the node. */
  readonly revision: number;
  readonly state: NodeState;
  /** Number of requests that wait at the node. */
  readonly queued: number;
  /** Number of requests that run in the engine or service. */
  readonly active: number;
  /** Number of requests that the engine can run at the same time. */
  readonly batchSize: number;
  /** Number of adapters that the engine can hold at the same time. */
  readonly slots: number;
  readonly loaded: readonly LoadedAdapter[];
  /** Number of adapter loads that run or wait for a permit. */
  readonly loadsPending: number;
  /** Mean time that a request spends in the engine, in milliseconds. */
  readonly serviceMs: number;
}

/** Tolerances of a deployment that tune routing, slots and batching. */
export interface Tolerances {
  /** Cost of a millisecond of load stall relative to a millisecond of queueing; above 0. */
  readonly stallWeight: number;
  /** Maximum time that a request waits to join a fuller batch, in milliseconds. */
  readonly batchWaitMs: number;
}
