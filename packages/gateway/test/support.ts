/** Helpers shared by tests of the gateway. */
import type {Clock, RouteTable, StorePosition} from '@balsamnotch/core';
import {systemClock, type EventLog} from '@balsamnotch/daemon';
import {create} from '@bufbuild/protobuf';
import {OperatorStateSchema} from '@balsamnotch/wire';
import {Ok} from 'ts-results-es';
import type {EngineState} from '../src/agent/engine.js';
import {createDirectory, type Directory} from '../src/node/directory.js';
import type {DirectoryChange} from '../src/node/directorysource.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import type {
  OperatorExchange,
  OperatorMessage,
} from '../src/node/operatorexchange.js';

/** Returns a position in the history of the store. */
export const at = (revision: number, era = 0): StorePosition => ({
  era,
  revision,
});

/** Creates a route table with one service and no routes. */
export function tableOf(version: number): RouteTable {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const service = {name: 's'};
  return {version, routes: [], services: new Map([['s', service]]), limits};
}

const ignore = () => undefined;

/** A log that discards all lines. */
export const QUIET_LOG: EventLog = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
};

/** Creates a directory whose source never answers. */
export function createSilentDirectory(clock: Clock): Directory {
  const neverAnswer = () => new Promise<never>(() => undefined);
  return createDirectory({
    source: {read: neverAnswer, watch: neverAnswer},
    clock,
    log: QUIET_LOG,
    metrics: createGatewayMetrics(),
  });
}

/** Creates a directory whose source answers the first read, and nothing afterwards. */
export function createDirectoryAt(
  position: StorePosition,
  changes: readonly DirectoryChange[],
): Directory {
  const answer = Ok({changes, position, operatorPosition: position});
  return createDirectory({
    source: {
      read: () => Promise.resolve(answer),
      watch: () => new Promise(() => undefined),
    },
    clock: systemClock,
    log: QUIET_LOG,
    metrics: createGatewayMetrics(),
  });
}

/** Delivers a message to the end that `to` returns, after 5 ms, like a stream. */
export function deliver(
  to: () => OperatorExchange | undefined,
  {operatorState, wantsChanges = false}: OperatorMessage,
): void {
  setTimeout(
    () =>
      to()?.handleMessage({
        operatorState:
          operatorState && create(OperatorStateSchema, operatorState),
        wantsChanges,
      }),
    5,
  );
}

/** State of an idle engine that holds the adapters of the model `m`. */
export function engineState(
  adapters: readonly string[],
  overrides: Partial<EngineState> = {},
): EngineState {
  return {
    incarnationMs: 1,
    acceptedOrders: 0,
    isBusy: false,
    leaving: false,
    remainingMs: 0,
    running: 0,
    waiting: 0,
    cacheUsed: 0,
    cacheTotal: 1,
    models: [
      {model: 'm', adapters: adapters.map(adapter => ({adapter, version: 1}))},
    ],
    loading: [],
    ...overrides,
  };
}

/** Waits up to 2 s for a condition; throws with the description if it stays false. */
export async function waitUntil(
  condition: () => boolean,
  description: string,
): Promise<void> {
  for (let n = 0; n < 400; n++) {
    if (condition()) return;
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  throw new Error(`timeout: ${description}`);
}
