/** Drills that stop one target node while chats run. */
import {setTimeout as delay} from 'node:timers/promises';
import {
  NodeState,
  type StatusResponse,
  type StopResponse,
} from '@balsamnotch/wire';
import {Err, Ok, type Result} from 'ts-results-es';
import {nodeStatus, stateName, stopNode, type NodeError} from '../nodes.js';
import {waitUntilGone} from '../stop.js';
import {formatDuration, plural} from '../terminal.js';
import {startTraffic, type CallerAccess, type Traffic} from '../traffic.js';
import {chatChecks} from './chats.js';
import {
  drillCheck,
  type Drill,
  type DrillCheck,
  type DrillContext,
  type DrillError,
} from './drill.js';

/** Time for which chats run before the stop, in milliseconds. */
const LEAD_MS = 1_000;

/** Time for which chats go on after the node has gone or serves again. */
const TAIL_MS = 1_000;

/**
 * Time between the start of a stop and its cancellation, in milliseconds. A node
 * exits as soon as its work is done, and a chat of the drill took 0.6 s.
 */
const CANCEL_AFTER_MS = 200;

/** The node that is stopped, and the chats for it. */
interface Preparation {
  readonly address: string;
  readonly status: StatusResponse;
  readonly access: CallerAccess;
  readonly models: readonly string[];
}

function usage(message: string): Result<never, DrillError> {
  return Err({kind: 'usage', message});
}

function unreachable(message: string): Result<never, DrillError> {
  return Err({kind: 'unreachable', message});
}

/** Chats ask for adapters that the node has loaded, so that it serves them. */
async function prepare({
  node,
  access,
  models,
}: DrillContext): Promise<Result<Preparation, DrillError>> {
  if (node === undefined || access === undefined) {
    return usage('needs --node, --caller-url and --key');
  }
  const status = await nodeStatus(node);
  if (status.isErr()) return unreachable(`${node}: ${status.error.message}`);
  const {state, role, report} = status.value;
  if (role !== 'target') return usage(`${node} is not a target node`);
  if (state !== NodeState.SERVING) {
    return usage(`${node} is ${stateName(state)}, not serving`);
  }
  const loaded = report?.loaded ?? [];
  const asked =
    models.length > 0
      ? models
      : loaded.map(({adapter, version}) => `${adapter}@${version}`);
  if (asked.length === 0) {
    return usage(`${node} has no adapter loaded; name some with --model`);
  }
  return Ok({address: node, status: status.value, access, models: asked});
}

/** Says what the stop met; without work in progress it shows little. */
function workCheck(inProgress: number): DrillCheck {
  return inProgress > 0
    ? drillCheck(
        true,
        `${plural(inProgress, 'request')} in progress at the node when it began to leave`,
      )
    : {
        verdict: 'not shown',
        statement:
          'no request was in progress at the node when it began to leave',
      };
}

async function startChats(
  context: DrillContext,
  {access, models, status}: Preparation,
): Promise<Traffic> {
  const {parallel, terminal} = context;
  const chats = plural(parallel, 'chat');
  terminal.err(`${chats} at once with ${models.join(', ')}`);
  const traffic = startTraffic({access, models, parallel});
  await delay(LEAD_MS);
  terminal.err(`stopping ${status.node}`);
  return traffic;
}

async function plannedStop(
  context: DrillContext,
): Promise<Result<readonly DrillCheck[], DrillError>> {
  const prepared = await prepare(context);
  if (prepared.isErr()) return prepared;
  const {address, status} = prepared.value;
  const traffic = await startChats(context, prepared.value);
  const stopped = await stopNode(address, false);
  if (stopped.isErr()) {
    await traffic.finish();
    return unreachable(`${address}: ${stopped.error.message}`);
  }
  const departure = await waitUntilGone({
    address,
    incarnation: status.incarnation,
    waitMs: context.durationMs,
  });
  await delay(TAIL_MS);
  const results = await traffic.finish();
  const waited = formatDuration(departure.waitedMs);
  return Ok([
    workCheck(stopped.value.inProgress),
    drillCheck(
      departure.hasGone,
      departure.hasGone
        ? `${status.node} had gone after ${waited}`
        : `${status.node} had not gone after ${waited}: ${departure.lastSeen}`,
    ),
    ...chatChecks(results),
  ]);
}

/** Whether the process serves again; it may have gone before the cancellation. */
function cancelCheck(
  {node, incarnation}: StatusResponse,
  cancelled: Result<StopResponse, NodeError>,
  after: Result<StatusResponse, NodeError>,
): DrillCheck {
  if (cancelled.isErr() && cancelled.error.kind === 'refused') {
    const statement = `${node} had finished its work and gone before the cancellation`;
    return {verdict: 'not shown', statement};
  }
  const isSame = after.isOk() && after.value.incarnation === incarnation;
  const state = after.isOk() ? stateName(after.value.state) : 'not answering';
  return drillCheck(
    cancelled.isOk() && isSame && state === 'serving',
    isSame
      ? `the same process of ${node} is ${state} after the cancellation`
      : `the process of ${node} is not there after the cancellation: ${state}`,
  );
}

async function cancelledStop(
  context: DrillContext,
): Promise<Result<readonly DrillCheck[], DrillError>> {
  const prepared = await prepare(context);
  if (prepared.isErr()) return prepared;
  const {address, status} = prepared.value;
  const traffic = await startChats(context, prepared.value);
  const stopped = await stopNode(address, false);
  if (stopped.isOk()) await delay(CANCEL_AFTER_MS);
  // Also after an error, since the stop may have begun without an answer.
  const cancelled = await stopNode(address, true);
  await delay(TAIL_MS);
  const results = await traffic.finish();
  if (stopped.isErr()) {
    return unreachable(`${address}: ${stopped.error.message}`);
  }
  return Ok([
    workCheck(stopped.value.inProgress),
    drillCheck(
      stopped.value.state === NodeState.LEAVING,
      `${status.node} answered the stop with ${stateName(stopped.value.state)}`,
    ),
    cancelCheck(status, cancelled, await nodeStatus(address)),
    ...chatChecks(results),
  ]);
}

/** Stops a target node for good. */
export const PLANNED_STOP: Drill = {
  name: 'planned-stop',
  summary:
    'stops one target node while chats run; no chat may be cut off or refused',
  needs: '--node, --caller-url, --key; optional --model, --duration-ms',
  run: plannedStop,
};

/** Starts a planned stop and cancels it. */
export const CANCELLED_STOP: Drill = {
  name: 'cancelled-stop',
  summary:
    'starts a planned stop of one target node and cancels it; the node serves again',
  needs: '--node, --caller-url, --key; optional --model',
  run: cancelledStop,
};
