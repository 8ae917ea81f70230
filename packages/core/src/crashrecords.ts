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

/** Begins the ids that stand for whole requests; no id of a part of a prompt contains it. */
const REQUEST_MARK = ':';

/**
 * Returns the id of a whole request among the parts of a suspect. `digest` is of everything that
 * makes two requests the same.
 */
export function requestPart(digest: string): string {
  return `${REQUEST_MARK}${digest}`;
}

/** Returns whether an id among the parts of a suspect stands for a whole request. */
export function isRequestPart(part: string): boolean {
  return part.startsWith(REQUEST_MARK);
}

/** Version of records by entries, which are merged instead of replaced by a later version. */
export const MERGED_VERSION = 0;

/** Maximum number of suspects of one crash; bounds the size of its record. */
export const MAX_SUSPECTS = 32;

/** A request that a target was working on when it crashed. */
export interface CrashSuspect {
  /**
   * Shared parts of its prompt, in order, and the id of the whole request, see
   * {@link requestPart}. A request that had been answered in part has the latter only.
   */
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

/** A crash of one target, as its target node or, without one, the entries recorded it. */
export interface CrashRecord {
  /** Names the target node of the engine, or the target without one, and its incarnation. */
  readonly key: string;
  /**
   * Increases whenever the target node learns more about the crash; {@link MERGED_VERSION} for
   * the records of entries, of which each names the requests that one entry sent.
   */
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

/** Returns whether a request is among the suspects of a crash. */
export function namesRequest(
  {suspects}: CrashRecord,
  request: string,
): boolean {
  return suspects.some(({parts}) => parts.includes(request));
}

/**
 * Returns whether a request was answered after the crash. The time of such an answer is kept as
 * that of the crash.
 */
export function isAnsweredSince(record: CrashRecord, request: string): boolean {
  const lastAtMs = record.partAnswers.get(request)?.lastAtMs ?? -Infinity;
  return lastAtMs >= record.atMs;
}

/** Returns the requests that were answered after the crash. */
export function answeredSince(record: CrashRecord): readonly string[] {
  return [...record.partAnswers.keys()].filter(
    part => isRequestPart(part) && isAnsweredSince(record, part),
  );
}

/** Returns the record with a request marked as answered since; the same record if it was. */
export function withRequestAnswer(
  record: CrashRecord,
  request: string,
): CrashRecord {
  if (isAnsweredSince(record, request)) return record;
  const answer: PartAnswers = {count: 1, lastAtMs: record.atMs};
  return {
    ...record,
    partAnswers: new Map(record.partAnswers).set(request, answer),
  };
}

/**
 * Returns the suspects that a record keeps of more than {@link MAX_SUSPECTS}. Which ones does not
 * depend on the order in which they were learnt, and differs from crash to crash, so that no
 * request is left out each time.
 */
export function keptSuspects(
  key: string,
  suspects: readonly CrashSuspect[],
): readonly CrashSuspect[] {
  if (suspects.length <= MAX_SUSPECTS) return suspects;
  const rank = ({session}: CrashSuspect) => hash32(`${key}#${session}`);
  return [...suspects].sort((a, b) => rank(a) - rank(b)).slice(0, MAX_SUSPECTS);
}

/**
 * Returns what two records of one crash say together; `known` itself if the other one adds
 * nothing. The later version of a target node's record replaces the earlier one. Records of
 * entries are merged, and so are answers to requests since the crash, which entries see.
 */
export function mergedRecord(
  known: CrashRecord,
  other: CrashRecord,
): CrashRecord {
  let merged = other.version > known.version ? other : known;
  const isMerged =
    known.version === MERGED_VERSION && other.version === MERGED_VERSION;
  if (isMerged) {
    const sessions = new Set(known.suspects.map(({session}) => session));
    const added = other.suspects.filter(({session}) => !sessions.has(session));
    const suspects = keptSuspects(known.key, [...known.suspects, ...added]);
    const isNew = suspects.some(({session}) => !sessions.has(session));
    if (isNew) {
      const partAnswers = new Map([...other.partAnswers, ...known.partAnswers]);
      const parts = new Set(suspects.flatMap(suspect => suspect.parts));
      for (const part of partAnswers.keys()) {
        if (!parts.has(part)) partAnswers.delete(part);
      }
      const atMs = Math.min(known.atMs, other.atMs);
      // An answer since the crash stays one when its time becomes earlier.
      merged = {...known, atMs, suspects, partAnswers};
    }
  }
  const named = new Set(merged.suspects.flatMap(({parts}) => parts));
  for (const request of [...answeredSince(known), ...answeredSince(other)]) {
    if (named.has(request)) merged = withRequestAnswer(merged, request);
  }
  return merged;
}

/** Digests by record; messages that compare records state them. */
const digests = new WeakMap<CrashRecord, number>();

/** Returns a number by which two nodes find out whether they have the same record. */
export function recordDigest(record: CrashRecord): number {
  const computed = digests.get(record);
  if (computed !== undefined) return computed;
  const {key, version, suspects} = record;
  let digest = hash32(`${key}#${version}`);
  if (version === MERGED_VERSION) {
    for (const {session} of suspects) digest ^= hash32(`${key}#${session}`);
  }
  for (const request of answeredSince(record)) {
    digest ^= hash32(`${key}#${request}#answered`);
  }
  digests.set(record, digest >>> 0);
  return digest >>> 0;
}

/** Returns a number by which two nodes find out whether they have the same records; 0 for none. */
export function crashDigest(records: ReadonlyMap<string, CrashRecord>): number {
  let digest = 0;
  for (const record of records.values()) digest ^= recordDigest(record);
  return digest >>> 0;
}
