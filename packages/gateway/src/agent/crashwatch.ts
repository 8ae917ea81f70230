/** Records crashes of a target node's engine, with the requests that may have caused them. */
import {
  RecentPartAnswers,
  MAX_SUSPECTS,
  crashKey,
  itemsSince,
  withItem,
  type Clock,
  type CrashSuspect,
  type TimedItem,
} from '@balsamnotch/core';
import type {CrashEvidence} from '../node/crashevidence.js';

/**
 * Time before the crash is noticed within which the connection of a suspect broke, in
 * milliseconds. The engine is read each 100 ms, and an entry may be late with its message.
 */
const NOTICE_MS = 600;

/** Time after a crash for which broken requests are still attributed to it, in milliseconds. */
const LATE_MS = 1_000;

/** Time for the messages of entries to arrive before the record is published, in milliseconds. */
const SETTLE_MS = 60;

/**
 * Factor by which that time grows with each version of a record after the second. Each version goes to
 * all entries, and the messages of late entries arrive one by one.
 */
const SETTLE_GROWTH = 3;

/** A request whose connection broke. */
export interface BrokenRequest {
  readonly suspect: CrashSuspect;
  /** Whether the engine had begun to answer it. */
  readonly hasBegun: boolean;
  /** Id of the whole request, see {@link requestPart}; empty if unknown. */
  readonly request?: string;
  /**
   * Whether a complete event had arrived. Only the whole request is suspect then, not the parts
   * of its prompt.
   */
  readonly hasEvent?: boolean;
}

interface TimedBreak extends BrokenRequest, TimedItem {}

/** A crash that is being recorded. */
interface OpenCrash {
  readonly key: string;
  readonly atMs: number;
  version: number;
  /** Number of times that its record was published. */
  published: number;
}

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions {
  /** Name of the node, which names its engine. */
  readonly name: string;
  readonly clock: Clock;
  readonly evidence: Pick<CrashEvidence, 'add'>;
}

/** Follows the requests and reads of one engine. */
export class CrashWatch {
  private readonly answers = new RecentPartAnswers();
  private breaks: readonly TimedBreak[] = [];
  private incarnationMs: number | undefined;
  private crash: OpenCrash | undefined;
  /** The last crash that was taken back; a later one of the same incarnation continues its versions. */
  private withdrawn: OpenCrash | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CrashWatchOptions) {}

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /** Records that the engine answered a request with the given shared parts. */
  recordAnswer(parts: readonly string[]): void {
    this.answers.record(parts, this.nowMs());
  }

  /** Records that a connection to the engine broke. */
  recordBreak(request: BrokenRequest): void {
    const nowMs = this.nowMs();
    const timedBreak = {...request, atMs: nowMs};
    this.breaks = withItem(this.breaks, timedBreak, NOTICE_MS + LATE_MS);
    if (this.crash !== undefined && nowMs - this.crash.atMs < LATE_MS) {
      this.schedulePublish(this.crash);
    }
  }

  /** Records that the engine does not accept connections. */
  recordUnreachable(): void {
    if (this.incarnationMs !== undefined) this.openCrash(this.incarnationMs);
  }

  /** Records an answer of the engine about its state. */
  recordIncarnation(incarnationMs: number): void {
    const previous = this.incarnationMs;
    this.incarnationMs = incarnationMs;
    if (previous === undefined) return;
    if (previous !== incarnationMs) this.openCrash(previous);
    else this.withdraw(previous);
  }

  /** Stops publishing. */
  close(): void {
    clearTimeout(this.timer);
  }

  private openCrash(incarnationMs: number): void {
    const key = crashKey(this.options.name, incarnationMs);
    if (this.crash?.key === key) return;
    const nowMs = this.nowMs();
    const first = itemsSince(this.breaks, nowMs - NOTICE_MS)[0];
    const atMs = first?.atMs ?? nowMs;
    const version = this.withdrawn?.key === key ? this.withdrawn.version : 0;
    this.crash = {key, atMs, version, published: 0};
    this.schedulePublish(this.crash);
  }

  /** Takes a crash back, since the engine is still the same incarnation. */
  private withdraw(incarnationMs: number): void {
    const {crash} = this;
    if (crash?.key !== crashKey(this.options.name, incarnationMs)) return;
    clearTimeout(this.timer);
    this.crash = undefined;
    if (crash.published === 0) return;
    this.publish(crash, []);
    this.withdrawn = crash;
  }

  private schedulePublish(crash: OpenCrash): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => this.publish(crash, this.suspectsOf(crash)),
      SETTLE_MS * SETTLE_GROWTH ** Math.max(0, crash.published - 1),
    );
  }

  /**
   * Returns the requests whose prompts may have caused the crash, and then the others that may
   * have caused it as a whole.
   */
  private suspectsOf({atMs}: OpenCrash): readonly TimedBreak[] {
    const broken = itemsSince(this.breaks, atMs - 1);
    const early = broken.filter(({hasEvent}) => hasEvent !== true);
    const begun = early.filter(({hasBegun}) => hasBegun);
    const ofPrompt = begun.length > 0 ? begun : early;
    const others = broken
      .filter(item => !ofPrompt.includes(item) && (item.request ?? '') !== '')
      .map(item => ({...item, hasEvent: true}));
    return [...ofPrompt, ...others].slice(0, MAX_SUSPECTS);
  }

  private publish(crash: OpenCrash, broken: readonly TimedBreak[]): void {
    if (broken.length === 0 && crash.published === 0) return;
    crash.version += 1;
    crash.published += 1;
    const {answers} = this;
    const {atMs} = crash;
    const suspects = broken.map(({suspect, request = '', hasEvent}) => ({
      session: suspect.session,
      parts: [
        ...(hasEvent === true ? [] : suspect.parts),
        ...(request === '' ? [] : [request]),
      ],
    }));
    const parts = new Set(suspects.flatMap(suspect => suspect.parts));
    this.options.evidence.add({
      key: crash.key,
      version: crash.version,
      atMs,
      suspects,
      hasBegun: broken[0]?.hasBegun ?? false,
      answers: answers.total(atMs),
      partAnswers: new Map(
        [...parts].map(part => [part, answers.of(part, atMs)]),
      ),
    });
  }
}
