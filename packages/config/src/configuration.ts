/** Types of a deployment's configuration, which operators publish and nodes adopt. */
import type {Tolerances} from '@balsamnotch/core';

/** An adapter with its versions. */
export interface Adapter {
  readonly name: string;
  /** Group that callers' permissions refer to. */
  readonly group: string;
  readonly baseModel: string;
  readonly versions: readonly string[];
  /** Version used for requests that specify none. */
  readonly current: string;
}

/** One operation of a plain service. */
export interface Operation {
  readonly name: string;
  /** Whether the operation is idempotent and may be sent again. */
  readonly repeatable: boolean;
}

/** A service: one base model with its adapters, or a plain service. */
export interface Service {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  /**
   * Number of declared targets. The weight store limit is divided evenly among
   * the declared targets of all model services.
   */
  readonly targets: number;
  /** Base model of a model service; empty otherwise. */
  readonly baseModel: string;
  /** Operations of a plain service; empty otherwise. */
  readonly operations: readonly Operation[];
  /** Maximum number of requests that wait at one target. */
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
  /** Rate limit in requests per second, over all entries together. */
  readonly requestsPerSecond: number;
}

/** Limits of the weight store. */
export interface WeightStoreLimit {
  readonly loadsPerSecond: number;
  /** Number of loads that may start at once, before `loadsPerSecond` limits them. */
  readonly burst: number;
  /** Duration of one load in milliseconds, while at most `maxInFlight` loads run. */
  readonly loadMs: number;
  readonly maxInFlight: number;
}

/** A complete configuration, assembled from one manifest and its values. */
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
