/** Injects the planned faults into the processes of a deployment. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {PublishedConfiguration} from '@balsamnotch/config';
import {
  RELAY_MODE,
  type Deployment,
  type NodeHandle,
  type RelayMode,
} from '@balsamnotch/demo';
import {FAULT, type FaultKind, type PlannedFault} from './plan.js';

/** What the faults act on. */
export interface FaultContext {
  readonly deployment: Deployment;
  /** Generates the next revision of the configuration. */
  readonly generateNextConfiguration: () => Promise<PublishedConfiguration>;
}

/**
 * Response delay of a slow service, in milliseconds. Longer than an entry waits before it tries
 * another target.
 */
const SLOW_RESPONSE_DELAY_MS = 900;

/** Injects one fault and resolves when it is over. */
type FaultAction = (
  context: FaultContext,
  node: () => NodeHandle,
  lengthMs: number,
) => Promise<void>;

function configServiceFault(fault: object, end: object): FaultAction {
  return async ({deployment: {configService}}, _, durationMs) => {
    await configService.set(fault);
    await sleep(durationMs);
    await configService.set(end);
  };
}

function serviceFault(fault: object, end: object): FaultAction {
  return async (_, node, durationMs) => {
    await node().standIn?.set(fault);
    await sleep(durationMs);
    await node().standIn?.set(end);
  };
}

function relayFault(mode: RelayMode): FaultAction {
  return async (_, node, durationMs) => {
    node().relay?.set(mode);
    await sleep(durationMs);
    node().relay?.set(RELAY_MODE.pass);
  };
}

const FAULT_ACTIONS: Readonly<Record<FaultKind, FaultAction>> = {
  [FAULT.kill]: async (_, node, durationMs) => {
    node().process().signal('SIGKILL');
    await sleep(durationMs);
    await node().restart();
  },
  [FAULT.stop]: async (_, node, durationMs) => {
    node().process().signal('SIGTERM');
    await Promise.race([node().process().exited, sleep(durationMs)]);
    await node().restart();
  },
  [FAULT.freeze]: async (_, node, durationMs) => {
    node().process().signal('SIGSTOP');
    await sleep(durationMs);
    node().process().signal('SIGCONT');
  },
  [FAULT.cut]: relayFault(RELAY_MODE.cut),
  [FAULT.silent]: relayFault(RELAY_MODE.silent),
  [FAULT.silentFromNode]: relayFault(RELAY_MODE.silentFromNode),
  [FAULT.serviceRestart]: async (_, node) => {
    await node().standIn?.set({restart: true});
  },
  [FAULT.serviceRefuses]: serviceFault({refuse: true}, {refuse: false}),
  [FAULT.serviceSlow]: serviceFault(
    {lateMs: SLOW_RESPONSE_DELAY_MS},
    {lateMs: 0},
  ),
  [FAULT.answerLost]: serviceFault(
    {afterEffect: 'reset'},
    {afterEffect: 'answer'},
  ),
  [FAULT.configAbsent]: configServiceFault({refuse: true}, {refuse: false}),
  [FAULT.configSilent]: configServiceFault({hang: true}, {hang: false}),
  [FAULT.configStale]: configServiceFault({oldCopy: 1}, {oldCopy: null}),
  [FAULT.publish]: async ({deployment, generateNextConfiguration}) =>
    deployment.publish(await generateNextConfiguration()),
};

/**
 * Runs the plan and resolves when all faults are over. Faults of one node run one after another;
 * faults of different nodes may overlap.
 */
export async function runFaults(
  plan: readonly PlannedFault[],
  context: FaultContext,
): Promise<void> {
  const startMs = performance.now();
  const lastFaultByNode = new Map<string, Promise<void>>();
  for (const fault of plan) {
    const previous = lastFaultByNode.get(fault.node) ?? Promise.resolve();
    const waitMs = startMs + fault.atMs - performance.now();
    const startDelay = sleep(Math.max(0, waitMs));
    const node = () => context.deployment.findNode(fault.node);
    const run = () => FAULT_ACTIONS[fault.kind](context, node, fault.lengthMs);
    lastFaultByNode.set(
      fault.node,
      Promise.all([previous, startDelay]).then(run),
    );
  }
  await Promise.all(lastFaultByNode.values());
}
