/** Interfaces between a gateway node and the role that it runs. */
import type {Clock} from '@balsamnotch/core';
import type {EventLog, PauseMonitor} from '@balsamnotch/daemon';
import type {CrashEvidence} from './crashevidence.js';
import type {Directory} from './directory.js';
import type {GatewayMetrics} from './metrics.js';

/** Services and settings that a node provides to its role. */
export interface GatewayContext {
  readonly name: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  /** Returns a uniformly distributed random number in [0, 1). */
  readonly random: () => number;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly directory: Directory;
  readonly evidence: CrashEvidence;
  readonly pauses: PauseMonitor;
}

/** A running role: entry or target node. */
export interface GatewayRole {
  /** Starts a planned stop; resolves when the process may exit. */
  readonly stop: () => Promise<void>;
  /** Gauges for the metrics endpoint, by name. */
  readonly status: () => Readonly<Record<string, number | boolean>>;
}
