/**
 * Crashes of engines that this node knows of, from its own engine or from other nodes, and the
 * parts of prompts that are rejected because of them.
 */
import {
  assessParts,
  crashDigest,
  engineOf,
  isSuspected,
  quarantineEndMs,
  withCrashRecord,
  withoutExpiredRecords,
  type Clock,
  type CrashRecord,
  type PartAssessment,
} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';
import {Subject, type Observable} from 'rxjs';
import type {GatewayMetrics} from './metrics.js';

/** Reason of refusals of requests with a part that crashes engines. */
export const QUARANTINED = 'prompt_part_quarantined';

/** A part of prompts whose requests are rejected. */
export interface Quarantine {
  readonly part: string;
  /** Monotonic time at which it ends, in milliseconds. */
  readonly endsAtMs: number;
  /** Keys of the records of the crashes that confirm the part. */
  readonly evidence: readonly string[];
}

/** Evidence at one node. */
export interface CrashEvidence {
  /** Records that are new to this node, or newer. */
  readonly added$: Observable<CrashRecord>;
  /** Adds a record. */
  readonly add: (record: CrashRecord) => void;
  readonly records: () => readonly CrashRecord[];
  /** See {@link crashDigest}. */
  readonly digest: () => number;
  /** Returns the quarantine of the first of the parts that is in one; undefined if none is. */
  readonly quarantineOf: (parts: readonly string[]) => Quarantine | undefined;
  /** Returns whether one of the parts may have caused crashes. */
  readonly isSuspected: (parts: readonly string[]) => boolean;
  /** Counts a request that was rejected because of a quarantine. */
  readonly countRejected: (quarantine: Quarantine) => void;
  /** Gauges for the metrics endpoint. */
  readonly status: () => Readonly<Record<string, number>>;
}

/** Options of {@link createCrashEvidence}. */
export interface CrashEvidenceOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Creates the evidence of a node that knows of no crash. */
export function createCrashEvidence({
  clock,
  log,
  metrics,
}: CrashEvidenceOptions): CrashEvidence {
  const added$ = new Subject<CrashRecord>();
  let records: ReadonlyMap<string, CrashRecord> = new Map();
  let digest = 0;
  let suspects: ReadonlySet<string> = new Set();
  const quarantines = new Map<string, Quarantine>();

  const quarantine = (assessment: PartAssessment) => {
    const {part, crashes, sessions, answers, chance} = assessment;
    const endsAtMs = quarantineEndMs(assessment);
    if (endsAtMs <= clock.monotonicMs()) return;
    const isNew = !quarantines.has(part);
    quarantines.set(part, {part, endsAtMs, evidence: assessment.keys});
    if (!isNew) return;
    metrics.count('part_quarantined', part);
    log.warn('part_quarantined', {
      part,
      crashes,
      sessions,
      answers,
      chance: chance.toExponential(1),
      engines: [...new Set(assessment.keys.map(engineOf))].join(','),
      since_ms: Math.round(clock.monotonicMs() - assessment.firstAtMs),
      ends_in_ms: Math.round(endsAtMs - clock.monotonicMs()),
    });
  };
  const liftUnconfirmed = (confirmed: ReadonlySet<string>) => {
    for (const {part, evidence} of quarantines.values()) {
      // Records that were dropped for lack of room no longer confirm the part, nor clear it.
      const isComplete = evidence.every(key => records.has(key));
      if (confirmed.has(part) || !isComplete) continue;
      quarantines.delete(part);
      log.warn('quarantine_lifted', {part});
    }
  };
  const setRecords = (changed: ReadonlyMap<string, CrashRecord>) => {
    records = changed;
    digest = crashDigest(records);
    const assessments = assessParts([...records.values()]);
    suspects = new Set(assessments.filter(isSuspected).map(({part}) => part));
    const confirmed = assessments.filter(({isConfirmed}) => isConfirmed);
    liftUnconfirmed(new Set(confirmed.map(({part}) => part)));
    confirmed.forEach(quarantine);
  };
  const dropExpired = () => {
    // Each message states the digest, and nearly all come while no crash is on record.
    if (records.size === 0 && quarantines.size === 0) return;
    const nowMs = clock.monotonicMs();
    const current = withoutExpiredRecords(records, nowMs);
    if (current !== records) setRecords(current);
    for (const [part, {endsAtMs}] of quarantines) {
      if (endsAtMs > nowMs) continue;
      quarantines.delete(part);
      log.info('quarantine_ended', {part});
    }
  };
  return {
    added$,
    add: record => {
      const changed = withCrashRecord(records, record, clock.monotonicMs());
      if (changed === records) return;
      const {key, version, suspects: named, hasBegun} = record;
      log.info('crash_recorded', {
        engine: engineOf(key),
        version,
        suspects: named.length,
        has_begun: hasBegun,
        parts: [...new Set(named.flatMap(({parts}) => parts))]
          .slice(0, 8)
          .join(','),
      });
      setRecords(changed);
      added$.next(record);
    },
    records: () => {
      dropExpired();
      return [...records.values()];
    },
    digest: () => {
      dropExpired();
      return digest;
    },
    quarantineOf: parts => {
      if (quarantines.size === 0) return undefined;
      dropExpired();
      const part = parts.find(id => quarantines.has(id));
      return part === undefined ? undefined : quarantines.get(part);
    },
    isSuspected: parts => parts.some(part => suspects.has(part)),
    countRejected: ({part}) => metrics.count('quarantine_rejected', part),
    status: () => {
      dropExpired();
      return {
        crashes_recorded: records.size,
        parts_suspected: suspects.size,
        parts_quarantined: quarantines.size,
      };
    },
  };
}
