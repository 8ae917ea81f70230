/** An entry and a target node, joined by a model of a network. */
import assert from 'node:assert/strict';
import {mock} from 'node:test';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {NEVER} from 'rxjs';
import type {AccountTotal, OriginAnswer} from '@balsamnotch/core';
import type {EventLog, LogFields} from '@balsamnotch/daemon';
import {
  HoldResponseSchema,
  type EngineReportSchema,
  type HoldRequest,
  type HoldResponse,
} from '@balsamnotch/wire';
import {openEntryLink, type EntryLink} from '../src/agent/entrylink.js';
import type {LeaseRequest as NodeLeaseRequest} from '../src/agent/leases.js';
import {
  createOriginAnswers,
  type OriginAnswers,
} from '../src/agent/originanswers.js';
import {openNodeLink, type NodeLink} from '../src/entry/nodelink.js';
import {
  ORIGIN_WAIT_MS,
  type OwnVersions,
} from '../src/entry/originquestions.js';
import type {GatewayContext} from '../src/node/context.js';
import {createCrashEvidence} from '../src/node/crashevidence.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {QUIET_LOG, createSilentDirectory} from './support.js';

/** Step of {@link Pair.advance}, in milliseconds. */
export const STEP_MS = 5;
const NODE = '10.0.0.2:7000';
const ENTRY = '10.0.0.1:7000';

/** Key of the stream that questions ask for, if they name no other. */
export const STREAM = 'stream-1';

/** Service of the streams. */
export const SERVICE = 's';

/** A request for a lease. */
export const leaseRequest = {
  requestId: 'r',
  model: 'm',
  adapter: 'a1',
  version: 0,
  isHeld: false,
  rank: 0,
  objectiveMs: 600,
  gapObjectiveMs: 300,
  promptTokens: 500,
  promptParts: ['p1', 'own'],
  waitMs: 1_500,
  holdMs: 5_000,
};

/** What happens to one datagram: the delays after which copies of it arrive. */
export type Fate = readonly number[];

/** Fate of a datagram that arrives. */
export const ARRIVES: Fate = [1];

/** Fate of a datagram that is lost. */
export const LOST: Fate = [];

/** Resolves after what a turn of the event loop has left to do: reactions to promises, and immediates. */
async function turnOfLoop(): Promise<void> {
  for (let i = 0; i < 2; i++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

/** An entry and a target node, joined by a network that the test controls. */
export class Pair {
  nowMs = 0;
  /** Fate of the next datagrams in order; the later ones arrive. */
  fates: Fate[] = [];
  /** Whether all datagrams are lost. */
  isCut = false;
  /** Leases that the target node has acquired and not released, by number of the call. */
  readonly held = new Map<number, NodeLeaseRequest>();
  acquisitions = 0;
  private requestedLeases = 0;
  /** Prompt tokens and times to first events that the target node has learnt. */
  readonly firstEvents: Array<[number, number]> = [];
  /** Limits that the target node has learnt, with the incarnation and the time of the answer. */
  readonly limits: Array<[number, number, number]> = [];
  report: MessageInitShape<typeof EngineReportSchema> = {incarnationMs: 1};
  entryLink: EntryLink;
  link: NodeLink;
  /** Origins that the target node knows. */
  readonly origins: OriginAnswers;
  /** Lines of the logs of both, with their events. */
  readonly lines: Array<LogFields & {readonly event: string}> = [];
  /** Pause from which the target node has just resumed, in milliseconds. */
  pauseMs = 0;
  /** Changes responses of the target node before they are sent. */
  rewrite = (response: HoldResponse): HoldResponse => response;
  /** Handles the totals of accounts that the entry receives. */
  onTotals: (totals: readonly AccountTotal[]) => void = () => undefined;
  /** Requests and responses that were sent. */
  sent = 0;
  private readonly inFlight: Array<{atMs: number; deliver: () => void}> = [];
  private readonly context: GatewayContext;

  constructor(
    /** Decides whether a lease is answered as soon as it is requested. */
    private readonly grantsAtOnce: () => boolean = () => true,
    /** What the entry knows of the versions of services. */
    private readonly versions?: OwnVersions,
  ) {
    const clock = {monotonicMs: () => this.nowMs, wallMs: () => 0};
    const directory = createSilentDirectory(clock);
    const record = (event: string, fields: LogFields = {}) => {
      this.lines.push({...fields, event});
    };
    const log: EventLog = {...QUIET_LOG, info: record, warn: record};
    this.context = {
      name: 'entry',
      failureDomain: 'd1',
      clock,
      random: () => 0.5,
      log,
      metrics: createGatewayMetrics(),
      directory,
      evidence: createCrashEvidence({
        clock,
        log: QUIET_LOG,
        metrics: createGatewayMetrics(),
      }),
      pauses: {
        pauseMs: () => this.pauseMs,
        pauses$: NEVER,
        latenessMs: () => 0,
        takeMaxDelayMs: () => 0,
        close: () => undefined,
      },
    };
    this.origins = createOriginAnswers({context: this.context, maxRecords: 50});
    this.entryLink = this.openEntryLink(7);
    this.link = this.openLink(7);
  }

  openEntryLink(session: number): EntryLink {
    return openEntryLink({
      context: this.context,
      controller: {
        acquire: request => {
          const n = this.acquisitions;
          this.acquisitions += 1;
          this.held.set(n, request);
          if (this.grantsAtOnce()) request.answer('', 0);
          return {release: () => this.held.delete(n)};
        },
        recordLimit: (perSecond, incarnationMs, atMs) => {
          this.limits.push([perSecond, incarnationMs, atMs]);
        },
        recordFirstEvent: (tokens, ms) => {
          if (ms > 0) this.firstEvents.push([tokens, ms]);
        },
      },
      crashWatch: {
        recordAnswer: () => undefined,
        recordBreak: () => undefined,
      },
      origins: this.origins,
      entry: 'entry',
      session,
      createReport: () => this.report,
      send: response => {
        const sent = this.rewrite(response);
        this.transmit(() => this.link.handleResponse(sent));
      },
      isAnnounced: () => false,
    });
  }

  openLink(session: number): NodeLink {
    return openNodeLink({
      context: this.context,
      address: NODE,
      session,
      createLeaseId: () => (this.requestedLeases += 1),
      send: (request: HoldRequest) =>
        this.transmit(() => this.entryLink.handleRequest(request, ENTRY)),
      exchangeChanges: async (): Promise<HoldResponse> =>
        create(HoldResponseSchema, {}),
      isAnnounced: () => false,
      versions: this.versions,
      onTotals: totals => this.onTotals(totals),
    });
  }

  private transmit(deliver: () => void): void {
    this.sent += 1;
    const fate = this.isCut ? LOST : (this.fates.shift() ?? ARRIVES);
    for (const delayMs of fate) {
      this.inFlight.push({atMs: this.nowMs + delayMs, deliver});
    }
  }

  async advance(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      this.nowMs += STEP_MS;
      this.deliverDue();
      mock.timers.tick(STEP_MS);
      this.entryLink.expire();
      await turnOfLoop();
    }
  }

  /**
   * Passes `ms` in one turn of the entry's event loop: the timers that are due run before the
   * datagrams that have arrived meanwhile are read. The node answers in time.
   */
  async advanceLate(ms: number): Promise<void> {
    this.nowMs += ms;
    mock.timers.tick(ms);
    // The answers to requests that were sent in this turn arrive in the next one.
    this.deliverDue();
    await turnOfLoop();
  }

  private deliverDue(): void {
    for (;;) {
      const due = this.inFlight.findIndex(({atMs}) => atMs <= this.nowMs);
      if (due < 0) return;
      this.inFlight.splice(due, 1)[0]?.deliver();
    }
  }

  close(): void {
    this.link.close();
    this.entryLink.close();
    this.context.directory.close();
  }
}

/** What became of a question: nothing yet, or its answer. */
export interface Question {
  isEnded: boolean;
  answer?: OriginAnswer;
}

/** Asks the node for the origin of a stream. */
export function ask(pair: Pair, stream = STREAM): Question {
  const question: Question = {isEnded: false};
  pair.link
    .askOrigin(stream, SERVICE)
    .then(answer => Object.assign(question, {isEnded: true, answer}))
    .catch(() => assert.fail('the question is rejected'));
  return question;
}

/** Asks, and returns the answer after the longest wait; undefined without one. */
export async function answerOf(
  pair: Pair,
  stream = STREAM,
): Promise<OriginAnswer | undefined> {
  const question = ask(pair, stream);
  await pair.advance(ORIGIN_WAIT_MS + STEP_MS);
  assert.ok(question.isEnded);
  return question.answer;
}
