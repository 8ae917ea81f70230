/** A target node's side of the exchange with one entry: the entry's leases and their answers. */
import {
  AccountTotals,
  MERGED_VERSION,
  engineOf,
  isUsableUse,
  sharedPartsOf,
} from '@balsamnotch/core';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  HoldResponseSchema,
  RequestEnd,
  type AdapterLease,
  type EngineReportSchema,
  type HoldRequest,
  type HoldResponse,
  type LeaseGrantSchema,
} from '@balsamnotch/wire';
import {dropOldest} from '../node/boundedset.js';
import type {GatewayContext} from '../node/context.js';
import {CHANGE_SOURCE} from '../node/freshness.js';
import {
  openOperatorExchange,
  operatorStateOf,
} from '../node/operatorexchange.js';
import {openEvidenceExchange} from '../node/evidenceexchange.js';
import {messageKind} from '../node/messagekind.js';
import {LEASE_REFUSAL} from '../node/leaserefusal.js';
import {ACCOUNT_EVENT, type AccountEvent} from '../node/metrics.js';
import type {EngineController} from './controller.js';
import type {CrashWatch} from './crashwatch.js';
import type {LeaseHandle} from './leases.js';
import type {OriginAnswers, StreamLease} from './originanswers.js';

/** Time after its request's deadline for which a lease is kept, in milliseconds. */
const HOLD_MARGIN_MS = 250;

/**
 * Number of ended leases whose ids are remembered, so that a repeated or delayed
 * datagram does not acquire them again.
 */
const MAX_ENDED_IDS = 512;

/** Minimum time between two reports to one entry, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 80;

/** Time without a message after which an entry without leases is forgotten, in milliseconds. */
const IDLE_MS = 60_000;

/** A lease as the target node tracks it. */
interface HeldLease {
  readonly handle: LeaseHandle;
  readonly promptTokens: number;
  /** See {@link LeaseTerms.promptParts}. */
  readonly promptParts: readonly string[];
  readonly streamLease: StreamLease;
  /** Monotonic time at which the lease ends without a release, in milliseconds. */
  readonly endsAtMs: number;
}

/** Exchange with one process of an entry. */
export interface EntryLink {
  readonly session: number;
  /** Handles a message that came from the address `ip:port`. */
  readonly handleRequest: (request: HoldRequest, from: string) => void;
  /** Tells the entry that this node stops. */
  readonly announceStop: () => void;
  /** Ends the leases whose time is over. */
  readonly expire: () => void;
  /** Returns whether the entry has no lease and has not sent a message for a minute. */
  readonly isIdle: () => boolean;
  /** Ends all leases. */
  readonly close: () => void;
}

/** Options of {@link openEntryLink}. */
export interface EntryLinkOptions {
  readonly context: GatewayContext;
  readonly controller: Pick<
    EngineController,
    'acquire' | 'recordFirstEvent' | 'recordLimit'
  >;
  readonly crashWatch: Pick<CrashWatch, 'recordAnswer' | 'recordBreak'>;
  /** Origins of streams, for all entries of the node. */
  readonly origins: Pick<OriginAnswers, 'lease' | 'handleMessage'>;
  /** Use of accounts' allotments, for all entries of the node. */
  readonly totals?: Pick<AccountTotals, 'record' | 'endSession'>;
  readonly entry: string;
  readonly session: number;
  readonly createReport: () => MessageInitShape<typeof EngineReportSchema>;
  /** Sends a datagram to `ip:port`. */
  readonly send: (response: HoldResponse, address: string) => void;
  /** Returns whether this entry is told of an operator change at once. */
  readonly isAnnounced?: () => boolean;
  /** Returns whether a crash record that entries add to is passed on to this entry at once. */
  readonly isPassedOn?: () => boolean;
}

/** Opens the exchange with an entry. */
export function openEntryLink({
  context,
  controller,
  crashWatch,
  origins,
  totals = new AccountTotals(),
  entry,
  session,
  createReport,
  send,
  isAnnounced = () => true,
  isPassedOn = () => true,
}: EntryLinkOptions): EntryLink {
  const {name, log, clock, directory, evidence, metrics} = context;
  const leases = new Map<number, HeldLease>();
  /** Answers to the leases in `leases`; a waiting lease has none. */
  const answers = new Map<number, MessageInitShape<typeof LeaseGrantSchema>>();
  const endedIds = new Set<number>();
  let address = '';
  let heardAtMs = clock.monotonicMs();
  let reportedAtMs = -Infinity;

  const sendMessage = (
    message: MessageInitShape<typeof HoldResponseSchema>,
  ) => {
    if (address === '') return;
    metrics.count('control_sent', messageKind(message));
    const response = create(HoldResponseSchema, message);
    response.session = session;
    response.operatorState ??= operatorStateOf(directory);
    response.crashDigest = evidence.digest();
    send(response, address);
  };
  const exchange = openOperatorExchange({
    directory,
    source: CHANGE_SOURCE.entry,
    send: sendMessage,
    log,
    metrics,
    isAnnounced,
  });
  const evidenceExchange = openEvidenceExchange({
    evidence,
    clock,
    send: sendMessage,
    // Entries pass the records of other engines on.
    isAnnounced: ({key, version}) =>
      engineOf(key) === name || (version === MERGED_VERSION && isPassedOn()),
  });
  /** Records how the request of a released lease ended, as evidence on the engine's crashes. */
  const recordEnd = (
    promptParts: readonly string[],
    end: RequestEnd = RequestEnd.UNKNOWN,
    request = '',
  ) => {
    const parts = sharedPartsOf(promptParts);
    const hasEvent = end === RequestEnd.ANSWERED;
    if (hasEvent) crashWatch.recordAnswer(parts);
    const isBrokenEarly =
      end === RequestEnd.BROKEN || end === RequestEnd.BROKEN_AT_START;
    if (!isBrokenEarly && request === '') return;
    crashWatch.recordBreak({
      suspect: {parts, session: promptParts.at(-1) ?? ''},
      hasBegun: end !== RequestEnd.BROKEN,
      request,
      hasEvent,
    });
  };
  /** Creates a report, unless the entry has received one recently. */
  const createDueReport = () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - reportedAtMs < MIN_REPORT_INTERVAL_MS) return undefined;
    reportedAtMs = nowMs;
    return createReport();
  };
  const endLease = (id: number) => {
    leases.get(id)?.handle.release();
    leases.delete(id);
    answers.delete(id);
    endedIds.add(id);
    dropOldest(endedIds, MAX_ENDED_IDS);
  };
  const acquireLease = ({
    id,
    requestId,
    waitMs,
    holdMs,
    stream,
    softwareVersion,
    ...leaseFields
  }: AdapterLease) => {
    const nowMs = clock.monotonicMs();
    const answer = (reason: string, retryAfterMs: number) => {
      const roundedMs = Math.round(retryAfterMs);
      const leaseAnswer = {
        id,
        granted: reason === '',
        reason,
        retryAfterMs: roundedMs,
      };
      answers.set(id, leaseAnswer);
      if (reason !== '') {
        log.info('lease_refused', {
          request: requestId,
          reason,
          entry,
          ...(leaseFields.account === '' ? {} : {account: leaseFields.account}),
          retry_after_ms: roundedMs,
        });
      }
      sendMessage({grants: [leaseAnswer], report: createDueReport()});
    };
    const sharedParts = sharedPartsOf(leaseFields.promptParts);
    const quarantine = evidence.quarantineOf(sharedParts);
    if (quarantine !== undefined) {
      answer(LEASE_REFUSAL.quarantined, quarantine.endsAtMs - nowMs);
      return;
    }
    const {promptTokens, promptParts, account, outputTokens} = leaseFields;
    const countForAccount = (event: AccountEvent, amount: number) => {
      if (account !== '') metrics.countAccount(event, account, amount);
    };
    // Recorded before the grant: an entry may send a request whose grant is late.
    const streamLease = origins.lease(stream, softwareVersion);
    const handle = controller.acquire({
      ...leaseFields,
      requestId,
      requestedAtMs: nowMs,
      waitDeadlineMs: nowMs + waitMs,
      answer: (reason, retryAfterMs) => {
        if (reason !== '') streamLease.end(false);
        else countForAccount(ACCOUNT_EVENT.tokens, promptTokens + outputTokens);
        answer(reason, retryAfterMs);
      },
    });
    const endsAtMs = nowMs + holdMs + HOLD_MARGIN_MS;
    leases.set(id, {
      handle,
      promptTokens,
      promptParts,
      streamLease,
      endsAtMs,
    });
    if (!answers.has(id)) {
      countForAccount(ACCOUNT_EVENT.waiting, 1);
      sendMessage({queued: [id], report: createDueReport()});
    }
  };
  /** Answers a lease that was already received: its answer or confirmation was lost. */
  const repeatAnswer = (id: number) => {
    const answer = answers.get(id);
    sendMessage(answer === undefined ? {queued: [id]} : {grants: [answer]});
  };
  /** Adds up the use of accounts that the entry states, and answers with the totals. */
  const answerUses = ({accountUses, accountIntervalMs}: HoldRequest) => {
    const nowMs = clock.monotonicMs();
    const times = {intervalMs: Math.max(1, accountIntervalMs), nowMs};
    const uses = accountUses.map(({account, asked, admitted, perS, burst}) => ({
      account,
      asked,
      admitted,
      perSecond: perS,
      burst,
    }));
    const usable = uses.filter(isUsableUse);
    if (usable.length < uses.length) {
      metrics.count('account_use_invalid');
      log.warn('account_use_invalid', {entry});
    }
    const accountTotals = usable.map(use => {
      const total = totals.record(session, use, times);
      const {account, level, askedPerSecond} = total;
      return {account, level, askedPerS: askedPerSecond};
    });
    sendMessage({accountTotals});
  };
  return {
    session,
    handleRequest: (request, from) => {
      address = from;
      heardAtMs = clock.monotonicMs();
      exchange.handleMessage(request);
      evidenceExchange.handleMessage(request);
      if (request.limit !== undefined) {
        const {perS, incarnationMs} = request.limit;
        controller.recordLimit(perS, incarnationMs, heardAtMs);
      }
      for (const [n, id] of request.release.entries()) {
        const lease = leases.get(id);
        const promptTokens = lease?.promptTokens ?? 0;
        const firstEventMs = request.firstEventMs[n] ?? 0;
        controller.recordFirstEvent(promptTokens, firstEventMs);
        if (lease !== undefined) {
          const end = request.requestEnds[n];
          recordEnd(lease.promptParts, end, request.brokenRequests[n]);
          // The head of an answer is no event: a refusal has one as well.
          lease.streamLease.end(end === RequestEnd.ANSWERED);
        }
        endLease(id);
      }
      for (const lease of request.acquire) {
        if (endedIds.has(lease.id)) continue;
        if (leases.has(lease.id)) repeatAnswer(lease.id);
        else acquireLease(lease);
      }
      const streamAnswers = origins.handleMessage(request);
      if (streamAnswers.length > 0) {
        sendMessage({streamAnswers: [...streamAnswers]});
      }
      if (request.accountUses.length > 0) answerUses(request);
      if (request.wantsReport) {
        reportedAtMs = heardAtMs;
        sendMessage({report: createReport()});
      }
    },
    announceStop: () => sendMessage({stopping: true}),
    expire: () => {
      const nowMs = clock.monotonicMs();
      for (const [id, {endsAtMs}] of leases) {
        if (endsAtMs > nowMs) continue;
        metrics.count('lease_expired');
        endLease(id);
      }
    },
    isIdle: () =>
      leases.size === 0 && clock.monotonicMs() - heardAtMs > IDLE_MS,
    close: () => {
      exchange.close();
      evidenceExchange.close();
      totals.endSession(session);
      for (const id of [...leases.keys()]) endLease(id);
    },
  };
}
