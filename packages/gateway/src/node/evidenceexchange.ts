/**
 * Exchange of crash records between an entry and a target node. Each message states a digest
 * of all records that its sender has. An end that meets another digest states the digest of each of
 * its records, and gets the records that differ.
 */
import {create} from '@bufbuild/protobuf';
import {
  MERGED_VERSION,
  recordDigest,
  type Clock,
  type CrashRecord,
  type PartAnswers,
} from '@balsamnotch/core';
import {EngineCrashSchema, type EngineCrash} from '@balsamnotch/wire';
import type {CrashEvidence} from './crashevidence.js';

/**
 * Time after which digests are stated again while they still differ, in milliseconds;
 * doubles each time. Records that one end has just dropped must not go to and fro.
 */
const FIRST_RESTATE_MS = 200;

/** Upper limit of the time after which they are stated again, in milliseconds. */
const MAX_RESTATE_MS = 30_000;

/**
 * Time for which changes by entries are collected before they are sent, in milliseconds. Each
 * entry that had requests at a target adds to the record of its crash, so that it changes many
 * times within a few milliseconds.
 */
const COLLECT_MS = 40;

/**
 * Time for which answers to requests after a crash are collected, in milliseconds: each of its
 * suspects has one, and a request waits 1.5 s for it.
 */
const COLLECT_ANSWERS_MS = 250;

/** Message fields of the exchange, as received. */
export interface EvidenceMessage {
  readonly crashes: readonly EngineCrash[];
  readonly crashDigest: number;
  /** Digests of each of the sender's records; empty if it does not state them. */
  readonly crashRecordDigests: readonly number[];
}

/** One end of an exchange. */
export interface EvidenceExchange {
  /** Handles a message from the other end. */
  readonly handleMessage: (message: EvidenceMessage) => void;
  readonly close: () => void;
}

/** Options of {@link openEvidenceExchange}. */
export interface EvidenceExchangeOptions {
  readonly evidence: CrashEvidence;
  readonly clock: Clock;
  readonly send: (message: {
    readonly crashes?: EngineCrash[];
    readonly crashRecordDigests?: number[];
  }) => void;
  /** Returns whether a new record is sent to the other end at once. */
  readonly isAnnounced: (record: CrashRecord) => boolean;
  /** Runs a function after some milliseconds; default: a timer that does not keep the process. */
  readonly schedule?: (run: () => void, ms: number) => void;
}

function scheduleTimer(run: () => void, ms: number): void {
  setTimeout(run, ms).unref();
}

function encodeRecord(record: CrashRecord, nowMs: number): EngineCrash {
  const indexes = new Map(
    [...record.partAnswers.keys()].map((part, index) => [part, index]),
  );
  return create(EngineCrashSchema, {
    key: record.key,
    version: record.version,
    ageMs: Math.max(0, Math.round(nowMs - record.atMs)),
    hasBegun: record.hasBegun,
    answers: record.answers,
    suspects: record.suspects.map(suspect => ({
      parts: suspect.parts.map(part => indexes.get(part) ?? -1),
      session: suspect.session,
    })),
    parts: [...record.partAnswers].map(([id, {count, lastAtMs}]) => ({
      id,
      answers: count,
      answerAgeMs:
        count === 0 ? 0 : Math.max(0, Math.round(record.atMs - lastAtMs)),
    })),
  });
}

function decodeRecord(crash: EngineCrash, nowMs: number): CrashRecord {
  const atMs = nowMs - crash.ageMs;
  return {
    key: crash.key,
    version: crash.version,
    atMs,
    hasBegun: crash.hasBegun,
    answers: crash.answers,
    suspects: crash.suspects.map(({parts, session}) => ({
      parts: parts.flatMap(index => crash.parts[index]?.id ?? []),
      session,
    })),
    partAnswers: new Map(
      crash.parts.map(({id, answers, answerAgeMs}): [string, PartAnswers] => [
        id,
        {
          count: answers,
          lastAtMs: answers === 0 ? -Infinity : atMs - answerAgeMs,
        },
      ]),
    ),
  };
}

/** Number of ids in the records of one message; with more, a message has a record of its own. */
const MAX_BATCH_IDS = 64;

/** Divides records into those of one message each, which keeps datagrams small. */
function recordBatches(
  records: readonly CrashRecord[],
): ReadonlyArray<readonly CrashRecord[]> {
  const batches: CrashRecord[][] = [];
  let batchIds = Infinity;
  for (const record of records) {
    const ids = record.partAnswers.size + record.suspects.length;
    if (batchIds + ids > MAX_BATCH_IDS) {
      batches.push([]);
      batchIds = 0;
    }
    batches.at(-1)?.push(record);
    batchIds += ids;
  }
  return batches;
}

/** Opens one end. */
export function openEvidenceExchange({
  evidence,
  clock,
  send,
  isAnnounced,
  schedule = scheduleTimer,
}: EvidenceExchangeOptions): EvidenceExchange {
  /** Monotonic time at which digests were last stated, in milliseconds. */
  let lastStatedAtMs = -Infinity;
  let restateMs = FIRST_RESTATE_MS;
  /** Whether records of the other end are being added, which it need not get back. */
  let isReceiving = false;
  /** Keys of records that will be sent. */
  const collected = new Set<string>();
  /** Suspects of the records that this end has seen; answers leave them as they are. */
  const seenSuspects = new WeakSet<CrashRecord['suspects']>();
  /** Returns the time for which changes of the record are collected, in milliseconds. */
  const collectionMs = ({suspects, version}: CrashRecord) => {
    if (seenSuspects.has(suspects)) return COLLECT_ANSWERS_MS;
    seenSuspects.add(suspects);
    return version === MERGED_VERSION ? COLLECT_MS : 0;
  };
  const sendCollected = (key: string) => {
    if (!collected.delete(key)) return;
    const record = evidence.records().find(known => known.key === key);
    if (record !== undefined) sendRecord(record);
  };
  const sendRecord = (record: CrashRecord) =>
    send({crashes: [encodeRecord(record, clock.monotonicMs())]});
  const sendRecords = (records: readonly CrashRecord[]) => {
    const nowMs = clock.monotonicMs();
    for (const batch of recordBatches(records)) {
      send({crashes: batch.map(record => encodeRecord(record, nowMs))});
    }
  };
  const subscription = evidence.added$.subscribe(record => {
    restateMs = FIRST_RESTATE_MS;
    const collectMs = collectionMs(record);
    if (isReceiving || !isAnnounced(record)) return;
    if (collectMs === 0) {
      sendRecord(record);
      return;
    }
    const {key} = record;
    if (collected.has(key) && collectMs === COLLECT_ANSWERS_MS) return;
    collected.add(key);
    schedule(() => sendCollected(key), collectMs);
  });
  return {
    handleMessage: ({crashes, crashDigest, crashRecordDigests}) => {
      const nowMs = clock.monotonicMs();
      isReceiving = true;
      try {
        for (const crash of crashes) evidence.add(decodeRecord(crash, nowMs));
      } finally {
        isReceiving = false;
      }
      if (crashDigest === evidence.digest()) return;
      const records = evidence.records();
      const stated = new Set(crashRecordDigests);
      if (stated.size > 0) {
        sendRecords(
          records.filter(record => !stated.has(recordDigest(record))),
        );
      }
      if (records.length === 0 || nowMs < lastStatedAtMs + restateMs) return;
      if (!evidence.comparisons.take()) return;
      lastStatedAtMs = nowMs;
      restateMs = Math.min(MAX_RESTATE_MS, 2 * restateMs);
      // The other end has no records, and no digests to state.
      if (crashDigest === 0) sendRecords(records);
      else send({crashRecordDigests: records.map(recordDigest)});
    },
    close: () => {
      subscription.unsubscribe();
      collected.clear();
    },
  };
}
