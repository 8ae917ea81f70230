/** Updates the health of a target after an attempt. */
import {
  ATTEMPT_END,
  afterBrokenConnection,
  afterFailure,
  afterFull,
  afterSilence,
  afterSuccess,
  type TargetHealth,
} from '@balsamnotch/core';
import type {AttemptResult} from './attempt.js';

/** Time for which a target without capacity gets no new requests, in milliseconds. */
const FULL_AVOID_MS = 150;

/**
 * Time for which a target gets no new requests after a different target answered
 * at its address, in milliseconds. The registry removes it within this time.
 */
const REPLACED_AVOID_MS = 5_000;

/** Returns the health of a target after an attempt that ended at monotonic time `nowMs`. */
export function healthAfter(
  health: TargetHealth,
  {end, firstByteMs, isReplaced}: AttemptResult,
  nowMs: number,
): TargetHealth {
  switch (end) {
    case ATTEMPT_END.answered:
      return afterSuccess(health, firstByteMs, nowMs);
    case ATTEMPT_END.failed:
      return afterFailure(health, nowMs);
    case ATTEMPT_END.broken:
      return afterBrokenConnection(health, nowMs);
    case ATTEMPT_END.notRun:
      return afterFull(
        health,
        nowMs,
        isReplaced ? REPLACED_AVOID_MS : FULL_AVOID_MS,
      );
    case ATTEMPT_END.notSent:
    case ATTEMPT_END.silent:
      return afterSilence(health, nowMs);
  }
}
