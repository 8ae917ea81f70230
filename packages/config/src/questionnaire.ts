/** The questionnaire that a new team answers. */
import type {Service, WeightStoreLimit} from './configuration.js';

/** Least digits of the number in the name of a patterned adapter. */
const PATTERN_DIGITS = 4;

/** What the deployment prefers when the fleet is short of capacity. */
export const PRIORITY = {
  /** A load stall costs more than queueing: popular adapters stay where they are loaded. */
  loadStalls: 'load_stalls',
  balanced: 'balanced',
  /** A short wait is acceptable when it fills batches. */
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

/** Adapters `{prefix}0001` to `{prefix}{count}` that are alike. */
export interface AdapterPattern extends Omit<SingleAdapter, 'name'> {
  readonly prefix: string;
  readonly count: number;
}

/** A caller in the questionnaire; it has either `key` or `keySha256`. */
export interface CallerAnswer {
  readonly name: string;
  /** Key in plain text, for examples only. */
  readonly key?: string;
  readonly keySha256?: string;
  readonly groups: readonly string[];
  readonly services: readonly string[];
  /** Requests a second over all entries. */
  readonly requestsPerSecond: number;
}

/** Tolerances: a priority, or figures that replace those of the priority. */
export interface ToleranceAnswer {
  readonly priority: Priority;
  readonly stallWeight?: number;
  /** Milliseconds. */
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

/** Names of the adapters of one answer, in order. */
export function adapterNames(
  answer: SingleAdapter | AdapterPattern,
): readonly string[] {
  if ('name' in answer) return [answer.name];
  return Array.from(
    {length: answer.count},
    (_, index) =>
      `${answer.prefix}${String(index + 1).padStart(PATTERN_DIGITS, '0')}`,
  );
}
