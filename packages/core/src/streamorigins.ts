/**
 * Origins of event streams. The origin of a stream is the software version of the server that sent
 * its first event. What servers of two software versions write does not fit together, so a stream
 * goes on only at its origin.
 */
import {hash32, rendezvousScore} from './rendezvous.js';
import type {KnownVersions} from './softwareversions.js';

/** How far a stream has come at its server, as far as the holder of a record knows. */
export const ORIGIN_STAGE = {
  /** The server was to run it; whether it sent an event is not known. */
  granted: 'granted',
  /** The server sent its first event. */
  begun: 'begun',
} as const;

/** One of the values of {@link ORIGIN_STAGE}. */
export type OriginStage = (typeof ORIGIN_STAGE)[keyof typeof ORIGIN_STAGE];

/** What a process has recorded of a stream. */
export interface StreamOrigin {
  /** Empty if the server's record has none. */
  readonly softwareVersion: string;
  readonly stage: OriginStage;
  /** Monotonic time of the record, in milliseconds. */
  readonly atMs: number;
}

/** A record with the number of leases that may still turn out to have brought no event. */
interface HeldOrigin extends StreamOrigin {
  readonly leases: number;
}

/** Limits of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  /** Returns the time for which a record is held since it was last written, in milliseconds. */
  readonly maxAgeMs: () => number;
  readonly maxRecords?: number;
}

/** Bounded, expiring records of one process, by stream key; the oldest go first. */
export class StreamOrigins {
  /** In the order of their times. */
  private readonly records = new Map<string, HeldOrigin>();
  private readonly maxAgeMs: () => number;
  private readonly maxRecords: number;

  constructor({maxAgeMs, maxRecords = 16_384}: StreamOriginsOptions) {
    this.maxAgeMs = maxAgeMs;
    this.maxRecords = maxRecords;
  }

  /** Number of records held. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records that a server is to run the stream. A begun record stays, and is held longer if the
   * version is the same; a granted record of another version is replaced.
   */
  recordGranted(stream: string, softwareVersion: string, nowMs: number): void {
    const known = this.held(stream, nowMs);
    const isSame = known?.softwareVersion === softwareVersion;
    if (known?.stage === ORIGIN_STAGE.begun) {
      if (isSame) this.write(stream, {...known, atMs: nowMs});
      return;
    }
    const leases = isSame ? known.leases + 1 : 1;
    const {granted} = ORIGIN_STAGE;
    this.write(stream, {softwareVersion, stage: granted, atMs: nowMs, leases});
  }

  /** Records that a server sent an event of the stream. The version of the first such record stays. */
  recordBegun(stream: string, softwareVersion: string, nowMs: number): void {
    const known = this.held(stream, nowMs);
    const {begun} = ORIGIN_STAGE;
    if (known?.stage !== begun) {
      this.write(stream, {
        softwareVersion,
        stage: begun,
        atMs: nowMs,
        leases: 0,
      });
    } else if (known.softwareVersion === softwareVersion) {
      this.write(stream, {...known, atMs: nowMs});
    }
  }

  /**
   * Forgets a granted record after one lease ended without an event; a begun one stays, and so does
   * one that another lease granted as well. With a version, a record of another version stays.
   */
  forgetGranted(stream: string, softwareVersion?: string): void {
    const known = this.records.get(stream);
    if (known?.stage !== ORIGIN_STAGE.granted) return;
    if ((softwareVersion ?? known.softwareVersion) !== known.softwareVersion) {
      return;
    }
    // In place, so that the order of the times stays.
    if (known.leases > 1) {
      this.records.set(stream, {...known, leases: known.leases - 1});
    } else {
      this.records.delete(stream);
    }
  }

  /** Returns the record of a stream, undefined without one. */
  find(stream: string, nowMs: number): StreamOrigin | undefined {
    const known = this.held(stream, nowMs);
    if (known === undefined) return undefined;
    const {softwareVersion, stage, atMs} = known;
    return {softwareVersion, stage, atMs};
  }

  private held(stream: string, nowMs: number): HeldOrigin | undefined {
    const maxAgeMs = this.maxAgeMs();
    for (const [oldest, {atMs}] of this.records) {
      if (nowMs - atMs <= maxAgeMs) break;
      this.records.delete(oldest);
    }
    return this.records.get(stream);
  }

  private write(stream: string, record: HeldOrigin): void {
    this.records.delete(stream);
    this.records.set(stream, record);
    if (this.records.size <= this.maxRecords) return;
    const [oldest] = this.records.keys();
    if (oldest !== undefined) this.records.delete(oldest);
  }
}

/** Maximum number of nodes that are asked for the origin of one stream. */
export const MAX_ASKED_NODES = 8;

/** Returns the first nodes of the rendezvous order, best first, as {@link rankTargets} with equal weights. */
function firstNodes(
  stream: string,
  nodes: readonly string[],
  count: number,
): readonly string[] {
  const keyHash = hash32(stream);
  const best: Array<{readonly name: string; readonly score: number}> = [];
  for (const name of nodes) {
    const score = rendezvousScore(keyHash, hash32(name), 1);
    let at = best.length;
    for (; at > 0; at--) {
      const other = best[at - 1];
      if (other === undefined || other.score > score) break;
      if (other.score === score && other.name < name) break;
    }
    if (at >= count) continue;
    best.splice(at, 0, {name, score});
    if (best.length > count) best.pop();
  }
  return best.map(({name}) => name);
}

/**
 * Returns the names of the nodes to ask for the origin of a stream, best first. `nodes` are those beside
 * servers of the stream's service, so that of a small service all are asked.
 */
export function nodesToAsk(
  stream: string,
  nodes: readonly string[],
): readonly string[] {
  return firstNodes(stream, nodes, MAX_ASKED_NODES);
}

/**
 * Returns the node that is told of a begun stream; undefined if there is no other node than `own`,
 * the node beside its server.
 */
export function keeperOf(
  stream: string,
  nodes: readonly string[],
  own: string,
): string | undefined {
  return firstNodes(stream, nodes, 2).find(name => name !== own);
}

/** What one asked node answers. */
export interface OriginAnswer {
  /** Absent if the node has no record of the stream. */
  readonly origin?: Pick<StreamOrigin, 'softwareVersion' | 'stage'>;
  /** What the node knows of the versions of the service. */
  readonly versions: KnownVersions;
}

/** Results of {@link decideOrigin}. */
export const ORIGIN_OUTCOME = {
  known: 'known',
  /** Nobody knows the origin. */
  unknown: 'unknown',
  /** The answers name several origins. */
  conflicting: 'conflicting',
} as const;

/** One of the values of {@link ORIGIN_OUTCOME}. */
export type OriginOutcome =
  (typeof ORIGIN_OUTCOME)[keyof typeof ORIGIN_OUTCOME];

/** Origin of a stream according to the answers. */
export type OriginDecision =
  | {
      readonly outcome: typeof ORIGIN_OUTCOME.known;
      readonly softwareVersion: string;
      /** Stage of the records that decided; `only` if the service has had one version. */
      readonly stage: OriginStage | 'only';
    }
  | {
      readonly outcome: Exclude<OriginOutcome, typeof ORIGIN_OUTCOME.known>;
    };

/** Returns the origin according to records of one stage, undefined without a record. */
function decisionByStage(
  answers: readonly OriginAnswer[],
  stage: OriginStage,
): OriginDecision | undefined {
  const versions = new Set(
    answers.flatMap(({origin}) =>
      origin?.stage === stage ? [origin.softwareVersion] : [],
    ),
  );
  if (versions.size > 1) return {outcome: ORIGIN_OUTCOME.conflicting};
  for (const softwareVersion of versions) {
    return {outcome: ORIGIN_OUTCOME.known, softwareVersion, stage};
  }
  return undefined;
}

/** Returns the origin if the answers agree that the service has had one version only. */
function decisionByVersions(answers: readonly OriginAnswer[]): OriginDecision {
  const versions = new Set<string>();
  for (const {versions: known} of answers) {
    if (known.kind === 'several') return {outcome: ORIGIN_OUTCOME.unknown};
    if (known.kind === 'only') versions.add(known.softwareVersion);
  }
  const [softwareVersion, ...others] = versions;
  if (softwareVersion === undefined || others.length > 0) {
    return {outcome: ORIGIN_OUTCOME.unknown};
  }
  return {outcome: ORIGIN_OUTCOME.known, softwareVersion, stage: 'only'};
}

/**
 * Returns the origin of a stream according to the answers: begun records decide first, then granted
 * ones, then the versions that the service has had.
 */
export function decideOrigin(answers: readonly OriginAnswer[]): OriginDecision {
  return (
    decisionByStage(answers, ORIGIN_STAGE.begun) ??
    decisionByStage(answers, ORIGIN_STAGE.granted) ??
    decisionByVersions(answers)
  );
}

/** Returns whether the answers decide without the others: a begun record has come. */
export function isDecided(answers: readonly OriginAnswer[]): boolean {
  return answers.some(({origin}) => origin?.stage === ORIGIN_STAGE.begun);
}
