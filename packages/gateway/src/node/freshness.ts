/**
 * Tracks the age of a node's knowledge of published changes, and the delay with
 * which changes come into force.
 */
import {Subject, type Observable} from 'rxjs';
import type {Clock} from '@balsamnotch/core';
import type {EventLog} from '@balsamnotch/daemon';
import type {GatewayMetrics} from './metrics.js';

/** Source from which a node received a change. */
export const CHANGE_SOURCE = {
  /** The platform's store. */
  store: 'store',
  /** A peer listed in the settings. */
  peer: 'peer',
  /** A target node that this entry exchanges leases with. */
  targetNode: 'target_node',
  /** An entry that this target node exchanges leases with. */
  entry: 'entry',
} as const;

/** One of the values of {@link CHANGE_SOURCE}. */
export type ChangeSource = (typeof CHANGE_SOURCE)[keyof typeof CHANGE_SOURCE];

/** Tracks ages and delays of published changes at one node. */
export interface FreshnessTracker {
  /** Records that everything published up to the monotonic time `asOfMs` is known. */
  readonly recordConfirmation: (asOfMs: number) => void;
  /** Records that all operator changes published up to the monotonic time `asOfMs` are known. */
  readonly recordOperatorConfirmation: (asOfMs: number) => void;
  /** Emits the monotonic time up to which the targets are known, in milliseconds. */
  readonly targetsConfirmed$: Observable<number>;
  /**
   * Returns the time since the targets were last confirmed, in milliseconds; Infinity before
   * the first confirmation, and always for a source that does not list them.
   */
  readonly targetsAgeMs: () => number;
  /**
   * Returns the time since the operator's changes were last confirmed, in
   * milliseconds; 0 before the first confirmation.
   */
  readonly operatorAgeMs: () => number;
  /**
   * Logs that a version of the routes comes into force, with the upper bound of
   * its delay since publication.
   */
  readonly recordRoutesAdoption: (
    version: number,
    source: ChangeSource,
  ) => void;
  /** Ages and delays for the metrics endpoint, in milliseconds. */
  readonly status: () => Readonly<Record<string, number>>;
}

/** Options of {@link createFreshnessTracker}. */
export interface FreshnessTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Time within which a published change must be in force, in milliseconds. */
  readonly boundMs: number;
  /** Whether the source of the changes lists the targets; default: true. */
  readonly listsTargets?: boolean;
}

/** Creates a tracker for a node that knows nothing yet. */
export function createFreshnessTracker({
  clock,
  log,
  metrics,
  boundMs,
  listsTargets = true,
}: FreshnessTrackerOptions): FreshnessTracker {
  const targetsConfirmed$ = new Subject<number>();
  let confirmedAtMs: number | undefined;
  let operatorConfirmedAtMs: number | undefined;
  let maxDelayMs = 0;
  const ageOf = (atMs: number | undefined) =>
    atMs === undefined ? 0 : clock.monotonicMs() - atMs;
  const operatorAgeMs = () => ageOf(operatorConfirmedAtMs);
  const recordOperatorConfirmation = (asOfMs: number) => {
    operatorConfirmedAtMs = Math.max(operatorConfirmedAtMs ?? 0, asOfMs);
  };
  return {
    recordConfirmation: asOfMs => {
      confirmedAtMs = Math.max(confirmedAtMs ?? 0, asOfMs);
      recordOperatorConfirmation(asOfMs);
      if (listsTargets) targetsConfirmed$.next(confirmedAtMs);
    },
    recordOperatorConfirmation,
    targetsConfirmed$,
    targetsAgeMs: () =>
      listsTargets && confirmedAtMs !== undefined
        ? ageOf(confirmedAtMs)
        : Infinity,
    operatorAgeMs,
    recordRoutesAdoption: (version, source) => {
      // Before the first confirmation there is no lower bound for the time of publication.
      if (operatorConfirmedAtMs === undefined) {
        log.info('routes_adopted', {version, source});
        return;
      }
      const delayMs = Math.round(operatorAgeMs());
      maxDelayMs = Math.max(maxDelayMs, delayMs);
      metrics.timing('routes_adoption_at_most', delayMs);
      const isLate = delayMs > boundMs;
      if (isLate) metrics.count('routes_late', source);
      log[isLate ? 'warn' : 'info']('routes_adopted', {
        version,
        source,
        delay_at_most_ms: delayMs,
        bound_ms: boundMs,
      });
    },
    status: () => ({
      directory_age_ms: Math.round(ageOf(confirmedAtMs)),
      operator_age_ms: Math.round(operatorAgeMs()),
      routes_adoption_at_most_max_ms: maxDelayMs,
      change_bound_ms: boundMs,
    }),
  };
}
