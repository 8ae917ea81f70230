/** The questionnaire that a team answers to set up a deployment. */
import type {Service, WeightStoreLimit} from './configuration.js';

/** Minimum number of digits in the names that an adapter pattern generates. */
const PATTERN_MIN_DIGITS = 4;

/** What the deployment favors when capacity is short. */
export const PRIORITY = {
  /** A load stall costs more than queueing, so popular adapters stay loaded. */
  loadStalls: 'load_stalls',
  balanced: 'balanced',
  /** A short wait is acceptable if it fills batches. */
  batchEfficiency: 'batch_efficiency',
} as const;

/** One of the values of {@link PRIORITY}. */
export type Priority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** One adapter in the questionnaire. */
export interface SingleAdapter {
  readonly name: string;
  readonly group: string;
  /** Default: the base model of the only model service. */
  readonly baseModel?: string;
  readonly versions: readonly string[];
  /** Default: the last of `versions`. */
  readonly current?: string;
}

/** Adapters `{prefix}0001` to `{prefix}{count}`, which differ only in name. */
export interface AdapterPattern extends Omit<SingleAdapter, 'name'> {
  readonly prefix: string;
  readonly count: number;
}

/** A caller in the questionnaire, with exactly one of `key` and `keySha256`. */
export interface CallerAnswer {
  readonly name: string;
  /** Key in plaintext; for examples only. */
  readonly key?: string;
  /** SHA-256 of the key, hexadecimal. */
  readonly keySha256?: string;
  readonly groups: readonly string[];
  readonly services: readonly string[];
  /** Rate limit in requests per second, over all entries together. */
  readonly requestsPerSecond: number;
}

/** A priority, and tolerances that override the defaults of that priority. */
export interface ToleranceAnswer {
  readonly priority: Priority;
  /** Weight of 1 ms of load stall relative to 1 ms of queueing; above 0. */
  readonly stallWeight?: number;
  /** Time that a request may wait to join a fuller batch, in milliseconds. */
  readonly batchWaitMs?: number;
}

/** Answers from which a configuration is generated. */
export interface Questionnaire {
  readonly deployment: string;
  readonly revision: number;
  readonly failureDomains: readonly string[];
  /** Number of entry VMs. */
  readonly entries: number;
  readonly services: readonly Service[];
  readonly adapters: readonly (SingleAdapter | AdapterPattern)[];
  readonly callers: readonly CallerAnswer[];
  readonly weightStore: WeightStoreLimit;
  readonly tolerances: ToleranceAnswer;
}

/** Returns the names of the adapters that one answer declares, in order. */
export function adapterNames(
  answer: SingleAdapter | AdapterPattern,
): readonly string[] {
  if ('name' in answer) return [answer.name];
  return Array.from(
    {length: answer.count},
    (_, index) =>
      `${answer.prefix}${String(index + 1).padStart(PATTERN_MIN_DIGITS, '0')}`,
  );
}
