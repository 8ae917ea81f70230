/** Decides how long a request waits for its silent target. */
import {
  MIN_ATTEMPT_MS,
  afterSilence,
  silenceWaitMs,
  type Route,
} from '@balsamnotch/core';
import type {TargetChooser} from './chooser.js';
import type {RequestRetries} from './requestretries.js';
import type {ForwardingResources} from './resources.js';
import {createSilenceWatch, type SilenceWatch} from './silences.js';
import type {TargetState} from './targets.js';

/** A request of which an attempt is in progress. */
export interface WaitingRequest {
  readonly resources: ForwardingResources;
  readonly route: Route;
  readonly chooser: TargetChooser;
  readonly retries: RequestRetries;
  readonly triedTargets: ReadonlySet<string>;
  /** Returns whether the request may be sent to a further target. */
  readonly maySend: () => boolean;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: () => number;
}

/**
 * Observes the silences of the target of an attempt. New requests avoid the target from the
 * first unusual silence on.
 */
export function watchTarget(
  target: TargetState,
  request: WaitingRequest,
): SilenceWatch {
  const {resources, route, chooser, retries, triedTargets} = request;
  const {clock, metrics} = resources.context;
  const {id, incarnationMs} = target.listing.target;
  const isTargetGone = () => {
    const listed = resources.targets.get(id);
    return listed?.listing.target.incarnationMs !== incarnationMs;
  };
  return createSilenceWatch({
    objectives: route,
    metrics,
    onUnusual: () => {
      target.health = afterSilence(target.health, clock.monotonicMs());
    },
    waitMs: (phase, silentMs) => {
      const remainingMs = request.remainingMs();
      const isRepeatable =
        remainingMs >= MIN_ATTEMPT_MS &&
        request.maySend() &&
        chooser.hasTarget(triedTargets) &&
        retries.isAllowed();
      const waitMs = silenceWaitMs(
        {
          phase,
          silentMs,
          remainingMs,
          isTargetGone: isTargetGone(),
          isRepeatable,
        },
        route,
      );
      // Other attempts that are given up in this turn must not use the same part of the budget.
      if (waitMs === 0) retries.hold();
      return waitMs;
    },
  });
}
