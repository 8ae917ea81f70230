/** What the roles of a gateway node share. */
import type {Clock} from '@balsamnotch/core';
import type {EventLog, PauseMonitor} from '@balsamnotch/daemon';
import type {Directory} from './directory.js';
import type {GatewayMetrics} from './metrics.js';

/** What a role uses of its node. */
export interface GatewayContext {
  readonly name: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  /** Uniform random number in [0, 1). */
  readonly random: () => number;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly directory: Directory;
  readonly pauses: PauseMonitor;
}

/** A role that runs. */
export interface GatewayRole {
  /** Starts the planned stop; resolves when the process may exit. */
  readonly stop: () => Promise<void>;
  /** State for the metrics address. */
  readonly status: () => Readonly<Record<string, number | boolean>>;
}
