/** Target role: a node that serves requests from one model engine or one plain service. */
import type {ConnectRouter, ServiceImpl} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';
import {TICK_INTERVAL_MS, type TargetReport} from '@balsamnotch/core';
import type {Service} from '@balsamnotch/config';
import {Target, type ChatRequest, type CallRequest} from '@balsamnotch/wire';
import {distinctUntilChanged, filter, map} from 'rxjs';
import type {NodeContext, Role} from '../node/context.js';
import {reportToWire} from '../node/convert.js';
import type {AdmissionParts} from './admission.js';
import {CallController} from './calls.js';
import {serveCall, settleCall, type CallServiceParts} from './callservice.js';
import {ChatController} from './chats.js';
import {cancelChat, serveChat, type ChatServiceParts} from './chatservice.js';
import {Drain} from './drain.js';
import {EngineController} from './engine.js';
import {PauseWatch} from './pauses.js';
import {createPool, type Pool} from './pool.js';
import {targetReport, type ReportParts} from './report.js';
import {NO_LOAD_NEED} from './share.js';
import {TARGET_LIMITS, type TargetSystems} from './systems.js';

export * from './systems.js';

/** Maximum number of queued requests while no configuration in force declares the service. */
const DEFAULT_QUEUE_LIMIT = 64;

/** Controllers of a target node. */
interface Controllers {
  readonly drain: Drain;
  readonly pauses: PauseWatch;
  readonly controller?: EngineController;
  readonly chats?: ChatController;
  readonly calls?: CallController;
  /** Absent for a plain service, and when {@link TargetSystems.permits} is set. */
  readonly pool?: Pool;
}

/** Configuration of this node's service; undefined while none is in force or it is not declared. */
function ownService({
  configuration,
  settings,
}: NodeContext): Service | undefined {
  return configuration
    .current()
    ?.services.find(service => service.name === settings.service);
}

function createControllers(
  context: NodeContext,
  systems: TargetSystems,
): Controllers {
  const {engine, plain} = systems;
  const limits = {...TARGET_LIMITS, ...systems.limits};
  const pauses = new PauseWatch(context);
  const queueLimit = () =>
    ownService(context)?.queueLimit ?? DEFAULT_QUEUE_LIMIT;
  const pool: Pool | undefined =
    engine && systems.permits === undefined
      ? createPool({
          context,
          need: () => controller?.loadNeed() ?? NO_LOAD_NEED,
          report: () => reportToWire(report()),
          onPermitsGranted: () => controller?.startLoads(),
        })
      : undefined;
  const permits = systems.permits ?? pool?.share;
  const controller: EngineController | undefined =
    engine &&
    permits &&
    new EngineController({context, engine, pauses, permits, limits});
  const chats: ChatController | undefined =
    engine &&
    controller &&
    new ChatController({
      context,
      engine,
      controller,
      pauses,
      limits,
      queueLimit,
    });
  const calls =
    plain && new CallController({context, plain, pauses, limits, queueLimit});
  const drain = new Drain(() => {
    const isEngineReady = controller?.isReady ?? true;
    const {configuration} = context;
    const hasConfiguration = configuration.current() !== undefined;
    return isEngineReady && hasConfiguration && configuration.isReady();
  });
  const report = (): TargetReport =>
    targetReport({context, drain, limits, controller, chats, calls});
  return {drain, pauses, controller, chats, calls, pool};
}

function unimplemented(kind: string): ConnectError {
  return new ConnectError(`this node serves no ${kind}`, Code.Unimplemented);
}

/**
 * Implements the `Target` service. Chat requests to a node without an engine, lend
 * requests to a node without a pool, and calls and settle requests to a node
 * without a plain service fail with `Unimplemented`.
 */
function targetService(
  chatParts: ChatServiceParts | undefined,
  callParts: CallServiceParts | undefined,
  pool: Pool | undefined,
  {context, report}: AdmissionParts & {report: ChatServiceParts['report']},
): Partial<ServiceImpl<typeof Target>> {
  // The server counts unknown fields in unary requests only.
  const countUnknownFields = (
    message: {readonly $unknown?: readonly unknown[]},
    method: string,
  ) => {
    if (message.$unknown !== undefined) {
      context.metrics.count('unknown_field', method);
    }
  };
  return {
    chat(request: ChatRequest, {signal}) {
      countUnknownFields(request, Target.method.chat.name);
      if (chatParts === undefined) throw unimplemented('engine');
      return serveChat(request, signal, chatParts);
    },
    call(request: CallRequest, {signal}) {
      countUnknownFields(request, Target.method.call.name);
      if (callParts === undefined) throw unimplemented('plain service');
      return serveCall(request, signal, callParts);
    },
    settle(request) {
      if (callParts === undefined) throw unimplemented('plain service');
      return settleCall(request, callParts);
    },
    cancel(request) {
      if (chatParts !== undefined) cancelChat(request.envelope, chatParts);
      return {};
    },
    probe() {
      return report();
    },
    lend(request) {
      if (pool === undefined) throw unimplemented('engine');
      pool.controller.recordLendRequest(request.coordinator);
      return pool.share.lend(request);
    },
    demand(request) {
      pool?.controller.handleDemand(request);
      return {};
    },
  };
}

/** Creates the target role for the given systems. */
export function startTarget(
  context: NodeContext,
  systems: TargetSystems = {},
): Role {
  const limits = {...TARGET_LIMITS, ...systems.limits};
  const controllers = createControllers(context, systems);
  const {drain, pauses, controller, chats, calls} = controllers;
  const reportParts: ReportParts = {context, limits, ...controllers};
  const currentReport = () => targetReport(reportParts);
  const report = () => reportToWire(currentReport());
  const inProgress = () =>
    (chats?.inProgress() ?? 0) + (calls?.inProgress() ?? 0);
  const unread = (nowMs: number) =>
    (chats?.unread(nowMs) ?? 0) + (calls?.unread(nowMs) ?? 0);
  const admission: AdmissionParts = {
    context,
    pauses,
    drain,
  };
  const serviceParts = {...admission, limits, report, inProgress};
  const service = targetService(
    chats && {...serviceParts, chats},
    calls && {...serviceParts, calls},
    controllers.pool,
    serviceParts,
  );
  const tick = (): void => {
    pauses.isPaused();
    controllers.pool?.controller.tick();
    controller?.tick();
    chats?.tick();
    calls?.tick();
    drain.tick({inProgress, unread}, context.clock.monotonicMs());
  };
  return {
    routes: (router: ConnectRouter) => void router.service(Target, service),
    start: async () => {
      listedAsLeaving(context).subscribe(() => drain.begin());
      controller?.superseded$.subscribe(() => drain.begin());
      const timer = setInterval(tick, TICK_INTERVAL_MS).unref();
      drain.stopped$.subscribe(() => clearInterval(timer));
      tick();
    },
    callerAddress: () => '',
    state: () => drain.state(),
    inProgress,
    report: currentReport,
    beginStop: () => drain.begin(),
    cancelStop: () => drain.cancel(),
    stopped$: drain.stopped$,
  };
}

/** Emits each time the VM list changes this node's state to leaving. */
function listedAsLeaving({vms$, settings}: NodeContext) {
  return vms$.pipe(
    map(vms => vms.find(vm => vm.name === settings.name)?.state === 'leaving'),
    distinctUntilChanged(),
    filter(isLeaving => isLeaving),
  );
}
