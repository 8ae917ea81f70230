/** Decides what an entry does while a target is silent. */

/** Phases of an attempt in which a target can be silent. */
export const SILENCE_PHASE = {
  /** Before the first bytes of an answer or the first event of a stream. */
  firstByte: 'first_byte',
  /** Between two events of a stream. */
  betweenEvents: 'between_events',
} as const;

/** One of the values of {@link SILENCE_PHASE}. */
export type SilencePhase = (typeof SILENCE_PHASE)[keyof typeof SILENCE_PHASE];

/** Objectives of the route of a silent attempt, in milliseconds. */
export interface SilenceObjectives {
  readonly latencyObjectiveMs: number;
  /** 0 without an objective. */
  readonly gapObjectiveMs: number;
}

/** Time after which a target is unusually silent, as a multiple of the latency objective. */
const FIRST_BYTE_OBJECTIVES = 2.5;

/** The same between events, as a multiple of the gap objective. */
const GAP_OBJECTIVES = 3;

/** Time for which a sound target may be silent, in milliseconds. */
const SOUND_SILENCE_MS = 2_000;

/** Share of the time of a request that may pass without an answer, if another target is tried then. */
const FIRST_TARGET_SHARE = 0.5;

/** Gap after which callers abandon a stream, in milliseconds. */
const CALLER_GAP_MS = 2_000;

/** The same as multiples of the objectives; the longest of the three applies. */
const CALLER_GAP_LATENCY_OBJECTIVES = 4;
const CALLER_GAP_OBJECTIVES = 8;

/** Time until a silence is judged again that has no better continuation, in milliseconds. */
const RECHECK_MS = 200;

/** Returns the time after which a silence is unusual, in milliseconds. */
export function unusualSilenceMs(
  phase: SilencePhase,
  {latencyObjectiveMs, gapObjectiveMs}: SilenceObjectives,
): number {
  return phase === SILENCE_PHASE.firstByte
    ? FIRST_BYTE_OBJECTIVES * latencyObjectiveMs
    : GAP_OBJECTIVES * gapObjectiveMs || SOUND_SILENCE_MS;
}

/** State of an attempt at a silent target. */
export interface Silence {
  readonly phase: SilencePhase;
  /** Time since the target sent something, or since the attempt began, in milliseconds. */
  readonly silentMs: number;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: number;
  /** Whether there is other evidence that the target is gone. */
  readonly isTargetGone: boolean;
  /** Whether the request may be sent to another target, and there is one. */
  readonly isRepeatable: boolean;
}

/**
 * Returns the longest silence of a target that is taken for sound, in milliseconds. It leaves
 * another target the time of the latency objective before the caller gives up, and half of
 * the whole time if nothing has arrived.
 */
export function soundSilenceMs(
  {phase, silentMs, remainingMs}: Silence,
  objectives: SilenceObjectives,
): number {
  const {latencyObjectiveMs, gapObjectiveMs} = objectives;
  const requestMs = silentMs + remainingMs;
  const callerGapMs = Math.max(
    CALLER_GAP_MS,
    CALLER_GAP_LATENCY_OBJECTIVES * latencyObjectiveMs,
    CALLER_GAP_OBJECTIVES * gapObjectiveMs,
  );
  const latestMs =
    phase === SILENCE_PHASE.firstByte
      ? Math.min(requestMs - latencyObjectiveMs, FIRST_TARGET_SHARE * requestMs)
      : callerGapMs - latencyObjectiveMs;
  return Math.max(
    unusualSilenceMs(phase, objectives),
    Math.min(SOUND_SILENCE_MS, latestMs),
  );
}

/**
 * Returns the time to wait on for the silent target, in milliseconds; 0 to give the attempt up
 * for another target. An attempt that cannot be repeated is not given up.
 */
export function silenceWaitMs(
  silence: Silence,
  objectives: SilenceObjectives,
): number {
  const limitMs = silence.isTargetGone
    ? unusualSilenceMs(silence.phase, objectives)
    : soundSilenceMs(silence, objectives);
  const leftMs = limitMs - silence.silentMs;
  if (leftMs > 0) return Math.min(leftMs, RECHECK_MS);
  return silence.isRepeatable ? 0 : RECHECK_MS;
}
