/** Compares the version of the routes in force with those that other nodes state. */
import {
  behindMs,
  isPositionDoubtful,
  NO_STATED_VERSION,
  withStatedVersion,
  type Clock,
} from '@balsamnotch/core';
import type {EventLog, LogFields} from '@balsamnotch/daemon';
import type {ChangeSource} from './freshness.js';
import type {GatewayMetrics} from './metrics.js';

/** Watches whether this node lacks a version of the routes that another node has in force. */
export interface VersionWatch {
  /** Records that another node has a version of the routes in force; 0 states none. */
  readonly recordStated: (version: number, source: ChangeSource) => void;
  /**
   * Returns whether the node has been behind for so long that its position cannot be trusted.
   * Logs when that begins and when the node is no longer behind.
   */
  readonly check: () => boolean;
  /** Gauges, in versions and milliseconds. */
  readonly status: () => Readonly<Record<string, number>>;
}

/** Options of {@link createVersionWatch}. */
export interface VersionWatchOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Returns the version in force; 0 before the first. */
  readonly inForce: () => number;
  /** Returns what the node knows, for the log. */
  readonly knowledge: () => LogFields;
  /** Time within which a published change must be in force, in milliseconds. */
  readonly boundMs: number;
}

/** Creates a watch without any statement. */
export function createVersionWatch({
  clock,
  log,
  metrics,
  inForce,
  knowledge,
  boundMs,
}: VersionWatchOptions): VersionWatch {
  let version = NO_STATED_VERSION;
  let isDoubtful = false;
  const update = (stated: number) => {
    version = withStatedVersion(
      version,
      stated,
      inForce(),
      clock.monotonicMs(),
    );
  };
  return {
    recordStated: (stated, source) => {
      const {newest} = version;
      update(stated);
      if (version.newest > Math.max(newest, inForce())) {
        metrics.count('newer_routes_stated', source);
      }
    },
    check: () => {
      const nowMs = clock.monotonicMs();
      const wasBehindMs = behindMs(version, nowMs);
      update(0);
      const wasDoubtful = isDoubtful;
      isDoubtful = isPositionDoubtful(version, boundMs, nowMs);
      if (isDoubtful && !wasDoubtful) {
        metrics.count('routes_behind');
        log.warn('routes_behind', {
          newest: version.newest,
          behind_ms: Math.round(wasBehindMs),
          ...knowledge(),
        });
      } else if (wasDoubtful && !isDoubtful) {
        log.info('routes_behind_ended', {
          behind_ms: Math.round(wasBehindMs),
          ...knowledge(),
        });
      }
      return isDoubtful;
    },
    status: () => ({
      newest_routes_version_stated: version.newest,
      routes_behind_ms: Math.round(behindMs(version, clock.monotonicMs())),
    }),
  };
}
