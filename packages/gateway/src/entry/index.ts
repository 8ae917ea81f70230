/** Entry role of a gateway node: accepts callers' requests and forwards them to targets. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net from 'node:net';
import {
  answerLimitBytes,
  spreadRetryAfter,
  UNLIMITED_HOLDS,
  type RouteTable,
} from '@balsamnotch/core';
import {createInputAge} from '@balsamnotch/daemon';
import type {GatewayContext, GatewayRole} from '../node/context.js';
import {ACCOUNT_EVENT} from '../node/metrics.js';
import {createAccountLookup} from './accountkeys.js';
import {
  admitHead,
  BODY_TIMEOUT_REJECTION,
  BODY_TOO_LARGE_REJECTION,
  closeRejection,
  STOP_REJECTION,
  type Rejection,
} from './admission.js';
import {createAnswerMemory, DEFAULT_LIMIT_BYTES} from './answermemory.js';
import {followArrivals} from './arrivals.js';
import {createCallerHolds, type HeldRequest} from './callerholds.js';
import {trackCallerConnections} from './callerconnections.js';
import {watchCallerPresence} from './callerpresence.js';
import {
  allowHalfClosed,
  keepAllFields,
  limitHeads,
  listen,
} from './callerserver.js';
import {closingAfterAnswers} from './closing.js';
import {RetryBudgets} from './budgets.js';
import {EntryOrigins} from './entryorigins.js';
import {readBeforeIdleClose} from './idleclose.js';
import {keepStatedIdleTime} from './idletime.js';
import {LeaseQuestions} from './leasequestions.js';
import {createExceptionAnswer} from './exceptionanswer.js';
import {createInvalidInputHandler} from './invalidinput.js';
import {
  createOpenAnswers,
  UNANSWERED_CAUSE,
  type OpenAnswer,
} from './openanswers.js';
import {PlannedStop, STOP_ENDED} from './plannedstop.js';
import type {CallerHeaders, ForwardProtocol} from './protocol.js';
import {createReadinessServer} from './readiness.js';
import {createReply, emptyAnswer} from './reply.js';
import {Forwarding} from './request.js';
import {PlainRoom} from './plainroom/plainroom.js';
import type {ForwardingResources} from './resources.js';
import {HTTP_STATUS} from './status.js';
import {EntrySecondAttempts} from './secondattempts.js';
import {createStartQueue} from './startqueue.js';
import type {EntrySettings} from './settings.js';
import {Targets} from './targets.js';

/**
 * Time for which a stopping entry still accepts new connections, in milliseconds.
 * The load balancer checks readiness every second and removes an entry after two
 * failed checks.
 */
const BALANCER_LAG_MS = 2_600;

/** Time at the end of a planned stop reserved for the exit of the process, in milliseconds. */
const EXIT_MARGIN_MS = 600;

/** Longest time to send the last answers of a planned stop, in milliseconds. */
const LAST_ANSWERS_MS = 200;

/** Connection timeouts until the first configuration is known, in milliseconds. */
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/**
 * Longest time to receive a request, in milliseconds. Route timeouts are shorter
 * and limit the body first.
 */
const RECEIVE_TIMEOUT_MS = 30_000;

/** Times before the start of a request, in milliseconds. */
interface StartTimes {
  /** Time for which the request has waited since it was read. */
  readonly waitedMs: number;
  /** Time since which the caller may have left without notice. */
  readonly confirmedMs: number;
}

/** Progress of a request that is not admitted yet, or rejected. */
const NOT_FORWARDED = {sends: 0, target: ''} as const;

/**
 * Starts an entry. Resolves once it listens; rejects if it cannot listen at one
 * of its addresses.
 */
export async function startEntry(
  context: GatewayContext,
  settings: EntrySettings,
  protocol: ForwardProtocol,
): Promise<GatewayRole> {
  const {log, metrics, directory, clock, pauses} = context;
  const holdLimits = settings.holds ?? UNLIMITED_HOLDS;
  const targets = new Targets(context, settings);
  await targets.open();
  const resources: ForwardingResources = {
    context,
    protocol,
    targets,
    questions: new LeaseQuestions(context),
    origins: new EntryOrigins({
      context,
      linksOf: service => targets.linksOfService(service),
      nodeBeside: id => targets.get(id)?.nodeAddress ?? '',
      versions: targets.versions,
    }),
    budgets: new RetryBudgets(settings.retries, clock.monotonicMs()),
    secondAttempts: new EntrySecondAttempts({
      context,
      share: settings.secondAttemptShare ?? 0,
    }),
    memory: createAnswerMemory({
      limitBytes: () =>
        Math.min(
          DEFAULT_LIMIT_BYTES,
          answerLimitBytes(holdLimits, holds.heldBytes()),
        ),
      onAdd: bytes => holds.recordBytes(bytes),
    }),
    plannedStop: new PlannedStop(() => clock.monotonicMs()),
    plainRoom: settings.sharesPlainTargets
      ? new PlainRoom({context, targets})
      : undefined,
    deadlineProfiles: new Map(),
  };
  const findAccount = createAccountLookup();
  const activeForwardings = new Set<Forwarding>();
  let stopBeganAtMs = Infinity;
  const isStopping = () => stopBeganAtMs < Infinity;
  /** Whether no request is taken any more; follows the begin of the stop once the balancer knows. */
  let isClosing = false;
  const openAnswers = createOpenAnswers({
    context,
    routesVersion: () => directory.current().table?.version ?? 0,
    stopBeganAtMs: () => stopBeganAtMs,
  });

  const reject = (
    {status, reason, account, retryAfterMs, hasUnreadInput}: Rejection,
    caller: CallerHeaders,
    response: ServerResponse,
  ) => {
    metrics.count('rejected', reason);
    if (account !== undefined) {
      metrics.countAccount(ACCOUNT_EVENT.asked, account);
      metrics.countAccount(ACCOUNT_EVENT.refused, account);
    }
    log.info('rejected', {request: caller.requestId, reason, status});
    createReply(response, {
      isLastOnConnection: () => isStopping() || hasUnreadInput === true,
    }).send(emptyAnswer(protocol, caller.requestId, status, retryAfterMs));
  };
  const answerException = createExceptionAnswer({
    context,
    protocol,
    onAbort: (socket, detail) =>
      openAnswers.recordClose(socket, UNANSWERED_CAUSE.exception, detail),
  });
  const serve = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    openAnswer: OpenAnswer,
    held: HeldRequest,
    {waitedMs, confirmedMs}: StartTimes,
  ) => {
    const nowMs = clock.monotonicMs();
    const arrivedAtMs = nowMs - waitedMs;
    const caller = protocol.readCallerHeaders(incoming.headers);
    openAnswer.setProgress(caller.requestId, () => NOT_FORWARDED);
    const {isPresent: isCallerPresent} = watchCallerPresence(
      incoming,
      response,
    );
    const draw = context.random();
    const admit = (table: RouteTable | undefined) =>
      admitHead(incoming, caller, table, arrivedAtMs, draw, findAccount);
    const tableAtHead = directory.current().table;
    const admission = admit(tableAtHead);
    if (admission.kind === 'rejected') {
      held.body.drop();
      reject(admission.rejection, caller, response);
      return;
    }
    const {request, maxBodyBytes} = admission;
    const bodyTimer = setTimeout(() => {
      reject(BODY_TIMEOUT_REJECTION, caller, response);
    }, request.dueAtMs - nowMs);
    const stopSubscription = resources.plannedStop.ended$.subscribe(() =>
      reject(STOP_REJECTION, caller, response),
    );
    held.setRefusal(reason =>
      reject(closeRejection(reason, context.random()), caller, response),
    );
    const stopWaiting = () => {
      held.setRefusal(undefined);
      clearTimeout(bodyTimer);
      stopSubscription.unsubscribe();
    };
    // Node.js does not close a request that has been answered before its end.
    response.on('close', stopWaiting);
    const body = await held.body
      .read(maxBodyBytes)
      .catch((error: Error) => {
        log.info('body_incomplete', {
          request: caller.requestId,
          message: error.message,
        });
        return 'left' as const;
      })
      .finally(stopWaiting);
    if (body === 'left' || response.headersSent) return;
    if (body === undefined) {
      reject(BODY_TOO_LARGE_REJECTION, caller, response);
      return;
    }
    // The routes may have changed while the body was being received.
    const {table} = directory.current();
    const currentAdmission = table === tableAtHead ? admission : admit(table);
    if (currentAdmission.kind === 'rejected') {
      reject(currentAdmission.rejection, caller, response);
      return;
    }
    const reply = createReply(response, {
      isCallerPresent,
      isLastOnConnection: isStopping,
      memory: resources.memory,
      onAbort: reason =>
        openAnswers.recordClose(
          response.socket,
          reason === STOP_ENDED
            ? UNANSWERED_CAUSE.stopEnded
            : UNANSWERED_CAUSE.aborted,
          reason,
        ),
    });
    const allowance = targets.accounts.admit(currentAdmission.request);
    if (allowance.refusal !== undefined) {
      reject(allowance.refusal, caller, response);
      return;
    }
    const forwarding = new Forwarding(
      {...currentAdmission.request, body, confirmedAtMs: nowMs - confirmedMs},
      reply,
      resources,
    );
    openAnswer.setProgress(caller.requestId, () => forwarding.progress());
    activeForwardings.add(forwarding);
    held.protect();
    response.on('close', () => {
      if (!response.writableFinished) forwarding.handleCallerDisconnect();
    });
    response.on('drain', () => forwarding.resume());
    try {
      await forwarding.run();
    } finally {
      activeForwardings.delete(forwarding);
      if (forwarding.progress().sends === 0) allowance.giveBack();
    }
  };

  /** Refuses a request that has not been started, as cheaply as possible. */
  const refuseLate = (
    incoming: IncomingMessage,
    response: ServerResponse,
    held: HeldRequest,
  ) => {
    const caller = protocol.readCallerHeaders(incoming.headers);
    held.body.drop();
    reject(
      {
        status: HTTP_STATUS.unavailable,
        reason: 'entry_late',
        retryAfterMs: spreadRetryAfter(0, context.random()),
      },
      caller,
      response,
    );
  };
  const startQueue = createStartQueue(clock);
  const holds = createCallerHolds({
    context,
    limits: holdLimits,
    maxBodyBytes: () => directory.current().table?.limits.maxBodyBytes,
    onClose: (socket, reason) =>
      openAnswers.recordClose(socket, UNANSWERED_CAUSE.entryClosed, reason),
  });

  const inputAge = createInputAge(clock);
  const server = http.createServer(
    {
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      requestTimeout: RECEIVE_TIMEOUT_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: 500,
      noDelay: true,
    },
    closingAfterAnswers(
      (incoming, response, waitedMs) => {
        const held = holds.requestOf(incoming);
        // Its connection has been closed, so it cannot be answered.
        if (held === undefined) return;
        const openAnswer = openAnswers.add(incoming, response);
        startQueue.add({
          isCallerPresent: () => !response.destroyed,
          hasCallerEnded: () => incoming.socket.readableEnded,
          start: (queuedMs, confirmedMs) => {
            serve(incoming, response, openAnswer, held, {
              waitedMs: waitedMs + queuedMs,
              confirmedMs,
            }).catch((error: Error) => answerException(error, response));
          },
          refuse: () => refuseLate(incoming, response, held),
        });
      },
      () => isClosing,
      socket => arrivals.longestWaitMs(socket),
    ),
  );
  const arrivals = followArrivals(server, inputAge, () => clock.monotonicMs());
  holds.follow(server);
  server.on('connection', startQueue.recordConnection);
  allowHalfClosed(server);
  keepAllFields(server);
  keepStatedIdleTime(server);
  const callerConnections = trackCallerConnections(server);
  readBeforeIdleClose(server);
  const invalidInput = createInvalidInputHandler(openAnswers, metrics);
  server.on('clientError', invalidInput.handleError);
  server.on('connect', invalidInput.handleConnect);
  const isReady = () => {
    const {table, registry} = directory.current();
    return !isStopping() && table !== undefined && registry.size > 0;
  };
  const readinessServer = createReadinessServer(settings.readyPath, isReady);
  holds.follow(readinessServer);
  let tableInForce: RouteTable | undefined;
  const directorySubscription = directory.state$.subscribe(
    ({table, registry}) => {
      targets.update(registry, table);
      resources.origins.handleVersions();
      if (table === undefined || table === tableInForce) return;
      tableInForce = table;
      openAnswers.recordRoutes();
      limitHeads(server, table.limits.maxHeaderBytes);
      server.headersTimeout = table.limits.headerTimeoutMs;
      server.keepAliveTimeout = table.limits.idleTimeoutMs;
    },
  );
  pauses.pauses$.subscribe(pauseMs => {
    log.warn('paused', {pause_ms: Math.round(pauseMs)});
    metrics.count('paused');
    targets.closeIdle();
    for (const forwarding of [...activeForwardings]) forwarding.handlePause();
  });
  await listen(readinessServer, settings.readyListen);
  await listen(server, settings.listen);

  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const stop = async () => {
    if (isStopping()) return;
    stopBeganAtMs = clock.monotonicMs();
    log.info('stopping', {in_progress: activeForwardings.size});
    const stopsAtMs = stopBeganAtMs + settings.stopTimeoutMs - EXIT_MARGIN_MS;
    resources.plannedStop.begin(stopsAtMs, stopBeganAtMs + BALANCER_LAG_MS);
    await sleep(BALANCER_LAG_MS);
    isClosing = true;
    // `http.Server` would also close its idle connections.
    net.Server.prototype.close.call(server);
    const isBusy = () => activeForwardings.size > 0 || openAnswers.count() > 0;
    do {
      callerConnections.closeIdle();
      await sleep(50);
    } while (isBusy() && clock.monotonicMs() < stopsAtMs);
    resources.plannedStop.end();
    for (const forwarding of [...activeForwardings]) {
      forwarding.endUnanswered(STOP_ENDED);
    }
    while (
      openAnswers.isSending() &&
      clock.monotonicMs() < stopsAtMs + LAST_ANSWERS_MS
    ) {
      await sleep(10);
    }
    server.close();
    openAnswers.endAll();
    log.info('stopped', {in_progress: activeForwardings.size});
    directorySubscription.unsubscribe();
    targets.close();
    inputAge.close();
    holds.close();
    readinessServer.close();
  };
  return {
    stop,
    status: () => ({
      ready: isReady(),
      in_progress: activeForwardings.size,
      ...startQueue.status(),
      open_answers: openAnswers.count(),
      ...holds.status(),
      answer_bytes_held: resources.memory.bufferedBytes(),
      routes_version: directory.current().table?.version ?? 0,
      targets: directory.current().registry.size,
      stream_origins: resources.origins.size,
      entries_known: targets.sharingEntries(),
      ...targets.accounts.status(),
      ...resources.plainRoom?.status(),
      ...resources.budgets.status(
        clock.monotonicMs(),
        targets.sharingEntries(),
      ),
      ...resources.secondAttempts.status(),
    }),
  };
}
