/** Reads streams from targets with a timeout on silence. */

/** Time without an event after which a stream is considered half-open, in milliseconds. */
export const SILENCE_TIMEOUT_MS = 800;

/** Ways in which reading a stream can fail. */
export const STREAM_END = {
  /** No event arrived within the silence timeout. */
  silent: 'silent',
  /** The connection or the peer failed. */
  broken: 'broken',
  /** The reader aborted it. */
  stopped: 'stopped',
} as const;

/** One of the values of {@link STREAM_END}. */
export type StreamEnd = (typeof STREAM_END)[keyof typeof STREAM_END];

/** Error thrown when reading a stream fails. */
export class StreamError extends Error {
  constructor(
    readonly end: StreamEnd,
    cause?: unknown,
  ) {
    super(`stream ${end}`, {cause});
  }
}

/**
 * Lateness of a timer above which the process is considered to have been paused, in
 * milliseconds.
 */
const PAUSE_DETECTION_MS = 400;

/**
 * Calls `callback` after `limitMs` without a pause of the process, and returns a function
 * that clears the timer. A timer that fires more than {@link PAUSE_DETECTION_MS} late
 * indicates a pause. The timer is then restarted, because Node.js runs timers before it
 * reads events that arrived during the pause.
 */
function setPauseAwareTimeout(
  limitMs: number,
  callback: () => void,
): () => void {
  let timer: NodeJS.Timeout;
  const arm = () => {
    const startMs = performance.now();
    timer = setTimeout(() => {
      const lateMs = performance.now() - startMs - limitMs;
      if (lateMs > PAUSE_DETECTION_MS) arm();
      else callback();
    }, limitMs);
  };
  arm();
  return () => clearTimeout(timer);
}

/**
 * Settles like the promise, or rejects with {@link StreamError}: `silent` after `limitMs`,
 * `stopped` when `stopSignal` aborts.
 */
export async function withTimeout<T>(
  promise: Promise<T>,
  limitMs: number,
  stopSignal: AbortSignal,
): Promise<T> {
  let cleanUp = () => {};
  const failure = new Promise<never>((_, reject) => {
    const onStop = () => reject(new StreamError(STREAM_END.stopped));
    const clearTimer = setPauseAwareTimeout(limitMs, () =>
      reject(new StreamError(STREAM_END.silent)),
    );
    cleanUp = () => {
      clearTimer();
      stopSignal.removeEventListener('abort', onStop);
    };
    if (stopSignal.aborted) onStop();
    else stopSignal.addEventListener('abort', onStop, {once: true});
  });
  try {
    return await Promise.race([promise, failure]);
  } finally {
    cleanUp();
  }
}

/**
 * Reads a stream. The silence timeout of `timeoutMs` runs only while the reader waits for
 * an event, so a slow reader does not trigger it. Throws {@link StreamError}.
 */
export async function* superviseStream<T>(
  open: (signal: AbortSignal) => AsyncIterable<T>,
  stopSignal: AbortSignal,
  timeoutMs: number = SILENCE_TIMEOUT_MS,
): AsyncGenerator<T, void> {
  const abort = new AbortController();
  try {
    const iterator = open(abort.signal)[Symbol.asyncIterator]();
    for (;;) {
      const result = await withTimeout(iterator.next(), timeoutMs, stopSignal);
      if (result.done) return;
      yield result.value;
    }
  } catch (error) {
    if (error instanceof StreamError) throw error;
    throw new StreamError(STREAM_END.broken, error);
  } finally {
    abort.abort();
  }
}
