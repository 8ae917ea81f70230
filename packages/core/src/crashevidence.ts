/**
 * Finds parts of prompts that crash engines, from records of crashes. Each record names the
 * requests that had been sent to the engine and had not received their first event, since an
 * engine that crashes on a part does so as it begins to write the answer.
 */
import {
  engineOf,
  isRequestPart,
  mergedRecord,
  type CrashRecord,
} from './crashrecords.js';
import {
  groupEvents,
  mentionsByPart,
  type CrashEvent,
  type OpenCrash,
  type PartMention,
} from './crashevents.js';
import {assessRequests, type RequestAssessment} from './crashrequests.js';
import {poissonTail} from './poisson.js';

/** What the records say about one part. */
export interface PartAssessment {
  readonly part: string;
  /** Number of crashes at different times with a suspect request that names the part. */
  readonly crashes: number;
  /** Keys of the records of these crashes, the oldest first. */
  readonly keys: readonly string[];
  /** Number of different sessions among those requests. */
  readonly sessions: number;
  /** Number of recent answers to requests with the part; 0 if all came before the first crash. */
  readonly answers: number;
  /** Share of the recent requests with the part that were suspects, 0 to 1. */
  readonly crashingShare: number;
  /** Probability of as many crashes by chance, if the part were harmless. */
  readonly chance: number;
  /** Monotonic time of the first and of the last of these crashes, in milliseconds. */
  readonly firstAtMs: number;
  readonly lastAtMs: number;
  /** Whether the part is confirmed as a cause of crashes, so that requests with it are rejected. */
  readonly isConfirmed: boolean;
}

/** Minimum number of crashes before a part is confirmed. */
const MIN_CRASHES = 3;

/** Minimum number of different sessions among the suspects of these crashes. */
const MIN_SESSIONS = 2;

/**
 * Number of crashes that one session counts for at most. A request that is repeated is a
 * suspect again and again because of its first crash, whatever it contains.
 */
const MAX_CRASHES_PER_SESSION = 2;

/**
 * Probability that a given harmless part is confirmed for the crashes on record. With a
 * thousand parts in use, that is one false alarm in a thousand such series of crashes.
 */
const FALSE_ALARM = 1e-6;

/** Minimum share of recent requests with a confirmed part that were at work at a crash. */
const MIN_CRASHING_SHARE = 0.1;

/** Time over which crashes are compared with the recent answers of the engines, in milliseconds. */
const RECENT_MS = 15_000;

/** Probability of chance below which requests with a part are not repeated after a crash. */
const SUSPICION = 0.01;

/** Time after the last crash for which requests with a confirmed part are rejected, in milliseconds. */
const QUARANTINE_MS = 600_000;

/** Number of crashes on record; the oldest without a confirmed part are dropped first. */
export const MAX_CRASH_RECORDS = 64;

/** Number of newest crashes of a confirmed part that are kept in preference to other crashes. */
const MAX_EVIDENCE = 16;

/** Time for which a crash is kept on record, in milliseconds. */
const RECORD_LIFETIME_MS = 3_600_000;

/** What the records say about parts of prompts, and about whole requests. */
export interface CrashAssessment {
  /** The parts that several crashes name, the most likely cause first. */
  readonly parts: readonly PartAssessment[];
  /** The requests that crashes name which no part explains, those with most crashes first. */
  readonly requests: readonly RequestAssessment[];
}

function isBetween(
  {timesMs}: CrashEvent,
  fromMs: number,
  untilMs: number,
): boolean {
  return timesMs.some(atMs => atMs >= fromMs && atMs <= untilMs);
}

/** Recent answers of the engines that have a part among their suspects. */
interface AnswerTotals {
  /** All answers, and those to requests with the part. */
  readonly total: number;
  readonly count: number;
  /** Monotonic time of the last answer with the part, in milliseconds; -Infinity for none. */
  readonly lastAtMs: number;
}

/**
 * Returns a function that sums the answers of the newest record of each engine that has a part
 * among its suspects. It computes them once for each part.
 */
function answersByPart(
  records: readonly CrashRecord[],
): (part: string) => AnswerTotals {
  const newestFirst = [...records]
    .sort((a, b) => b.atMs - a.atMs)
    .map(record => ({...record, engine: engineOf(record.key)}));
  const sum = (part: string): AnswerTotals => {
    const counted = new Set<string>();
    let total = 0;
    let count = 0;
    let lastAtMs = -Infinity;
    for (const {engine, answers, partAnswers} of newestFirst) {
      const ofPart = partAnswers.get(part);
      if (ofPart === undefined || counted.has(engine)) continue;
      counted.add(engine);
      total += answers;
      count += ofPart.count;
      lastAtMs = Math.max(lastAtMs, ofPart.lastAtMs);
    }
    return {total, count, lastAtMs};
  };
  const known = new Map<string, AnswerTotals>();
  return part => {
    const totals = known.get(part) ?? sum(part);
    known.set(part, totals);
    return totals;
  };
}

/** Returns the number of crashes that each session with the part was a suspect of. */
function crashesBySession(mentions: readonly PartMention[]): readonly number[] {
  const counts = new Map<string, number>();
  for (const {sessions} of mentions) {
    for (const session of sessions) {
      counts.set(session, (counts.get(session) ?? 0) + 1);
    }
  }
  return [...counts.values()];
}

/** Assesses a part by the events that name it, among all events. */
function assess(
  part: string,
  mentions: readonly PartMention[],
  events: readonly CrashEvent[],
  answersOf: (part: string) => AnswerTotals,
): PartAssessment {
  const sessions = crashesBySession(mentions);
  const countedBySession = sessions.reduce(
    (sum, count) => sum + Math.min(count, MAX_CRASHES_PER_SESSION),
    0,
  );
  const crashes = Math.min(mentions.length, countedBySession);
  const times = mentions.flatMap(({event}) => event.timesMs);
  const firstAtMs = Math.min(...times);
  const lastCrashMs = Math.max(...times);
  const recentCrashes = mentions.filter(({event}) =>
    event.timesMs.some(atMs => lastCrashMs - atMs < RECENT_MS),
  ).length;
  const {total, count, lastAtMs} = answersOf(part);
  // One request more than was seen, so that a part without answers is not taken as impossible.
  const share = (count + 1) / (total + 2);
  let expectedCrashes = 0;
  for (const event of events) {
    if (!isBetween(event, firstAtMs, lastCrashMs)) continue;
    expectedCrashes =
      expectedCrashes + 1 - (1 - share) ** event.suspects.length;
  }
  // Any of the crashes on record could have been the first of as many.
  const chance = Math.min(
    1,
    poissonTail(crashes, expectedCrashes) * events.length,
  );
  // A part may have become harmful: answers before the first crash do not clear it.
  const answers = lastAtMs > firstAtMs ? count : 0;
  const crashingShare = recentCrashes / (recentCrashes + answers);
  return {
    part,
    crashes,
    keys: mentions.flatMap(({event}) => event.keys),
    sessions: sessions.length,
    answers,
    crashingShare,
    chance,
    firstAtMs,
    lastAtMs: lastCrashMs,
    isConfirmed:
      crashes >= MIN_CRASHES &&
      sessions.length >= MIN_SESSIONS &&
      chance < FALSE_ALARM &&
      crashingShare >= MIN_CRASHING_SHARE,
  };
}

/** Assesses the parts that several of the crashes name, the most likely cause first. */
function assessOpen(
  open: readonly OpenCrash[],
  answersOf: (part: string) => AnswerTotals,
): readonly PartAssessment[] {
  const events = groupEvents(open);
  return [...mentionsByPart(events)]
    .map(([part, mentions]) => ({
      assessment: assess(part, mentions, events, answersOf),
      // Parts further back are shared by fewer requests.
      depth: Math.max(...mentions.map(({depth}) => depth)),
    }))
    .sort(
      (a, b) =>
        // A part that several harmful ones have in common has more crashes, but also answers.
        b.assessment.crashingShare - a.assessment.crashingShare ||
        // Where it has no answers, the later part is taken, which fewer sound requests name.
        b.depth - a.depth ||
        a.assessment.chance - b.assessment.chance ||
        (a.assessment.part < b.assessment.part ? -1 : 1),
    )
    .map(({assessment}) => assessment);
}

/**
 * Assesses the parts that several crashes name, the most likely cause first. Crashes that a
 * confirmed part explains are not held against the other parts of the same requests.
 */
export function assessParts(
  records: readonly CrashRecord[],
): readonly PartAssessment[] {
  const confirmed: PartAssessment[] = [];
  const answersOf = answersByPart(records);
  let open: readonly OpenCrash[] = records.map(record => ({
    record,
    suspects: record.suspects.flatMap(({parts, session}) => {
      const ofPrompt = parts.filter(part => !isRequestPart(part));
      return ofPrompt.length === 0 ? [] : [{parts: ofPrompt, session}];
    }),
  }));
  for (;;) {
    const assessments = assessOpen(open, answersOf);
    const worst = assessments.find(({isConfirmed}) => isConfirmed);
    if (worst === undefined) return [...confirmed, ...assessments];
    confirmed.push(worst);
    open = open.map(({record, suspects}) => ({
      record,
      suspects: suspects.filter(({parts}) => !parts.includes(worst.part)),
    }));
  }
}

/**
 * Assesses parts of prompts, then requests by the crashes that no confirmed part explains. `parts`
 * are the assessments of the parts if they are known; answers to whole requests leave them as they are.
 */
export function assessCrashes(
  records: readonly CrashRecord[],
  nowMs: number,
  parts: readonly PartAssessment[] = assessParts(records),
): CrashAssessment {
  const explained = new Set(
    parts.flatMap(({isConfirmed, keys}) => (isConfirmed ? keys : [])),
  );
  const open = records.filter(({key}) => !explained.has(key));
  return {parts, requests: assessRequests(open, nowMs)};
}

/** Share of time that assessments of parts may take while new evidence arrives. */
const ASSESSMENT_SHARE = 0.1;

/**
 * Longest time that new evidence waits for its assessment, in milliseconds. A confirmed part must be
 * stopped at all nodes within three seconds of the crash that confirms it.
 */
const MAX_ASSESSMENT_WAIT_MS = 500;

/**
 * Returns the time from the end of an assessment that took `tookMs` to the start of the next one, in
 * milliseconds. Evidence that arrives meanwhile is assessed together.
 */
export function assessmentPauseMs(tookMs: number): number {
  return Math.min(MAX_ASSESSMENT_WAIT_MS, tookMs / ASSESSMENT_SHARE - tookMs);
}

/**
 * Returns whether a part may be the cause of crashes, although the evidence does not suffice
 * to confirm it.
 */
export function isSuspected({chance, crashingShare}: PartAssessment): boolean {
  return chance < SUSPICION && crashingShare >= MIN_CRASHING_SHARE;
}

/**
 * Returns the monotonic time until which requests with a confirmed part, or a confirmed request,
 * are rejected, in milliseconds. The crashes stay on record for longer, so one that is still
 * harmful is confirmed again by the next crash.
 */
export function quarantineEndMs({
  lastAtMs,
}: Pick<PartAssessment, 'lastAtMs'>): number {
  return lastAtMs + QUARANTINE_MS;
}

/** Returns the keys of the newest records that confirm a part or a request. */
function evidenceOf({parts, requests}: CrashAssessment): ReadonlySet<string> {
  return new Set(
    [...parts, ...requests].flatMap(({isConfirmed, keys}) =>
      isConfirmed ? keys.slice(-MAX_EVIDENCE) : [],
    ),
  );
}

/**
 * Drops records that are too old, and the oldest ones above the limit, by an assessment of
 * the records or of most of them.
 */
export function withoutExpiredRecords(
  records: ReadonlyMap<string, CrashRecord>,
  nowMs: number,
  assessment?: CrashAssessment,
): ReadonlyMap<string, CrashRecord> {
  const current = [...records.values()].filter(
    ({atMs}) => nowMs - atMs < RECORD_LIFETIME_MS,
  );
  if (current.length === records.size && current.length <= MAX_CRASH_RECORDS) {
    return records;
  }
  const evidence = evidenceOf(assessment ?? assessCrashes(current, nowMs));
  const kept = current
    .sort(
      (a, b) =>
        Number(evidence.has(b.key)) - Number(evidence.has(a.key)) ||
        b.atMs - a.atMs,
    )
    .slice(0, MAX_CRASH_RECORDS);
  return new Map(kept.map(record => [record.key, record]));
}

/**
 * Adds a record, or what it says beside the known one of the same crash. Returns the same map if that
 * is nothing. The limit on records is not applied, see {@link withoutExpiredRecords}.
 */
export function withUnassessedRecord(
  records: ReadonlyMap<string, CrashRecord>,
  record: CrashRecord,
  nowMs: number,
): ReadonlyMap<string, CrashRecord> {
  if (nowMs - record.atMs >= RECORD_LIFETIME_MS) return records;
  const known = records.get(record.key);
  const merged = known === undefined ? record : mergedRecord(known, record);
  if (merged === known) return records;
  return new Map(records).set(record.key, merged);
}

/** Adds a record as {@link withUnassessedRecord}, and drops those above the limit. */
export function withCrashRecord(
  records: ReadonlyMap<string, CrashRecord>,
  record: CrashRecord,
  nowMs: number,
): ReadonlyMap<string, CrashRecord> {
  const added = withUnassessedRecord(records, record, nowMs);
  return added === records ? records : withoutExpiredRecords(added, nowMs);
}
