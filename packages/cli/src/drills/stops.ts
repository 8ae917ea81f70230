/** Drills that start a planned stop of one target node while chats run. */
import {setTimeout as delay} from 'node:timers/promises';
import {
  NodeState,
  type StatusResponse,
  type StopResponse,
} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import {fetchStatus, requestStop, stateName, type NodeError} from '../nodes.js';
import {waitForNodeExit} from '../stop.js';
import {formatDuration, pluralize} from '../terminal.js';
import {startTraffic, type CallerAccess, type Traffic} from '../traffic.js';
import {checkChats} from './chats.js';
import {
  drillCheck,
  type Drill,
  type DrillCheck,
  type DrillContext,
  type DrillError,
} from './drill.js';

/** Duration of the chats before the stop, in milliseconds. */
const CHATS_BEFORE_STOP_MS = 1_000;

/**
 * Duration of the chats after the node has exited or the stop was cancelled, in
 * milliseconds.
 */
const CHATS_AFTER_STOP_MS = 1_000;

/**
 * Delay between the start of a stop and its cancellation, in milliseconds. It must
 * be shorter than a chat of the drill, which takes about 0.6 s, because the node
 * exits as soon as its work is done.
 */
const CANCEL_AFTER_MS = 200;

/** Node to stop, and the access and models of the chats. */
interface StopDrillSetup {
  readonly address: string;
  readonly status: StatusResponse;
  readonly access: CallerAccess;
  readonly models: readonly string[];
}

function usageError(message: string): Result<never, DrillError> {
  return Err({kind: 'usage', message});
}

function callError(message: string): Result<never, DrillError> {
  return Err({kind: 'unreachable', message});
}

/**
 * Validates the flags and the node. Without `--model`, the chats request adapters
 * that the node has loaded, because these are likely to be routed to it.
 */
async function prepareStopDrill({
  node,
  access,
  models,
}: DrillContext): Promise<Result<StopDrillSetup, DrillError>> {
  if (node === undefined || access === undefined) {
    return usageError('needs --node, --caller-url and --key');
  }
  const status = await fetchStatus(node);
  if (status.isErr()) return callError(`${node}: ${status.error.message}`);
  const {state, role, report} = status.value;
  if (role !== 'target') return usageError(`${node} is not a target node`);
  if (state !== NodeState.SERVING) {
    return usageError(`${node} is ${stateName(state)}, not serving`);
  }
  const loaded = report?.loaded ?? [];
  const requestedModels =
    models.length > 0
      ? models
      : loaded.map(({adapter, version}) => `${adapter}@${version}`);
  if (requestedModels.length === 0) {
    return usageError(`${node} has no adapter loaded; name some with --model`);
  }
  return Ok({
    address: node,
    status: status.value,
    access,
    models: requestedModels,
  });
}

/**
 * Checks that requests were in progress when the stop began. Without them, the drill
 * cannot show that a stop cuts off no chat.
 */
function checkWorkInProgress(inProgress: number): DrillCheck {
  return inProgress > 0
    ? drillCheck(
        true,
        `${pluralize(inProgress, 'request')} in progress at the node when it began to leave`,
      )
    : {
        verdict: 'not shown',
        statement:
          'no request was in progress at the node when it began to leave',
      };
}

async function startChats(
  context: DrillContext,
  {access, models, status}: StopDrillSetup,
): Promise<Traffic> {
  const {parallel, terminal} = context;
  const chats = pluralize(parallel, 'chat');
  terminal.err(`${chats} at once with ${models.join(', ')}`);
  const traffic = startTraffic({access, models, parallel});
  await delay(CHATS_BEFORE_STOP_MS);
  terminal.err(`stopping ${status.node}`);
  return traffic;
}

async function plannedStop(
  context: DrillContext,
): Promise<Result<readonly DrillCheck[], DrillError>> {
  const setup = await prepareStopDrill(context);
  if (setup.isErr()) return setup;
  const {address, status} = setup.value;
  const traffic = await startChats(context, setup.value);
  const stopAnswer = await requestStop(address, false);
  if (stopAnswer.isErr()) {
    await traffic.finish();
    return callError(`${address}: ${stopAnswer.error.message}`);
  }
  const nodeExit = await waitForNodeExit({
    address,
    incarnation: status.incarnation,
    waitMs: context.durationMs,
  });
  await delay(CHATS_AFTER_STOP_MS);
  const results = await traffic.finish();
  const waited = formatDuration(nodeExit.waitedMs);
  return Ok([
    checkWorkInProgress(stopAnswer.value.inProgress),
    drillCheck(
      nodeExit.hasExited,
      nodeExit.hasExited
        ? `${status.node} had gone after ${waited}`
        : `${status.node} had not gone after ${waited}: ${nodeExit.lastStatus}`,
    ),
    ...checkChats(results),
  ]);
}

/** Checks that the same process serves again, unless it exited before the cancellation. */
function checkCancellation(
  {node, incarnation}: StatusResponse,
  cancelAnswer: Result<StopResponse, NodeError>,
  statusAfter: Result<StatusResponse, NodeError>,
): DrillCheck {
  if (cancelAnswer.isErr() && cancelAnswer.error.kind === 'refused') {
    const statement = `${node} had finished its work and gone before the cancellation`;
    return {verdict: 'not shown', statement};
  }
  const isSameProcess =
    statusAfter.isOk() && statusAfter.value.incarnation === incarnation;
  const state = statusAfter.isOk()
    ? stateName(statusAfter.value.state)
    : 'not answering';
  return drillCheck(
    cancelAnswer.isOk() && isSameProcess && state === 'serving',
    isSameProcess
      ? `the same process of ${node} is ${state} after the cancellation`
      : `the process of ${node} no longer runs after the cancellation: ${state}`,
  );
}

async function cancelledStop(
  context: DrillContext,
): Promise<Result<readonly DrillCheck[], DrillError>> {
  const setup = await prepareStopDrill(context);
  if (setup.isErr()) return setup;
  const {address, status} = setup.value;
  const traffic = await startChats(context, setup.value);
  const stopAnswer = await requestStop(address, false);
  if (stopAnswer.isOk()) await delay(CANCEL_AFTER_MS);
  // Cancels also after an error, because the stop may have begun although the
  // answer was lost.
  const cancelAnswer = await requestStop(address, true);
  await delay(CHATS_AFTER_STOP_MS);
  const results = await traffic.finish();
  if (stopAnswer.isErr()) {
    return callError(`${address}: ${stopAnswer.error.message}`);
  }
  return Ok([
    checkWorkInProgress(stopAnswer.value.inProgress),
    drillCheck(
      stopAnswer.value.state === NodeState.LEAVING,
      `${status.node} answered the stop with ${stateName(stopAnswer.value.state)}`,
    ),
    checkCancellation(status, cancelAnswer, await fetchStatus(address)),
    ...checkChats(results),
  ]);
}

/** Stops a target node while chats run. */
export const PLANNED_STOP: Drill = {
  name: 'planned-stop',
  summary:
    'stops one target node while chats run; no chat may be cut off or refused',
  needs: '--node, --caller-url, --key; optional --model, --duration-ms',
  run: plannedStop,
};

/** Starts a planned stop of a target node while chats run, and cancels it. */
export const CANCELLED_STOP: Drill = {
  name: 'cancelled-stop',
  summary:
    'starts a planned stop of one target node and cancels it; the node serves again',
  needs: '--node, --caller-url, --key; optional --model',
  run: cancelledStop,
};
