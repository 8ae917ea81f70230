/**
 * Target node: manages one local engine, grants entries leases on its adapters,
 * and reports its state to them.
 */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {ConnectRouter, HandlerContext} from '@connectrpc/connect';
import {serveConnect} from '@balsamnotch/daemon';
import {
  HoldResponseSchema,
  Placement,
  type EngineReportSchema,
  type HoldRequest,
  type HoldResponse,
} from '@balsamnotch/wire';
import {
  heartbeatIntervalMs,
  minReportIntervalMs,
  type EngineShape,
} from '@balsamnotch/core';
import type {GatewayContext, GatewayRole} from '../node/context.js';
import {CHANGE_SOURCE} from '../node/freshness.js';
import {
  openOperatorExchange,
  operatorStateOf,
} from '../node/operatorexchange.js';
import {SendQueue} from '../node/sendqueue.js';
import {EngineController} from './controller.js';
import type {ManagedEngine} from './engine.js';
import type {LeaseHandle} from './leases.js';

/** Settings of a target node. */
export interface TargetNodeSettings {
  /** `ip:port` on which the Connect server listens. */
  readonly listen: string;
  /** Name of the service that the engine runs. */
  readonly service: string;
}

/** Interval between checks whether a report is due, in milliseconds. */
const REPORT_CHECK_INTERVAL_MS = 50;

/**
 * Minimum time after the last report to an entry before a lease answer carries
 * another one, in milliseconds.
 */
const MIN_GRANT_REPORT_INTERVAL_MS = 80;

/** Starts a target node; resolves once its server listens. */
export async function startTargetNode(
  context: GatewayContext,
  settings: TargetNodeSettings,
  engine: ManagedEngine,
): Promise<GatewayRole> {
  const {log, clock, directory, metrics} = context;
  const shape = (): EngineShape | undefined =>
    directory.current().table?.services.get(settings.service)?.engine;
  const controller = new EngineController(context, engine, shape);
  const sendQueues = new Set<SendQueue<HoldResponse>>();
  let isStopping = false;
  let lastReportJson = '';
  let lastReportAtMs = 0;

  const createReport = (): MessageInitShape<typeof EngineReportSchema> => {
    const {state, isReachable, loads, leases, modelReadyMs} = controller.view();
    return {
      incarnationMs: state?.incarnationMs ?? 0,
      reachable: isReachable,
      leaving: state?.leaving ?? false,
      running: state?.running ?? 0,
      waiting: state?.waiting ?? 0,
      cacheUsed: state?.cacheUsed ?? 0,
      cacheTotal: state?.cacheTotal ?? 0,
      models: state?.models.map(({model, adapters}) => ({
        model,
        adapters: [...adapters],
      })),
      loads,
      remainingMs: state?.remainingMs ?? 0,
      entries: sendQueues.size,
      leases,
      // Rounded up to steps of 250 ms, which suffice for placement. Otherwise every
      // poll during a load would change the report and send it to all entries.
      modelReadyMs: Math.ceil(modelReadyMs / 250) * 250,
    };
  };
  const sendReportIfDue = () => {
    const nowMs = clock.monotonicMs();
    const elapsedMs = nowMs - lastReportAtMs;
    if (elapsedMs < minReportIntervalMs(sendQueues.size)) return;
    const message = createReport();
    const reportJson = JSON.stringify(message);
    const isHeartbeatDue = elapsedMs >= heartbeatIntervalMs(sendQueues.size);
    if (!isHeartbeatDue && reportJson === lastReportJson) return;
    lastReportJson = reportJson;
    lastReportAtMs = nowMs;
    const response = create(HoldResponseSchema, {
      report: message,
      operatorState: operatorStateOf(directory),
    });
    for (const queue of sendQueues) queue.push(response);
  };

  async function* hold(
    requests: AsyncIterable<HoldRequest>,
    {signal}: HandlerContext,
  ): AsyncGenerator<HoldResponse> {
    const queue = new SendQueue<HoldResponse>();
    const leases = new Map<number, LeaseHandle>();
    let entry = '';
    let lastGrantReportAtMs = 0;
    /**
     * Creates the report to send with a lease answer, because reports to all
     * entries are infrequent. Returns undefined if the last report to this entry is
     * more recent than {@link MIN_GRANT_REPORT_INTERVAL_MS}.
     */
    const createGrantReport = () => {
      const nowMs = clock.monotonicMs();
      if (
        nowMs - Math.max(lastGrantReportAtMs, lastReportAtMs) <
        MIN_GRANT_REPORT_INTERVAL_MS
      ) {
        return undefined;
      }
      lastGrantReportAtMs = nowMs;
      return createReport();
    };
    queue.push(create(HoldResponseSchema, {report: createReport()}));
    const exchange = openOperatorExchange({
      directory,
      source: CHANGE_SOURCE.entry,
      send: message => queue.push(create(HoldResponseSchema, message)),
      log,
      metrics,
    });
    const readRequests = async () => {
      for await (const request of requests) {
        exchange.handleMessage(request);
        if (request.entry !== '') {
          entry = request.entry;
          log.info('entry_connected', {entry});
        }
        for (const id of request.release) {
          leases.get(id)?.release();
          leases.delete(id);
        }
        for (const lease of request.acquire) acquireLease(lease);
      }
    };
    const acquireLease = ({
      id,
      requestId,
      waitMs,
      ...leaseFields
    }: HoldRequest['acquire'][number]) => {
      const nowMs = clock.monotonicMs();
      const answer = (reason: string, retryAfterMs: number) => {
        const roundedMs = Math.round(retryAfterMs);
        if (reason !== '') {
          log.info('lease_refused', {
            request: requestId,
            reason,
            entry,
            retry_after_ms: roundedMs,
          });
        }
        const granted = reason === '';
        const grants = [{id, granted, reason, retryAfterMs: roundedMs}];
        const message = {grants, report: createGrantReport()};
        queue.push(create(HoldResponseSchema, message));
      };
      leases.set(
        id,
        controller.acquire({
          ...leaseFields,
          requestId,
          requestedAtMs: nowMs,
          waitDeadlineMs: nowMs + waitMs,
          answer,
        }),
      );
    };
    sendQueues.add(queue);
    signal.addEventListener('abort', () => queue.close());
    readRequests()
      .catch((error: Error) =>
        log.info('entry_lost', {entry, message: error.message}),
      )
      .finally(() => queue.close());
    try {
      yield* queue;
    } finally {
      sendQueues.delete(queue);
      exchange.close();
      for (const lease of leases.values()) lease.release();
      log.info('entry_left', {entry, leases: leases.size});
    }
  }

  const viewSubscription = controller.viewChanges$.subscribe(sendReportIfDue);
  const timer = setInterval(sendReportIfDue, REPORT_CHECK_INTERVAL_MS);
  const server = await serveConnect(
    settings.listen,
    context.metrics,
    (router: ConnectRouter) => router.service(Placement, {hold}),
  );
  return {
    stop: () => {
      if (isStopping) return Promise.resolve();
      isStopping = true;
      log.info('stopping', {entries: sendQueues.size});
      clearInterval(timer);
      viewSubscription.unsubscribe();
      controller.close();
      for (const queue of sendQueues) queue.close();
      server
        .close()
        .catch((error: Error) =>
          log.warn('close_failed', {message: error.message}),
        );
      return Promise.resolve();
    },
    status: () => ({
      entries: sendQueues.size,
      reachable: controller.view().isReachable,
      loads: controller.view().loads,
    }),
  };
}
