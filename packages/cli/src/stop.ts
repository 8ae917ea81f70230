/** `stop`: starts or cancels a planned stop of one node. */
import {setTimeout as delay} from 'node:timers/promises';
import {NodeState, type StatusResponse} from '@balsamnotch/wire';
import type {Result} from 'ts-results-es';
import {EXIT, type ExitCode} from './exit.js';
import {fetchStatus, requestStop, stateName, type NodeError} from './nodes.js';
import {formatDuration, pluralize, type Terminal} from './terminal.js';

/** Interval between status requests to a node that is leaving, in milliseconds. */
const POLL_INTERVAL_MS = 200;

/** Default timeout of `--wait`, in milliseconds. */
export const DEFAULT_WAIT_MS = 120_000;

/** Result of waiting for a node to exit. */
export interface NodeExit {
  readonly hasExited: boolean;
  readonly waitedMs: number;
  /** Description of the last status answer or error. */
  readonly lastStatus: string;
}

/** Options of {@link waitForNodeExit}. */
export interface NodeExitOptions {
  readonly address: string;
  /** Incarnation that is expected to exit. */
  readonly incarnation: string;
  /** Timeout, in milliseconds. */
  readonly waitMs: number;
}

/**
 * Returns whether the answer proves that the incarnation has exited: the address
 * refuses connections, or another incarnation answers there. A missing answer
 * proves nothing, because a half-open connection or a network partition looks the
 * same.
 */
function provesExit(
  answer: Result<StatusResponse, NodeError>,
  incarnation: string,
): boolean {
  if (answer.isErr()) return answer.error.kind === 'refused';
  return answer.value.incarnation !== incarnation;
}

function describeAnswer(answer: Result<StatusResponse, NodeError>): string {
  if (answer.isErr()) return answer.error.message;
  const {state, inProgress} = answer.value;
  return `${stateName(state)}, ${pluralize(inProgress, 'request')} in progress`;
}

/** Polls the status of a node until it has exited or `waitMs` have passed. */
export async function waitForNodeExit({
  address,
  incarnation,
  waitMs,
}: NodeExitOptions): Promise<NodeExit> {
  const startMs = performance.now();
  for (;;) {
    const answer = await fetchStatus(address);
    const waitedMs = performance.now() - startMs;
    const hasExited = provesExit(answer, incarnation);
    if (hasExited || waitedMs >= waitMs) {
      return {
        hasExited,
        waitedMs,
        lastStatus: describeAnswer(answer),
      };
    }
    await delay(POLL_INTERVAL_MS);
  }
}

/** Options of {@link stop}. */
export interface StopOptions {
  /** Connect server of the node, `ip:port`. */
  readonly address: string;
  readonly cancel?: boolean;
  /** Waits until the node has exited. */
  readonly wait?: boolean;
  /** Timeout of `wait`, in milliseconds; {@link DEFAULT_WAIT_MS} when absent. */
  readonly waitMs?: number;
}

/** Starts or cancels a planned stop; with `wait`, waits until the node has exited. */
export async function stop(
  {address, cancel = false, wait = false, waitMs}: StopOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const statusAnswer = await fetchStatus(address);
  if (statusAnswer.isErr()) {
    terminal.err(`${address} did not answer: ${statusAnswer.error.message}`);
    return EXIT.unreachable;
  }
  const {node, incarnation} = statusAnswer.value;
  const stopAnswer = await requestStop(address, cancel);
  if (stopAnswer.isErr()) {
    const action = cancel ? 'cancelled' : 'started';
    terminal.err(
      `${node}: not known whether the stop was ${action}: ${stopAnswer.error.message}`,
    );
    return EXIT.unreachable;
  }
  const {state, inProgress} = stopAnswer.value;
  const requests = pluralize(inProgress, 'request');
  terminal.out(`${node}: ${stateName(state)}, ${requests} in progress`);
  const isLeaving = state === NodeState.LEAVING;
  if (isLeaving === cancel) {
    terminal.err(
      cancel ? `${node} is still leaving` : `${node} did not start to leave`,
    );
    return EXIT.failed;
  }
  if (!wait || cancel) return EXIT.ok;
  const nodeExit = await waitForNodeExit({
    address,
    incarnation,
    waitMs: waitMs ?? DEFAULT_WAIT_MS,
  });
  const waited = formatDuration(nodeExit.waitedMs);
  if (nodeExit.hasExited) {
    terminal.out(`${node}: gone after ${waited}`);
    return EXIT.ok;
  }
  terminal.err(
    `${node}: not gone after ${waited}; last seen: ${nodeExit.lastStatus}`,
  );
  return EXIT.unreachable;
}
