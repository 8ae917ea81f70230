/** `stop`: starts or cancels a planned stop of one node. */
import {setTimeout as delay} from 'node:timers/promises';
import {NodeState, type StatusResponse} from '@balsamnotch/wire';
import type {Result} from 'ts-results-es';
import {EXIT, type ExitCode} from './exit.js';
import {nodeStatus, stateName, stopNode, type NodeError} from './nodes.js';
import {formatDuration, plural, type Terminal} from './terminal.js';

/** Time between two looks at a node that is leaving, in milliseconds. */
const POLL_MS = 200;

/** Default for the time that `--wait` takes at most, in milliseconds. */
export const DEFAULT_WAIT_MS = 120_000;

/** Whether a node has gone. */
export interface Departure {
  readonly hasGone: boolean;
  readonly waitedMs: number;
  /** Last sign of the node. */
  readonly lastSeen: string;
}

/** Options of {@link waitUntilGone}. */
export interface DepartureOptions {
  readonly address: string;
  /** Incarnation that is to go; another one at the address means that it has gone. */
  readonly incarnation: string;
  readonly waitMs: number;
}

/**
 * Tells whether the answer shows that the incarnation has gone. Silence does
 * not: a half-open connection or a partition looks the same.
 */
function showsDeparture(
  answer: Result<StatusResponse, NodeError>,
  incarnation: string,
): boolean {
  if (answer.isErr()) return answer.error.kind === 'refused';
  return answer.value.incarnation !== incarnation;
}

function describe(answer: Result<StatusResponse, NodeError>): string {
  if (answer.isErr()) return answer.error.message;
  const {state, inProgress} = answer.value;
  return `${stateName(state)}, ${plural(inProgress, 'request')} in progress`;
}

/** Looks at a node until it has gone or the time is over. */
export async function waitUntilGone({
  address,
  incarnation,
  waitMs,
}: DepartureOptions): Promise<Departure> {
  const start = performance.now();
  for (;;) {
    const answer = await nodeStatus(address);
    const waitedMs = performance.now() - start;
    const hasGone = showsDeparture(answer, incarnation);
    if (hasGone || waitedMs >= waitMs) {
      return {hasGone, waitedMs, lastSeen: describe(answer)};
    }
    await delay(POLL_MS);
  }
}

/** Options of {@link stop}. */
export interface StopOptions {
  /** Connect server of the node, `ip:port`. */
  readonly address: string;
  readonly cancel?: boolean;
  /** Waits until the node has gone. */
  readonly wait?: boolean;
  readonly waitMs?: number;
}

/** Starts or cancels a planned stop, and with `wait` waits for its end. */
export async function stop(
  {address, cancel = false, wait = false, waitMs}: StopOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const before = await nodeStatus(address);
  if (before.isErr()) {
    terminal.err(`${address} did not answer: ${before.error.message}`);
    return EXIT.unreachable;
  }
  const {node, incarnation} = before.value;
  const answer = await stopNode(address, cancel);
  if (answer.isErr()) {
    const what = cancel ? 'cancelled' : 'started';
    terminal.err(
      `${node}: not known whether the stop was ${what}: ${answer.error.message}`,
    );
    return EXIT.unreachable;
  }
  const {state, inProgress} = answer.value;
  const work = plural(inProgress, 'request');
  terminal.out(`${node}: ${stateName(state)}, ${work} in progress`);
  const isLeaving = state === NodeState.LEAVING;
  if (isLeaving === cancel) {
    terminal.err(
      cancel ? `${node} still leaves` : `${node} did not start to leave`,
    );
    return EXIT.failed;
  }
  if (!wait || cancel) return EXIT.ok;
  const departure = await waitUntilGone({
    address,
    incarnation,
    waitMs: waitMs ?? DEFAULT_WAIT_MS,
  });
  const waited = formatDuration(departure.waitedMs);
  if (departure.hasGone) {
    terminal.out(`${node}: gone after ${waited}`);
    return EXIT.ok;
  }
  terminal.err(
    `${node}: not gone after ${waited}; last seen: ${departure.lastSeen}`,
  );
  return EXIT.unreachable;
}
