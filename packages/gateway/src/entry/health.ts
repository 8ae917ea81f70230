/** What the end of an attempt says about the health of its target. */
import {
  ATTEMPT_END,
  afterBreak,
  afterFailure,
  afterFull,
  afterSilence,
  afterSuccess,
  type TargetHealth,
} from '@balsamnotch/core';
import type {AttemptResult} from './attempt.js';

/** Time for which a target that had no room gets no new work, in milliseconds. */
const FULL_MS = 150;

/** Time for which a target whose address another one has gets no new work, in milliseconds: the list drops it within that time. */
const REPLACED_MS = 5_000;

/** Health of the target after an attempt. */
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
      return afterBreak(health, nowMs);
    case ATTEMPT_END.notRun:
      return afterFull(health, nowMs, isReplaced ? REPLACED_MS : FULL_MS);
    case ATTEMPT_END.notSent:
    case ATTEMPT_END.silent:
      return afterSilence(health, nowMs);
  }
}
