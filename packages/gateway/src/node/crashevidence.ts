/**
 * Crashes of targets that this node knows of, from its own engine or requests or from other
 * nodes, and the parts of prompts and the requests that are rejected because of them.
 */
import {
  MAX_CRASH_RECORDS,
  MIN_REQUEST_CRASHES,
  assessCrashes,
  assessmentPauseMs,
  crashDigest,
  engineOf,
  isRequestPart,
  isSuspected,
  namesRequest,
  quarantineEndMs,
  withRequestAnswer,
  withUnassessedRecord,
  withoutExpiredRecords,
  type Clock,
  type CrashAssessment,
  type CrashRecord,
  type PartAssessment,
  type RequestAssessment,
} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';
import {Subject, type Observable} from 'rxjs';
import {ComparisonPace} from './comparisonpace.js';
import type {GatewayMetrics} from './metrics.js';
import {RequestAnswers} from './requestanswers.js';

/** Reason of refusals of requests with a part that crashes engines. */
export const QUARANTINED = 'prompt_part_quarantined';

/** Reason of refusals of a request that crashes targets. */
export const REQUEST_QUARANTINED = 'request_quarantined';

/**
 * Number of crashes that name a request from which on nodes tell each other of its answers. Most
 * requests that break are answered elsewhere at once, and none is judged by a single crash.
 */
const MIN_SHARED_ANSWER_CRASHES = 2;

/** Returns the reason of refusals because of a quarantine. */
export function quarantineReason({part}: Quarantine): string {
  return isRequestPart(part) ? REQUEST_QUARANTINED : QUARANTINED;
}

/** A part of prompts whose requests are rejected, or a request that is. */
export interface Quarantine {
  /** Id of the part, or that of the request, see {@link isRequestPart}. */
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
  /** Pace at which the records are compared with those of other nodes. */
  readonly comparisons: ComparisonPace;
  /** Returns the quarantine of the first of the parts that is in one; undefined if none is. */
  readonly quarantineOf: (parts: readonly string[]) => Quarantine | undefined;
  /** Returns whether one of the parts may have caused crashes. */
  readonly isSuspected: (parts: readonly string[]) => boolean;
  /**
   * Returns whether a record names requests, so that the ids of requests and their answers matter
   * to this node. Ids are not computed otherwise.
   */
  readonly tracksRequests: () => boolean;
  /** Keys of the crashes that name the request since its last answer. */
  readonly crashesOf: (request: string) => readonly string[];
  /** Records that a target has answered the request. */
  readonly recordAnswer: (request: string) => void;
  /** Counts a send of the request, if it follows three crashes. */
  readonly countSend: (request: string) => void;
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
  let assessed: CrashAssessment = {parts: [], requests: []};
  /** Whether evidence has arrived since `assessed`, which waits for the next assessment. */
  let hasNewEvidence = false;
  /** Whether answers to requests have, which leave the assessments of parts as they are. */
  let hasNewAnswers = false;
  /** Monotonic time from which both are assessed, in milliseconds. */
  let nextAssessmentAtMs = -Infinity;
  let suspects: ReadonlySet<string> = new Set();
  /** By id of the request. */
  let requests: ReadonlyMap<string, RequestAssessment> = new Map();
  const answers = new RequestAnswers(clock);
  /** Monotonic time at which a request may be confirmed without a further crash, in milliseconds. */
  let nextDueAtMs = Infinity;
  const quarantines = new Map<string, Quarantine>();

  const endOf = (assessment: PartAssessment | RequestAssessment) =>
    'trialAtMs' in assessment && assessment.trialAtMs !== undefined
      ? assessment.trialAtMs
      : quarantineEndMs(assessment);
  /** Sets a quarantine, and returns whether it is a new one. */
  const setQuarantine = (
    part: string,
    assessment: PartAssessment | RequestAssessment,
  ) => {
    const endsAtMs = endOf(assessment);
    if (endsAtMs <= clock.monotonicMs()) return false;
    const isNew = !quarantines.has(part);
    quarantines.set(part, {part, endsAtMs, evidence: assessment.keys});
    return isNew;
  };
  const commonFields = (assessment: PartAssessment | RequestAssessment) => ({
    crashes: assessment.crashes,
    engines: [...new Set(assessment.keys.map(engineOf))].join(','),
    since_ms: Math.round(clock.monotonicMs() - assessment.firstAtMs),
    ends_in_ms: Math.round(endOf(assessment) - clock.monotonicMs()),
  });
  const quarantinePart = (assessment: PartAssessment) => {
    const {part, sessions, answers: answered, chance} = assessment;
    if (!setQuarantine(part, assessment)) return;
    metrics.count('part_quarantined', part);
    log.warn('part_quarantined', {
      part,
      ...commonFields(assessment),
      sessions,
      answers: answered,
      chance: chance.toExponential(1),
    });
  };
  const quarantineRequest = (assessment: RequestAssessment) => {
    const {request} = assessment;
    if (!setQuarantine(request, assessment)) return;
    metrics.count('request_quarantined');
    log.warn('request_quarantined', {
      identity: request,
      ...commonFields(assessment),
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
  };
  /** Puts an assessment of the records in force. */
  const adopt = (assessment: CrashAssessment) => {
    assessed = assessment;
    nextDueAtMs = Math.min(
      Infinity,
      ...assessed.requests
        .filter(({isConfirmed}) => !isConfirmed)
        .map(({dueAtMs}) => dueAtMs),
    );
    suspects = new Set(
      assessed.parts.filter(isSuspected).map(({part}) => part),
    );
    requests = new Map(
      assessed.requests.map(request => [request.request, request]),
    );
    const parts = assessed.parts.filter(({isConfirmed}) => isConfirmed);
    const confirmed = assessed.requests.filter(({isConfirmed}) => isConfirmed);
    liftUnconfirmed(
      new Set([
        ...parts.map(({part}) => part),
        ...confirmed.map(({request}) => request),
      ]),
    );
    parts.forEach(quarantinePart);
    confirmed.forEach(quarantineRequest);
  };
  const assess = () => {
    const startedAtMs = clock.monotonicMs();
    const parts = hasNewEvidence ? undefined : assessed.parts;
    hasNewEvidence = false;
    hasNewAnswers = false;
    adopt(assessCrashes([...records.values()], startedAtMs, parts));
    const kept = withoutExpiredRecords(records, startedAtMs, assessed);
    if (kept !== records) setRecords(kept);
    const endedAtMs = clock.monotonicMs();
    nextAssessmentAtMs = endedAtMs + assessmentPauseMs(endedAtMs - startedAtMs);
    metrics.timing('crash_assessment', endedAtMs - startedAtMs);
  };
  const assessIfDue = () => {
    const nowMs = clock.monotonicMs();
    const isNeeded = hasNewEvidence || hasNewAnswers || nextDueAtMs <= nowMs;
    if (isNeeded && nowMs >= nextAssessmentAtMs) assess();
  };
  const addEvidence = (changed: ReadonlyMap<string, CrashRecord>) => {
    // The limit must also hold while the next assessment is not due.
    const isFarAboveLimit = changed.size > 2 * MAX_CRASH_RECORDS;
    setRecords(
      isFarAboveLimit
        ? withoutExpiredRecords(changed, clock.monotonicMs(), assessed)
        : changed,
    );
    hasNewEvidence = true;
    assessIfDue();
  };
  const requestsQuarantined = () =>
    [...quarantines.keys()].filter(isRequestPart).length;
  const announce = (key: string) => {
    const record = records.get(key);
    if (record !== undefined) added$.next(record);
  };
  /** Puts a record in force that differs from the known one by answers, if it does, and announces it. */
  const adoptAnswers = (record: CrashRecord) => {
    if (records.get(record.key) === record) return;
    setRecords(new Map(records).set(record.key, record));
    hasNewAnswers = true;
    assessIfDue();
    announce(record.key);
  };
  /** Marks the answers in earlier records to requests that a new record names again. */
  const markAnswers = (earlier: readonly CrashRecord[], added: CrashRecord) => {
    for (const record of earlier) {
      const marked = answers.withAnswersSince(record, request =>
        namesRequest(added, request),
      );
      if (records.get(record.key) === record) adoptAnswers(marked);
    }
  };
  const dropExpired = () => {
    // Each message states the digest, and nearly all come while no crash is on record.
    if (records.size === 0 && quarantines.size === 0) return;
    const nowMs = clock.monotonicMs();
    if (!hasNewEvidence) {
      const current = withoutExpiredRecords(records, nowMs, assessed);
      if (current !== records) {
        setRecords(current);
        hasNewEvidence = true;
      }
    }
    assessIfDue();
    for (const [part, {endsAtMs}] of quarantines) {
      if (endsAtMs > nowMs) continue;
      quarantines.delete(part);
      log.info('quarantine_ended', {part});
    }
  };
  return {
    added$,
    comparisons: new ComparisonPace(clock),
    add: received => {
      const others = [...records.values()].filter(
        ({key}) => key !== received.key,
      );
      const record = answers.withAnswersSince(received, request =>
        others.some(other => namesRequest(other, request)),
      );
      const changed = withUnassessedRecord(
        records,
        record,
        clock.monotonicMs(),
      );
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
      addEvidence(changed);
      announce(key);
      markAnswers(others, received);
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
      dropExpired();
      if (quarantines.size === 0) return undefined;
      const part = parts.find(id => quarantines.has(id));
      return part === undefined ? undefined : quarantines.get(part);
    },
    isSuspected: parts => parts.some(part => suspects.has(part)),
    tracksRequests: () => requests.size > 0,
    crashesOf: request => {
      const keys = requests.get(request)?.keys ?? [];
      return keys.filter(key => {
        const atMs = records.get(key)?.atMs ?? Infinity;
        return !answers.isAnsweredAfter(request, atMs);
      });
    },
    recordAnswer: request => {
      answers.record(request);
      if (!hasNewEvidence && !requests.has(request)) return;
      const naming = [...records.values()]
        .filter(record => namesRequest(record, request))
        .sort((a, b) => a.atMs - b.atMs);
      const last = naming.at(-1);
      if (last === undefined || naming.length < MIN_SHARED_ANSWER_CRASHES) {
        return;
      }
      adoptAnswers(withRequestAnswer(last, request));
    },
    countSend: request => {
      const crashes = requests.get(request)?.crashes ?? 0;
      if (crashes < MIN_REQUEST_CRASHES) return;
      metrics.count('crashing_request_sent');
      log.warn('crashing_request_sent', {identity: request, crashes});
    },
    countRejected: ({part}) => {
      // Requests are too many to name in a metric.
      const isRequest = isRequestPart(part);
      metrics.count('quarantine_rejected', isRequest ? 'request' : part);
    },
    status: () => {
      dropExpired();
      return {
        crashes_recorded: records.size,
        parts_suspected: suspects.size,
        parts_quarantined: quarantines.size - requestsQuarantined(),
        requests_suspected: requests.size,
        requests_quarantined: requestsQuarantined(),
        // Each of these crashes is a send after the third one, by some node.
        request_crashes_after_third: Math.max(
          0,
          ...[...requests.values()].map(
            ({crashes}) => crashes - MIN_REQUEST_CRASHES,
          ),
        ),
      };
    },
  };
}
