/**
 * An entry's stream to the target node of one engine, which carries adapter
 * leases and engine reports.
 */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {silenceTimeoutMs} from '@balsamnotch/core';
import {transportTo} from '@balsamnotch/daemon';
import {
  HoldRequestSchema,
  Placement,
  type AdapterLeaseSchema,
  type EngineReport,
  type HoldRequest,
  type HoldResponse,
} from '@balsamnotch/wire';
import type {GatewayContext} from '../node/context.js';
import {SendQueue} from '../node/sendqueue.js';
import {modelAdapterKey} from '../node/directorystate.js';
import {CHANGE_SOURCE} from '../node/freshness.js';
import {openOperatorExchange} from '../node/operatorexchange.js';
import {RecentAdapters} from './recent.js';

/**
 * Time for the target node's answer after a lease's wait has ended, in
 * milliseconds. The target node checks waiting leases every 15 ms.
 */
const ANSWER_MARGIN_MS = 150;

/** Time after which the idle HTTP/2 session of a lost stream closes, in milliseconds. */
const IDLE_SESSION_MS = 1_000;

/**
 * Base of the delay before the stream is reopened, in milliseconds. It doubles
 * with each consecutive failure, the first included, and varies randomly by up
 * to 50%.
 */
const REOPEN_BASE_MS = 150;

/**
 * Upper limit of the delay before its random variation, in milliseconds; bounds
 * the time to find a restarted target node.
 */
const MAX_REOPEN_MS = 1_000;

/** Request for a lease on an adapter. The fields other than `waitMs` are sent as they are. */
export interface LeaseRequest {
  readonly requestId: string;
  readonly model: string;
  readonly adapter: string;
  /** Minimum version; 0 for any. */
  readonly version: number;
  /** Rank among the requests that compete for the engine; 0 is served first. */
  readonly rank: number;
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest wait for the grant, in milliseconds. */
  readonly waitMs: number;
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
  /** Ends the lease. Further calls have no effect. */
  readonly release: () => void;
}

/** Answer to a lease whose stream is lost or not open. */
export const LEASE_LOST: LeaseAnswer = {
  reason: 'target_node_lost',
  retryAfterMs: 0,
};

/** Answer to a lease that the target node did not answer in time. */
const LEASE_SILENT: LeaseAnswer = {
  reason: 'target_node_silent',
  retryAfterMs: 0,
};

/** Answer to a lease that was released while it waited. */
const LEASE_RELEASED: LeaseAnswer = {reason: 'released', retryAfterMs: 0};

/** A requested lease that has not been answered. */
interface WaitingLease {
  /** Key of model and adapter. */
  readonly key: string;
  readonly resolve: (answer: LeaseAnswer) => void;
}

/** Stream to one target node. */
export interface HoldStream {
  /** Last report of the target node; undefined while the stream is not open. */
  readonly report: () => EngineReport | undefined;
  /** Adapters that the engine held recently. */
  readonly recentAdapters: RecentAdapters;
  /**
   * Returns whether a lease on the adapter was granted since the last report,
   * which means that the engine holds the adapter.
   */
  readonly isGrantedSinceReport: (model: string, adapter: string) => boolean;
  /** Requests a lease. */
  readonly acquire: (request: LeaseRequest) => Lease;
  /** Closes the stream; it is not reopened. */
  readonly close: () => void;
}

/** Opens a stream to the target node at `ip:port`, and reopens it whenever it is lost. */
export function openHoldStream(
  address: string,
  {name, log, metrics, random, directory}: GatewayContext,
): HoldStream {
  const waitingLeases = new Map<number, WaitingLease>();
  const grantedSinceReport = new Set<string>();
  const recentAdapters = new RecentAdapters();
  let report: EngineReport | undefined;
  let queue: SendQueue<HoldRequest> | undefined;
  let abortController = new AbortController();
  let nextId = 1;
  let failures = 0;
  let isClosed = false;

  const send = (message: MessageInitShape<typeof HoldRequestSchema>) =>
    queue?.push(create(HoldRequestSchema, message));
  const handleResponse = (response: HoldResponse) => {
    if (response.report !== undefined) {
      if (report === undefined) {
        failures = 0;
        log.info('target_node_regained', {address});
      }
      report = response.report;
      grantedSinceReport.clear();
      recentAdapters.record(report);
    }
    for (const {id, granted, reason, retryAfterMs} of response.grants) {
      const lease = waitingLeases.get(id);
      if (lease === undefined) continue;
      waitingLeases.delete(id);
      if (granted) grantedSinceReport.add(lease.key);
      lease.resolve({
        reason: granted ? '' : reason || 'refused',
        retryAfterMs,
      });
    }
  };
  const handleStreamLoss = (reason: string) => {
    if (report !== undefined) {
      log.warn('target_node_lost', {address, reason: reason.slice(0, 120)});
      metrics.count('target_node_lost');
    }
    report = undefined;
    queue?.close();
    queue = undefined;
    for (const {resolve} of waitingLeases.values()) resolve(LEASE_LOST);
    waitingLeases.clear();
    grantedSinceReport.clear();
  };
  const runStream = async () => {
    const transport = transportTo(address, {
      idleConnectionTimeoutMs: IDLE_SESSION_MS,
    });
    abortController = new AbortController();
    queue = new SendQueue<HoldRequest>();
    send({entry: name});
    const exchange = openOperatorExchange({
      directory,
      source: CHANGE_SOURCE.targetNode,
      send,
      log,
      metrics,
    });
    const startSilenceTimer = () =>
      setTimeout(
        () => abortController.abort('silent'),
        silenceTimeoutMs(report?.entries ?? 0),
      );
    let silenceTimer = startSilenceTimer();
    try {
      const client = createClient(Placement, transport);
      for await (const response of client.hold(queue, {
        signal: abortController.signal,
      })) {
        handleResponse(response);
        exchange.handleMessage(response);
        clearTimeout(silenceTimer);
        silenceTimer = startSilenceTimer();
      }
      handleStreamLoss('ended');
    } catch (error) {
      handleStreamLoss(
        String(abortController.signal.reason ?? (error as Error).message),
      );
    } finally {
      exchange.close();
      clearTimeout(silenceTimer);
    }
  };
  const keepStreamOpen = async () => {
    while (!isClosed) {
      await runStream();
      failures += 1;
      const reopenDelayMs = Math.min(
        MAX_REOPEN_MS,
        REOPEN_BASE_MS * 2 ** failures,
      );
      await new Promise(resolve =>
        setTimeout(resolve, reopenDelayMs * (0.5 + random())),
      );
    }
  };
  keepStreamOpen().catch((error: Error) =>
    log.error('hold_stream_stopped', {address, message: error.message}),
  );

  return {
    report: () => report,
    recentAdapters,
    isGrantedSinceReport: (model, adapter) =>
      grantedSinceReport.has(modelAdapterKey(model, adapter)),
    acquire: request => {
      if (queue === undefined || report === undefined) {
        return {answer: Promise.resolve(LEASE_LOST), release: () => undefined};
      }
      const id = nextId;
      nextId += 1;
      const lease: MessageInitShape<typeof AdapterLeaseSchema> = {
        ...request,
        id,
        waitMs: Math.max(0, Math.floor(request.waitMs)),
      };
      // The silence timer of the stream runs for longer than a request can wait.
      const answerTimer = setTimeout(
        () => waitingLeases.get(id)?.resolve(LEASE_SILENT),
        request.waitMs + ANSWER_MARGIN_MS,
      );
      const key = modelAdapterKey(request.model, request.adapter);
      const answer = new Promise<LeaseAnswer>(resolve =>
        waitingLeases.set(id, {key, resolve}),
      ).finally(() => clearTimeout(answerTimer));
      const queueOfLease = queue;
      send({acquire: [lease]});
      let isActive = true;
      return {
        answer,
        release: () => {
          if (!isActive) return;
          isActive = false;
          waitingLeases.get(id)?.resolve(LEASE_RELEASED);
          waitingLeases.delete(id);
          if (queue === queueOfLease) send({release: [id]});
        },
      };
    },
    close: () => {
      isClosed = true;
      abortController.abort('closed');
    },
  };
}
