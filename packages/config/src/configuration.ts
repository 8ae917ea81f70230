/** Types of a deployment's configuration, as operators publish it and nodes put it in force. */
import type {Tolerances} from '@balsamnotch/core';

/** An adapter with its versions. */
export interface Adapter {
  readonly name: string;
  /** Group that permissions refer to. */
  readonly group: string;
  readonly baseModel: string;
  readonly versions: readonly string[];
  /** Version that a request without a version gets. */
  readonly current: string;
}

/** One operation of a plain service. */
export interface Operation {
  readonly name: string;
  /** True when the operation is idempotent and may be sent again. */
  readonly repeatable: boolean;
}

/** A service with its targets' kind. */
export interface Service {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  /** Number of targets declared; shares of the weight store limit divide by it. */
  readonly targets: number;
  /** Base model of a model service; empty otherwise. */
  readonly baseModel: string;
  /** Operations of a plain service; empty otherwise. */
  readonly operations: readonly Operation[];
  /** Requests that may wait at one target. */
  readonly queueLimit: number;
}

/** A caller with its permissions. */
export interface Caller {
  readonly name: string;
  /** SHA-256 of the caller's key, hexadecimal. */
  readonly keySha256: string;
  /** Adapter groups that the caller may use. */
  readonly groups: readonly string[];
  /** Plain services that the caller may use. */
  readonly services: readonly string[];
  /** Requests a second over all entries. */
  readonly requestsPerSecond: number;
}

/** Limits of the weight store. */
export interface WeightStoreLimit {
  readonly loadsPerSecond: number;
  /** Loads at once at full speed. */
  readonly burst: number;
  /** Time of one load, in milliseconds, while at most `maxInFlight` run. */
  readonly loadMs: number;
  readonly maxInFlight: number;
}

/** Configuration in force at a node, put together from one manifest and its values. */
export interface Configuration {
  readonly deployment: string;
  readonly revision: number;
  readonly failureDomains: readonly string[];
  readonly services: readonly Service[];
  readonly callers: readonly Caller[];
  readonly tolerances: Tolerances;
  readonly weightStore: WeightStoreLimit;
  readonly adapters: ReadonlyMap<string, Adapter>;
}
