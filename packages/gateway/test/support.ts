/** Helpers shared by tests of the gateway. */
import type {RouteTable} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';

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
