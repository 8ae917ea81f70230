/** Records of engine crashes, as nodes exchange them. */
import {hash32} from './rendezvous.js';

/**
 * Returns the parts of a prompt that other requests may name as well. The last part belongs to
 * the request or its session alone.
 */
export function sharedPartsOf(
  promptParts: readonly string[],
): readonly string[] {
  return promptParts.slice(0, -1);
}

/** A request that an engine was working on when it crashed. */
export interface CrashSuspect {
  /** Shared parts of its prompt, in order. */
  readonly parts: readonly string[];
  /** Id of the part that belongs to the request or its session alone. */
  readonly session: string;
}

/** Recent answers of one engine to requests with a part. */
export interface PartAnswers {
  readonly count: number;
  /** Monotonic time of the last one, in milliseconds; -Infinity if there is none. */
  readonly lastAtMs: number;
}

/** A crash of one engine, as its target node recorded it. */
export interface CrashRecord {
  /** Names the engine and its incarnation. */
  readonly key: string;
  /** Increases whenever the target node learns more about the crash. */
  readonly version: number;
  /** Monotonic time of the crash at this node, in milliseconds. */
  readonly atMs: number;
  /** Empty if the engine turned out not to have crashed. */
  readonly suspects: readonly CrashSuspect[];
  /**
   * Whether the engine had begun to answer the suspects. Requests that it had not begun to
   * answer are left out then.
   */
  readonly hasBegun: boolean;
  /** Recent answers of the engine before the crash. */
  readonly answers: number;
  /** Those to requests with each part of the suspects. */
  readonly partAnswers: ReadonlyMap<string, PartAnswers>;
}

/** Returns the key of the crash of an engine's incarnation. */
export function crashKey(engine: string, incarnationMs: number): string {
  return `${engine}/${incarnationMs}`;
}

/** Returns the engine that a crash key names. */
export function engineOf(key: string): string {
  return key.slice(0, key.lastIndexOf('/'));
}

/** Returns the incarnation that a crash key names, in Unix milliseconds. */
export function incarnationOf(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}

/** Returns a number by which two nodes find out whether they have the same records; 0 for none. */
export function crashDigest(records: ReadonlyMap<string, CrashRecord>): number {
  let digest = 0;
  for (const {key, version} of records.values()) {
    digest ^= hash32(`${key}#${version}`);
  }
  return digest >>> 0;
}
