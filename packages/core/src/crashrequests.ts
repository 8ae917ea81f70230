/**
 * Finds whole requests that crash the targets that run them. A request that comes again is the
 * same one by its digest, and no target ever answers one that crashes it.
 */
import {
  isAnsweredSince,
  isRequestPart,
  type CrashRecord,
} from './crashrecords.js';

/** What the records say about one request. */
export interface RequestAssessment {
  /** Id of the request, see {@link requestPart}. */
  readonly request: string;
  /** Number of crashes at different times that name it, since it was last answered. */
  readonly crashes: number;
  /** Keys of the records of these crashes, the oldest first. */
  readonly keys: readonly string[];
  /** Monotonic time of the first and of the last of these crashes, in milliseconds. */
  readonly firstAtMs: number;
  readonly lastAtMs: number;
  /** Whether it is confirmed as the cause of these crashes, so that it is rejected. */
  readonly isConfirmed: boolean;
  /**
   * Monotonic time from which a confirmed request is sent again, in milliseconds, since the crashes
   * may also be those of another one; undefined if they are its own.
   */
  readonly trialAtMs?: number;
  /** Monotonic time at which it is confirmed unless it is answered, in milliseconds; Infinity for none. */
  readonly dueAtMs: number;
}

/** Number of crashes that confirm a request. */
export const MIN_REQUEST_CRASHES = 3;

/**
 * Time within which crashes count as one, in milliseconds. A lost failure domain takes several
 * targets at the same moment.
 */
export const SIMULTANEOUS_MS = 40;

/**
 * Time from the third crash for which a request waits for its answer where the crashes may be
 * those of another one, in milliseconds. A sound request has its answer once a target is up.
 */
const ANSWER_WAIT_MS = 1_500;

/** Time from the last of such crashes for which these requests are rejected, in milliseconds. */
const HOLD_MS = 4_000;

/** Time between the first sends of two such requests afterwards, in milliseconds. */
const TRIAL_INTERVAL_MS = 600;

/** Number of different times of first sends. */
const MAX_TRIAL_TIMES = 5;

/** Number of its crashes that another request has to share so that they may be of that one. */
const MIN_SHARED_CRASHES = 2;

/** Crashes that name a request, the oldest first, and the times of those that count. */
interface NamedCrashes {
  readonly request: string;
  readonly records: readonly CrashRecord[];
  readonly eventTimesMs: readonly number[];
}

function requestsOf({suspects}: CrashRecord): ReadonlySet<string> {
  return new Set(suspects.flatMap(({parts}) => parts.filter(isRequestPart)));
}

/** Returns the times of crashes, given the oldest first, without those that count as one. */
function eventTimes(records: readonly CrashRecord[]): readonly number[] {
  const times: number[] = [];
  for (const {atMs} of records) {
    const lastMs = times.at(-1) ?? -Infinity;
    if (atMs - lastMs > SIMULTANEOUS_MS) times.push(atMs);
  }
  return times;
}

/** Returns the time of the last crash after which each request was answered. */
function answerTimes(
  records: readonly CrashRecord[],
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  for (const record of records) {
    for (const request of requestsOf(record)) {
      if (!isAnsweredSince(record, request)) continue;
      const knownMs = times.get(request) ?? -Infinity;
      times.set(request, Math.max(knownMs, record.atMs));
    }
  }
  return times;
}

/** Returns the crashes of each request since its last answer, those with most crashes first. */
function namedCrashes(
  open: readonly CrashRecord[],
  answeredAtMs: ReadonlyMap<string, number>,
): readonly NamedCrashes[] {
  const byRequest = new Map<string, CrashRecord[]>();
  for (const record of [...open].sort((a, b) => a.atMs - b.atMs)) {
    for (const request of requestsOf(record)) {
      if (record.atMs <= (answeredAtMs.get(request) ?? -Infinity)) continue;
      const records = byRequest.get(request) ?? [];
      records.push(record);
      byRequest.set(request, records);
    }
  }
  return [...byRequest]
    .map(([request, records]) => ({
      request,
      records,
      eventTimesMs: eventTimes(records),
    }))
    .sort(
      (a, b) =>
        b.eventTimesMs.length - a.eventTimesMs.length ||
        (a.request < b.request ? -1 : 1),
    );
}

/** Returns whether another request broke in several of the crashes of this one. */
function isAmbiguous(
  {request, records}: NamedCrashes,
  named: readonly NamedCrashes[],
): boolean {
  return named.some(
    other =>
      other.request !== request &&
      records.filter(record => other.records.includes(record)).length >=
        MIN_SHARED_CRASHES,
  );
}

/** Returns the time from which the crashes of a request confirm it, in milliseconds. */
function dueAt({eventTimesMs}: NamedCrashes): number {
  const thirdAtMs = eventTimesMs[MIN_REQUEST_CRASHES - 1];
  return thirdAtMs === undefined ? Infinity : thirdAtMs + ANSWER_WAIT_MS;
}

/** Returns whether the crashes of a request are its own. */
function isCause(
  crashes: NamedCrashes,
  named: readonly NamedCrashes[],
): boolean {
  const {eventTimesMs} = crashes;
  if (eventTimesMs.length < MIN_REQUEST_CRASHES) return false;
  // Those that share its crashes have had time for their answers, or were held back.
  const isLate = (eventTimesMs.at(-1) ?? 0) >= dueAt(crashes);
  return isLate || !isAmbiguous(crashes, named);
}

function assessmentOf(
  crashes: NamedCrashes,
  isConfirmed: boolean,
): RequestAssessment {
  const {request, records, eventTimesMs} = crashes;
  return {
    request,
    crashes: eventTimesMs.length,
    keys: records.map(({key}) => key),
    firstAtMs: records[0]?.atMs ?? Infinity,
    lastAtMs: records.at(-1)?.atMs ?? -Infinity,
    isConfirmed,
    dueAtMs: dueAt(crashes),
  };
}

/**
 * Assesses the requests of crashes that may be those of several of them. All that had no answer in
 * time are held back together and sent again one after the other: a sound one is answered, and
 * the next crash names the harmful one alone.
 */
function assessAmbiguous(
  named: readonly NamedCrashes[],
  nowMs: number,
): readonly RequestAssessment[] {
  const assessments = named.map(crashes =>
    assessmentOf(crashes, dueAt(crashes) <= nowMs),
  );
  const held = assessments.filter(({isConfirmed}) => isConfirmed);
  const lastAtMs = Math.max(...held.map(assessment => assessment.lastAtMs));
  return assessments.map(assessment => {
    const turn = held.indexOf(assessment);
    if (turn < 0) return assessment;
    const delayMs = TRIAL_INTERVAL_MS * (turn % MAX_TRIAL_TIMES);
    return {...assessment, trialAtMs: lastAtMs + HOLD_MS + delayMs};
  });
}

/**
 * Assesses the requests that crashes name, those with most crashes first. Crashes that a request
 * is the cause of are not held against the others.
 */
export function assessRequests(
  records: readonly CrashRecord[],
  nowMs: number,
): readonly RequestAssessment[] {
  const answeredAtMs = answerTimes(records);
  const causes: RequestAssessment[] = [];
  let open = records;
  for (;;) {
    const named = namedCrashes(open, answeredAtMs);
    const worst = named.find(crashes => isCause(crashes, named));
    if (worst === undefined) {
      return [...causes, ...assessAmbiguous(named, nowMs)];
    }
    causes.push(assessmentOf(worst, true));
    open = open.filter(record => !worst.records.includes(record));
  }
}
