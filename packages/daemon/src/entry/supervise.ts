/** Streams from targets, read with a limit on silence. */

/** Silence after which a stream counts as half-open, in milliseconds. */
export const SILENCE_MS = 800;

/** How a stream failed. */
export const STREAM_END = {
  /** No event within the limit. */
  silent: 'silent',
  /** The connection or the peer failed. */
  broken: 'broken',
  /** The reader stopped it. */
  stopped: 'stopped',
} as const;

/** One of the values of {@link STREAM_END}. */
export type StreamEnd = (typeof STREAM_END)[keyof typeof STREAM_END];

/** Failure of a supervised stream. */
export class StreamError extends Error {
  constructor(
    readonly end: StreamEnd,
    cause?: unknown,
  ) {
    super(`stream ${end}`, {cause});
  }
}

/** Delay of a timer above which the process was paused, in milliseconds. */
const PAUSED_TIMER_MS = 400;

/**
 * Calls back after `limitMs` in which the process ran. A timer that fires far
 * too late shows that the process was paused; events that arrived meanwhile
 * are read only after the timers, so the time starts again. Returns a function
 * that ends the timer.
 */
function afterRunning(limitMs: number, callback: () => void): () => void {
  let timer: NodeJS.Timeout;
  const arm = () => {
    const setMs = performance.now();
    timer = setTimeout(() => {
      const lateMs = performance.now() - setMs - limitMs;
      if (lateMs > PAUSED_TIMER_MS) arm();
      else callback();
    }, limitMs);
  };
  arm();
  return () => clearTimeout(timer);
}

/** Resolves with the promise, or throws after `limitMs` or when stopped. */
export async function within<T>(
  promise: Promise<T>,
  limitMs: number,
  stop: AbortSignal,
): Promise<T> {
  let end = () => {};
  const limit = new Promise<never>((_, reject) => {
    const onStop = () => reject(new StreamError(STREAM_END.stopped));
    const endTimer = afterRunning(limitMs, () =>
      reject(new StreamError(STREAM_END.silent)),
    );
    end = () => {
      endTimer();
      stop.removeEventListener('abort', onStop);
    };
    if (stop.aborted) onStop();
    else stop.addEventListener('abort', onStop, {once: true});
  });
  try {
    return await Promise.race([promise, limit]);
  } finally {
    end();
  }
}

/**
 * Reads a stream. Silence is counted only while the reader waits for an event,
 * so a slow reader does not make a stream silent. Throws {@link StreamError}.
 */
export async function* supervised<T>(
  open: (signal: AbortSignal) => AsyncIterable<T>,
  stop: AbortSignal,
  silenceMs: number = SILENCE_MS,
): AsyncGenerator<T, void> {
  const abort = new AbortController();
  try {
    const iterator = open(abort.signal)[Symbol.asyncIterator]();
    for (;;) {
      const step = await within(iterator.next(), silenceMs, stop);
      if (step.done) return;
      yield step.value;
    }
  } catch (error) {
    if (error instanceof StreamError) throw error;
    throw new StreamError(STREAM_END.broken, error);
  } finally {
    abort.abort();
  }
}
