/** Estimates when an engine without a base model will have loaded one. */

/**
 * Minimum estimate while a load takes longer than configured, in milliseconds;
 * covers two polls of the engine.
 */
const MIN_READY_MS = 200;

/** Load of a base model in progress. */
export interface ModelLoad {
  readonly model: string;
  /** Monotonic time in milliseconds at which the load was ordered or first seen in progress. */
  readonly startedAtMs: number;
}

/**
 * Estimates the time until the model is loaded, in milliseconds. A load that has
 * not started is estimated at the full configured time.
 */
export function modelReadyMs(
  model: string,
  configuredLoadMs: number,
  load: ModelLoad | undefined,
  nowMs: number,
): number {
  if (load?.model !== model) return Math.max(MIN_READY_MS, configuredLoadMs);
  return Math.max(MIN_READY_MS, load.startedAtMs + configuredLoadMs - nowMs);
}
