/** What the targets of an entry state of themselves, also while they are not listed. */
import {
  UNAVAILABILITY,
  keptPause,
  type RegisteredTarget,
  type Unavailability,
} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';
import type {StatementObserver} from './attempt.js';
import {StatedAvailability} from './statedavailability.js';
import type {TargetState} from './targets.js';

/**
 * Time for which the statements of a target that is no longer listed are kept, in milliseconds.
 * A lapsed list entry is written again within seconds.
 */
const RETENTION_MS = 10 * 60_000;

/** Stages at which a request that has not been sent goes elsewhere. */
export const MOVE_STAGE = {
  /** It waits for its lease. */
  lease: 'lease',
  /** It waits for a connection. */
  connection: 'connection',
} as const;

/** One of the values of {@link MOVE_STAGE}. */
export type MoveStage = (typeof MOVE_STAGE)[keyof typeof MOVE_STAGE];

/** Returns a reason that one of the targets has; a pause rather than leaving. */
export function commonUnavailability(
  targets: readonly StatedAvailability[],
): Unavailability | undefined {
  const reasons = targets.map(stated => stated.unavailability());
  return reasons.includes(UNAVAILABILITY.paused)
    ? UNAVAILABILITY.paused
    : reasons.find(reason => reason !== undefined);
}

/**
 * Returns the time until the first of the targets takes requests again, in milliseconds; 0 if one
 * takes them now, or all are leaving.
 */
export function leastPauseMs(targets: readonly StatedAvailability[]): number {
  const pauses = targets
    .filter(stated => stated.unavailability() !== UNAVAILABILITY.leaving)
    .map(stated => stated.remainingPauseMs());
  return pauses.length === 0 ? 0 : Math.min(...pauses);
}

/** Keeps idle connections to a target unless it is leaving. */
export function updateReuse({connections, stated}: TargetState): void {
  connections.setKeepsIdle(stated.unavailability() !== UNAVAILABILITY.leaving);
}

/** Statements of a target that is no longer listed. */
interface FormerStatements {
  readonly stated: StatedAvailability;
  /** Monotonic time, in milliseconds. */
  readonly removedAtMs: number;
}

/** Creates the statements of targets, and keeps those of targets that may be listed again. */
export class TargetStatements {
  /** By target id. */
  private readonly former = new Map<string, FormerStatements>();

  constructor(private readonly context: GatewayContext) {}

  /** Returns the statements of a target that has just been listed. */
  of({id, service}: RegisteredTarget): StatedAvailability {
    const former = this.former.get(id);
    this.former.delete(id);
    if (former !== undefined) return former.stated;
    const {clock, log, metrics} = this.context;
    return new StatedAvailability({
      now: () => clock.monotonicMs(),
      onUnavailable: reason => {
        metrics.count('target_unavailable', reason);
        log.warn('target_unavailable', {target: id, service, reason});
      },
      onAvailable: (reason, cause, durationMs) => {
        metrics.count('target_unavailable_ended', `${reason}_${cause}`);
        log.info('target_unavailable_ended', {
          target: id,
          service,
          reason,
          cause,
          duration_ms: Math.round(durationMs),
        });
      },
    });
  }

  /** Returns what handles the statements in the answer to a request that is about to be sent. */
  observer(target: TargetState): Omit<StatementObserver, 'onLimit'> {
    const {stated, listing} = target;
    const {id, service, incarnationMs} = listing.target;
    const {log, metrics} = this.context;
    return {
      onLeaving: () => {
        stated.recordLeaving(incarnationMs);
        updateReuse(target);
      },
      onPause: statedMs => {
        const {pauseMs, isOdd} = keptPause(statedMs);
        if (isOdd) {
          metrics.count('target_pause_odd', service);
          log.warn('target_pause_odd', {target: id, stated_ms: `${statedMs}`});
        }
        stated.recordPause(incarnationMs, pauseMs);
      },
    };
  }

  /** Keeps the statements of a target that is no longer listed, and drops the oldest ones. */
  keep(id: string, stated: StatedAvailability): void {
    const nowMs = this.context.clock.monotonicMs();
    for (const [formerId, {removedAtMs}] of this.former) {
      if (nowMs - removedAtMs < RETENTION_MS) break;
      this.former.delete(formerId);
    }
    stated.recordRemoval();
    // Answers to requests in progress may still state something.
    this.former.set(id, {stated, removedAtMs: nowMs});
  }
}
