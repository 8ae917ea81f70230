/**
 * Gateway of balsamnotch: entries that forward requests to targets, and target
 * nodes that manage model engines.
 */
export {startTargetNode, type TargetNodeSettings} from './agent/index.js';
export {
  ENGINE_FAILURE,
  type EngineFailure,
  type EngineState,
  type ManagedEngine,
  type ModelOrder,
} from './agent/engine.js';
export type {RetryLimits} from '@balsamnotch/core';
export {startEntry} from './entry/index.js';
export type {EntrySettings} from './entry/settings.js';
export type {
  CallerHeaders,
  ForwardProtocol,
  ForwardedHeaders,
  TargetHeaders,
} from './entry/protocol.js';
export type {GatewayContext, GatewayRole} from './node/context.js';
export {createGatewayMetrics, type GatewayMetrics} from './node/metrics.js';
export {
  createCrashEvidence,
  type CrashEvidence,
  type Quarantine,
} from './node/crashevidence.js';
export {createDirectory, type Directory} from './node/directory.js';
export type {
  DirectoryAnswer,
  DirectoryChange,
  DirectoryError,
  DirectorySource,
  WatchLimits,
} from './node/directorysource.js';
export {runGateway, type GatewaySettings} from './node/run.js';
