/**
 * Target node: manages one local engine, grants entries leases on its adapters,
 * and reports its state to them.
 */
import {
  create,
  fromBinary,
  toBinary,
  type MessageInitShape,
} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import {serveConnect} from '@balsamnotch/daemon';
import {
  HoldRequestSchema,
  HoldResponseSchema,
  Placement,
  type EngineReportSchema,
  type HoldRequest,
} from '@balsamnotch/wire';
import {
  AccountTotals,
  announcementProbability,
  estimatedEntries,
  estimatedRequests,
  spreadingProbability,
  withProbe,
  type CountedProbe,
  type EngineShape,
} from '@balsamnotch/core';
import {dropOldest} from '../node/boundedset.js';
import type {GatewayContext, GatewayRole} from '../node/context.js';
import {openDatagramSocket} from '../node/datagrams.js';
import {CHANGE_SOURCE} from '../node/freshness.js';
import {answerOperatorMessage} from '../node/operatorexchange.js';
import {EngineController} from './controller.js';
import {CrashWatch} from './crashwatch.js';
import type {ManagedEngine} from './engine.js';
import {openEntryLink, type EntryLink} from './entrylink.js';
import {createOriginAnswers} from './originanswers.js';

/** Settings of a target node. */
export interface TargetNodeSettings {
  /** `ip:port` on which the node receives datagrams and the Connect server listens. */
  readonly listen: string;
  /** Name of the service that the engine runs. */
  readonly service: string;
}

/** Interval between checks for leases and entries whose time is over, in milliseconds. */
const EXPIRY_INTERVAL_MS = 200;

/** Number of earlier sessions of an entry that are remembered. */
const MAX_ENDED_SESSIONS = 1_000;

/** Starts a target node; resolves once it receives datagrams and its server listens. */
export async function startTargetNode(
  context: GatewayContext,
  settings: TargetNodeSettings,
  engine: ManagedEngine,
): Promise<GatewayRole> {
  const {name, log, clock, directory, evidence, metrics} = context;
  const shape = (): EngineShape | undefined =>
    directory.current().table?.services.get(settings.service)?.engine;
  const crashWatch = new CrashWatch({name, clock, evidence});
  const controller = new EngineController(context, engine, shape, crashWatch);
  const origins = createOriginAnswers({context});
  const totals = new AccountTotals();
  /** By name of the entry. */
  const links = new Map<string, EntryLink>();
  /** Sessions of processes that have ended; their delayed datagrams are ignored. */
  const endedSessions = new Set<number>();
  const startedAtMs = clock.monotonicMs();
  let probes: readonly CountedProbe[] = [];
  let isStopping = false;

  const createReport = (): MessageInitShape<typeof EngineReportSchema> => {
    const {state, isReachable, loads, leases, ...view} = controller.view();
    const nowMs = clock.monotonicMs();
    const entries = estimatedEntries(probes, startedAtMs, nowMs);
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
      entries: Math.round(entries),
      leases,
      modelReadyMs: Math.ceil(view.modelReadyMs),
      limitPerS: view.limitPerSecond,
      limitWaitMs: view.limitWaitMs,
      plainRequestsPerS: estimatedRequests(probes, startedAtMs, nowMs),
      promptTokensPerMs: view.promptTokensPerMs,
    };
  };
  const endLink = (entry: string, link: EntryLink, reason: string) => {
    link.close();
    links.delete(entry);
    endedSessions.add(link.session);
    dropOldest(endedSessions, MAX_ENDED_SESSIONS);
    log.info('entry_left', {entry, reason});
  };
  /** Returns the link to the sender; undefined if its process has ended. */
  const linkOf = ({entry, session}: HoldRequest): EntryLink | undefined => {
    const existing = links.get(entry);
    if (existing?.session === session) return existing;
    if (endedSessions.has(session)) return undefined;
    // A restarted entry does not know the leases of its predecessor.
    if (existing !== undefined) endLink(entry, existing, 'restarted');
    log.info('entry_connected', {entry});
    const link = openEntryLink({
      context,
      controller,
      crashWatch,
      origins,
      totals,
      entry,
      session,
      createReport,
      send: (response, address) =>
        socket.send(toBinary(HoldResponseSchema, response), address),
      isAnnounced: () => context.random() < announcementProbability(links.size),
      isPassedOn: () => context.random() < spreadingProbability(links.size),
    });
    links.set(entry, link);
    return link;
  };
  const socket = await openDatagramSocket({
    listen: settings.listen,
    onDatagram: (data, from) => {
      const request = fromBinary(HoldRequestSchema, data);
      // Any short run of bytes may decode as a message without fields.
      if (request.entry === '') throw new Error('request names no entry');
      const {
        probeIntervalMs: intervalMs,
        plainRequestsPerS: requestsPerSecond,
      } = request;
      if (intervalMs > 0) {
        const atMs = clock.monotonicMs();
        probes = withProbe(probes, {atMs, intervalMs, requestsPerSecond});
      }
      if (!isStopping) linkOf(request)?.handleRequest(request, from);
    },
    log,
    metrics,
  });
  const timer = setInterval(() => {
    for (const [entry, link] of [...links]) {
      link.expire();
      if (link.isIdle()) endLink(entry, link, 'idle');
    }
  }, EXPIRY_INTERVAL_MS);
  const server = await serveConnect(
    settings.listen,
    context.metrics,
    (router: ConnectRouter) =>
      router.service(Placement, {
        exchange: request =>
          create(
            HoldResponseSchema,
            answerOperatorMessage(request, {
              directory,
              source: CHANGE_SOURCE.entry,
              log,
              metrics,
            }),
          ),
      }),
  );
  return {
    stop: () => {
      if (isStopping) return Promise.resolve();
      isStopping = true;
      log.info('stopping', {entries: links.size});
      clearInterval(timer);
      controller.close();
      crashWatch.close();
      for (const link of links.values()) {
        link.announceStop();
        link.close();
      }
      // The socket closes after the messages above have been handed to the system.
      setImmediate(socket.close);
      server
        .close()
        .catch((error: Error) =>
          log.warn('close_failed', {message: error.message}),
        );
      return Promise.resolve();
    },
    status: () => ({
      entries: links.size,
      reachable: controller.view().isReachable,
      loads: controller.view().loads,
      accounts_waiting: controller.waitingAccounts(),
      stream_origins: origins.size(),
      accounts: totals.size,
    }),
  };
}
