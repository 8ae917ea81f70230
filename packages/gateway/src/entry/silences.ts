/** Observes the silences of a target during one attempt. */
import {
  unusualSilenceMs,
  type SilenceObjectives,
  type SilencePhase,
} from '@balsamnotch/core';
import type {GatewayMetrics} from '../node/metrics.js';

/** Options of {@link createSilenceWatch}. */
export interface SilenceWatchOptions {
  readonly objectives: SilenceObjectives;
  readonly metrics: GatewayMetrics;
  /** Called once, when the target is unusually silent for the first time. */
  readonly onUnusual: () => void;
  /** Returns the time to wait on, in milliseconds; 0 to give the attempt up. */
  readonly waitMs: (phase: SilencePhase, silentMs: number) => number;
}

/** Observer of the silences of one attempt. */
export interface SilenceWatch {
  /** Returns the time until a silence is unusual, in milliseconds. */
  readonly unusualMs: (phase: SilencePhase) => number;
  /** Returns the time to wait on after `silentMs`, in milliseconds; 0 to give the attempt up. */
  readonly judge: (phase: SilencePhase, silentMs: number) => number;
  /** Records that the target has sent something. */
  readonly recordInput: () => void;
  /** Whether the target was unusually silent. */
  readonly wasUnusual: () => boolean;
}

/** Creates the observer of an attempt; counts unusual silences by phase and end. */
export function createSilenceWatch({
  objectives,
  metrics,
  onUnusual,
  waitMs,
}: SilenceWatchOptions): SilenceWatch {
  let silentPhase: SilencePhase | undefined;
  let wasUnusual = false;
  return {
    unusualMs: phase => unusualSilenceMs(phase, objectives),
    judge: (phase, silentMs) => {
      if (silentPhase === undefined) metrics.count('silence', phase);
      silentPhase = phase;
      if (!wasUnusual) onUnusual();
      wasUnusual = true;
      const ms = waitMs(phase, silentMs);
      if (ms === 0) metrics.count('silence_given_up', phase);
      return ms;
    },
    recordInput: () => {
      if (silentPhase !== undefined) {
        metrics.count('silence_ended', silentPhase);
      }
      silentPhase = undefined;
    },
    wasUnusual: () => wasUnusual,
  };
}
