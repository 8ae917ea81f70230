/** When an engine without a base model is expected to have one. */

/** Least expectation while a load lasts longer than stated, in milliseconds: two polls of the engine. */
const LATE_MS = 200;

/** Load of a base model that is in progress. */
export interface ModelLoad {
  readonly model: string;
  /** Monotonic time of the order, or of the first sight of the load. */
  readonly sinceMs: number;
}

/**
 * Time until the model is expected, in milliseconds. A load that has not begun
 * takes the stated time.
 */
export function modelReadyMs(
  model: string,
  statedMs: number,
  load: ModelLoad | undefined,
  nowMs: number,
): number {
  if (load?.model !== model) return Math.max(LATE_MS, statedMs);
  return Math.max(LATE_MS, load.sinceMs + statedMs - nowMs);
}
