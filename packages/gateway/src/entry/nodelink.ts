/**
 * An entry's exchange with the target node of one engine: adapter leases, probes and
 * engine reports. The datagrams between them need no connection, so engines that an
 * entry does not use cost it nothing but rare probes.
 */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  CONFIRMED_RESEND_MS,
  isNodeLost,
  lostProbeDelayMs,
  resendDelayMs,
  type AccountTotal,
  type AccountUse,
  type CrashRecord,
  type OriginAnswer,
  type RefusableRequest,
  type RefusedLease,
} from '@balsamnotch/core';
import {
  HoldRequestSchema,
  RequestEnd,
  type AdapterLeaseSchema,
  type EngineReport,
  type HoldRequest,
  type HoldResponse,
} from '@balsamnotch/wire';
import type {GatewayContext} from '../node/context.js';
import {modelAdapterKey} from '../node/directorystate.js';
import {CHANGE_SOURCE} from '../node/freshness.js';
import {openEvidenceExchange} from '../node/evidenceexchange.js';
import type {LeaseTerms} from '../node/leaseterms.js';
import {messageKind} from '../node/messagekind.js';
import {AnswerWait} from './answerwait.js';
import {NodeRefusals} from './noderefusals.js';
import {
  openOperatorExchange,
  operatorStateOf,
} from '../node/operatorexchange.js';
import {
  NO_VERSIONS,
  openOriginQuestions,
  type OwnVersions,
} from './originquestions.js';
import {RecentAdapters} from './recent.js';
import type {EndedRequest} from './requestend.js';

/**
 * Time for the target node's answer after a lease's wait has ended, in
 * milliseconds. The target node checks waiting leases every 15 ms.
 */
const ANSWER_MARGIN_MS = 150;

/** Request for a lease on an adapter. The terms are sent as they are. */
export interface LeaseRequest extends LeaseTerms {
  /** Whether the engine holds the adapter, as this entry knows it. */
  readonly isHeld: boolean;
  /** Longest wait for the grant, in milliseconds. */
  readonly waitMs: number;
  /** Time until the deadline of the request, in milliseconds. */
  readonly holdMs: number;
}

/** Answer to a lease request. */
export interface LeaseAnswer {
  /** Reason of a refusal; empty if granted. */
  readonly reason: string;
  /** Time until the target node expects capacity, in milliseconds; 0 if unknown. */
  readonly retryAfterMs: number;
}

/** A requested lease, granted or not. */
export interface Lease {
  /** Never rejects. */
  readonly answer: Promise<LeaseAnswer>;
  /** Whether the target node has received the request and decides later. */
  readonly isConfirmed: () => boolean;
  /**
   * Ends the lease. Further calls have no effect. `ended` tells how its request ended, if it
   * was sent.
   */
  readonly release: (ended?: EndedRequest) => void;
}

/** Answer to a lease whose target node does not answer. */
export const LEASE_LOST: LeaseAnswer = {
  reason: 'target_node_lost',
  retryAfterMs: 0,
};

/** Answer to a lease that the target node did not grant in time. */
const LEASE_SILENT: LeaseAnswer = {
  reason: 'target_node_silent',
  retryAfterMs: 0,
};

/** Answer to a lease that was released while it waited. */
const LEASE_RELEASED: LeaseAnswer = {reason: 'released', retryAfterMs: 0};

/** A requested lease that has not been answered. */
interface WaitingLease {
  readonly request: RefusableRequest;
  readonly resolve: (answer: LeaseAnswer) => void;
  /** Handles the confirmation that the target node has received the request. */
  readonly confirm: () => void;
}

/** A report with the time of its arrival. */
interface ReceivedReport {
  readonly report: EngineReport;
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
}

/** Exchange with one target node. */
export interface NodeLink {
  /** Last report that is not older than `maxAgeMs` milliseconds; undefined while the node is lost. */
  readonly report: (maxAgeMs?: number) => EngineReport | undefined;
  /** Whether the target node does not answer. */
  readonly isLost: () => boolean;
  /** Adapters that the engine held recently. */
  readonly recentAdapters: RecentAdapters;
  /**
   * Returns whether a lease on the adapter was granted since the last report,
   * which means that the engine holds the adapter.
   */
  readonly isGrantedSinceReport: (model: string, adapter: string) => boolean;
  /** Requests a lease. */
  readonly acquire: (request: LeaseRequest) => Lease;
  /** Returns the refusal by which the node has refused such a request as well; undefined if none. */
  readonly refusalOf: (request: RefusableRequest) => RefusedLease | undefined;
  /**
   * Asks for a report. `intervalMs` is the time between two probes to this node, in milliseconds;
   * the other number is the rate at which this entry sends requests to plain services.
   */
  readonly probe: (intervalMs: number, plainRequestsPerSecond: number) => void;
  /** Passes on the limit that an answer of the engine has just stated, in requests per second; 0 for none. */
  readonly stateLimit: (perSecond: number, incarnationMs: number) => void;
  /** Tells the node of a stream that began at a server beside another node; lost if the datagram is. */
  readonly tellBegun: (stream: string, softwareVersion: string) => void;
  /**
   * Asks the node for the origin of a stream. Resolves to undefined if the node is lost or does
   * not answer within {@link ORIGIN_WAIT_MS}; never rejects.
   */
  readonly askOrigin: (
    stream: string,
    service: string,
  ) => Promise<OriginAnswer | undefined>;
  /**
   * States the use of accounts, whose totals the node answers with; lost if the datagram is.
   * `intervalMs` is the least time between two such messages.
   */
  readonly stateUses: (uses: readonly AccountUse[], intervalMs: number) => void;
  /** Handles a message from the target node. */
  readonly handleResponse: (response: HoldResponse) => void;
  /** Ends the exchange; waiting leases are answered as lost. */
  readonly close: () => void;
}

/** Options of {@link openNodeLink}. */
export interface NodeLinkOptions {
  readonly context: GatewayContext;
  /** `ip:port` of the target node, for logs. */
  readonly address: string;
  /** Number chosen at random when the process starts. */
  readonly session: number;
  /**
   * Returns a number that no lease of this process has had. The target node ignores the ids of
   * leases that have ended, also after this link was closed and opened again.
   */
  readonly createLeaseId: () => number;
  /** Sends a datagram to the target node. */
  readonly send: (request: HoldRequest) => void;
  /** Sends a message that carries or asks for operator changes; resolves to the answer. */
  readonly exchangeChanges: (request: HoldRequest) => Promise<HoldResponse>;
  /** Returns whether this node is told of an operator change at once. */
  readonly isAnnounced?: () => boolean;
  /** Returns whether the record of a crash is passed on to this node at once. */
  readonly isPassedOn?: (record: CrashRecord) => boolean;
  /** Versions of services as this entry knows them; default: none. */
  readonly versions?: OwnVersions;
  /** Handles the totals of accounts that the node states. */
  readonly onTotals?: (totals: readonly AccountTotal[]) => void;
}

/** Opens the exchange with a target node. */
export function openNodeLink({
  context,
  address,
  session,
  createLeaseId,
  send,
  exchangeChanges,
  isAnnounced = () => true,
  isPassedOn = () => true,
  versions = NO_VERSIONS,
  onTotals = () => undefined,
}: NodeLinkOptions): NodeLink {
  const {name, log, metrics, clock, directory, evidence} = context;
  const waitingLeases = new Map<number, WaitingLease>();
  const grantedSinceReport = new Set<string>();
  const recentAdapters = new RecentAdapters();
  const refusals = new NodeRefusals(clock);
  let received: ReceivedReport | undefined;
  let hasAnswered = false;
  let isLost = false;
  let isClosed = false;
  const probeWait = new AnswerWait();

  const createRequest = (
    message: MessageInitShape<typeof HoldRequestSchema>,
  ): HoldRequest => {
    const request = create(HoldRequestSchema, message);
    request.entry = name;
    request.session = session;
    request.operatorState ??= operatorStateOf(directory);
    request.crashDigest = evidence.digest();
    return request;
  };
  const sendMessage = (message: MessageInitShape<typeof HoldRequestSchema>) => {
    if (isClosed) return;
    const request = createRequest(message);
    const hasChanges = (request.operatorState?.changes ?? '') !== '';
    if (!hasChanges && !request.wantsChanges) {
      metrics.count('control_sent', messageKind(message));
      send(request);
      return;
    }
    exchangeChanges(request)
      .then(response => {
        if (!isClosed) exchange.handleMessage(response);
      })
      .catch((error: Error) =>
        log.info('operator_changes_failed', {
          address,
          message: error.message.slice(0, 120),
        }),
      );
  };
  const exchange = openOperatorExchange({
    directory,
    source: CHANGE_SOURCE.targetNode,
    send: sendMessage,
    log,
    metrics,
    isAnnounced,
  });

  const evidenceExchange = openEvidenceExchange({
    evidence,
    clock,
    send: sendMessage,
    isAnnounced: isPassedOn,
  });

  const questions = openOriginQuestions({
    clock,
    versions,
    send: (stream, service) => sendMessage({askedStreams: [{stream, service}]}),
  });

  const markLost = (reason: string) => {
    if (!isLost) {
      log.warn('target_node_lost', {address, reason});
      metrics.count('target_node_lost');
    }
    isLost = true;
    for (const {resolve} of waitingLeases.values()) resolve(LEASE_LOST);
    waitingLeases.clear();
    questions.abandon();
    grantedSinceReport.clear();
    scheduleLostProbe(0);
  };
  const scheduleLostProbe = (probes: number) => {
    probeWait.cancel();
    if (isClosed) return;
    probeWait.start(lostProbeDelayMs(probes), () => {
      sendMessage({wantsReport: true});
      scheduleLostProbe(probes + 1);
    });
  };
  const handleReport = (report: EngineReport) => {
    received = {report, atMs: clock.monotonicMs()};
    grantedSinceReport.clear();
    recentAdapters.record(report);
    refusals.recordReport(report);
  };
  const handleResponse = (response: HoldResponse) => {
    const isRegained = isLost || !hasAnswered;
    hasAnswered = true;
    probeWait.cancel();
    if (isRegained && !response.stopping) {
      isLost = false;
      log.info('target_node_regained', {address});
    }
    if (response.report !== undefined) handleReport(response.report);
    if (response.session === session) {
      for (const {id, granted, reason, retryAfterMs} of response.grants) {
        const lease = waitingLeases.get(id);
        if (lease === undefined) continue;
        waitingLeases.delete(id);
        if (granted) {
          const {model, adapter} = lease.request;
          grantedSinceReport.add(modelAdapterKey(model, adapter));
          refusals.recordGrant(lease.request);
        } else refusals.recordRefusal(lease.request, reason, retryAfterMs);
        lease.resolve({
          reason: granted ? '' : reason || 'refused',
          retryAfterMs,
        });
      }
      for (const id of response.queued) waitingLeases.get(id)?.confirm();
      questions.handleAnswers(response.streamAnswers);
      if (response.accountTotals.length > 0) {
        onTotals(
          response.accountTotals.map(({account, level, askedPerS}) => ({
            account,
            level,
            askedPerSecond: askedPerS,
          })),
        );
      }
    }
    exchange.handleMessage(response);
    evidenceExchange.handleMessage(response);
    if (response.stopping) markLost('stopping');
  };
  /** Sends a probe again until the target node has answered it or is lost. */
  const resendProbe = (sends: number) => {
    probeWait.start(resendDelayMs(sends), () => {
      if (isNodeLost(probeWait.silentMs)) {
        markLost('silent');
        return;
      }
      sendMessage({wantsReport: true});
      resendProbe(sends + 1);
    });
  };
  const acquire = (request: LeaseRequest): Lease => {
    if (isLost || isClosed) {
      return {
        answer: Promise.resolve(LEASE_LOST),
        isConfirmed: () => false,
        release: () => undefined,
      };
    }
    const id = createLeaseId();
    const startedAtMs = clock.monotonicMs();
    /** Number of sends since the last confirmation. */
    let sends = 0;
    /** Waits for the answer since then. */
    const wait = new AnswerWait();
    const remainingWaitMs = () =>
      request.waitMs + ANSWER_MARGIN_MS - (clock.monotonicMs() - startedAtMs);
    const scheduleSend = (delayMs: number) =>
      wait.start(Math.max(0, Math.min(delayMs, remainingWaitMs())), sendLease);
    const sendLease = () => {
      const nowMs = clock.monotonicMs();
      if (sends > 0 && isNodeLost(wait.silentMs)) {
        markLost('silent');
        return;
      }
      if (remainingWaitMs() <= 0) {
        waitingLeases.get(id)?.resolve(LEASE_SILENT);
        return;
      }
      const elapsedMs = nowMs - startedAtMs;
      if (sends === 0) wait.reset();
      else metrics.count('lease_resent');
      sends += 1;
      const lease: MessageInitShape<typeof AdapterLeaseSchema> = {
        ...request,
        promptParts: [...request.promptParts],
        id,
        waitMs: Math.max(0, Math.floor(request.waitMs - elapsedMs)),
        holdMs: Math.max(0, Math.ceil(request.holdMs - elapsedMs)),
      };
      sendMessage({acquire: [lease]});
      scheduleSend(resendDelayMs(sends));
    };
    let isConfirmed = false;
    const confirm = () => {
      isConfirmed = true;
      sends = 0;
      scheduleSend(CONFIRMED_RESEND_MS);
    };
    const answer = new Promise<LeaseAnswer>(resolve =>
      waitingLeases.set(id, {request, resolve, confirm}),
    ).finally(() => wait.cancel());
    sendLease();
    let isActive = true;
    return {
      answer,
      isConfirmed: () => isConfirmed,
      release: ended => {
        if (!isActive) return;
        isActive = false;
        waitingLeases.get(id)?.resolve(LEASE_RELEASED);
        waitingLeases.delete(id);
        sendMessage({
          release: [id],
          firstEventMs: [Math.round(ended?.firstByteMs ?? 0)],
          requestEnds: [ended?.end ?? RequestEnd.UNKNOWN],
          brokenRequests: [ended?.brokenRequest ?? ''],
        });
      },
    };
  };
  return {
    report: (maxAgeMs = Infinity) => {
      if (isLost || received === undefined) return undefined;
      const ageMs = clock.monotonicMs() - received.atMs;
      return ageMs <= maxAgeMs ? received.report : undefined;
    },
    isLost: () => isLost,
    recentAdapters,
    isGrantedSinceReport: (model, adapter) =>
      grantedSinceReport.has(modelAdapterKey(model, adapter)),
    acquire,
    refusalOf: request => refusals.of(request),
    stateLimit: (perSecond, incarnationMs) => {
      sendMessage({limit: {perS: perSecond, incarnationMs}});
    },
    probe: (intervalMs, plainRequestsPerSecond) => {
      if (isLost || isClosed) return;
      sendMessage({
        wantsReport: true,
        probeIntervalMs: Math.round(intervalMs),
        plainRequestsPerS: plainRequestsPerSecond,
        serviceVersions: [...versions.statements()],
      });
      probeWait.reset();
      resendProbe(1);
    },
    tellBegun: (stream, softwareVersion) =>
      sendMessage({begunStreams: [{stream, softwareVersion}]}),
    askOrigin: (stream, service) =>
      isLost || isClosed
        ? Promise.resolve(undefined)
        : questions.ask(stream, service),
    stateUses: (uses, intervalMs) =>
      sendMessage({
        accountUses: uses.map(({perSecond, ...use}) => ({
          ...use,
          perS: perSecond,
        })),
        accountIntervalMs: Math.round(intervalMs),
      }),
    handleResponse,
    close: () => {
      if (isClosed) return;
      isClosed = true;
      probeWait.cancel();
      exchange.close();
      evidenceExchange.close();
      for (const {resolve} of waitingLeases.values()) resolve(LEASE_LOST);
      waitingLeases.clear();
      questions.abandon();
    },
  };
}
