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

/** Resolves with the promise, or throws after `limitMs` or when stopped. */
export async function within<T>(
  promise: Promise<T>,
  limitMs: number,
  stop: AbortSignal,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  let onStop: (() => void) | undefined;
  const limit = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new StreamError(STREAM_END.silent)),
      limitMs,
    );
    onStop = () => reject(new StreamError(STREAM_END.stopped));
    if (stop.aborted) onStop();
    else stop.addEventListener('abort', onStop, {once: true});
  });
  try {
    return await Promise.race([promise, limit]);
  } finally {
    clearTimeout(timer);
    if (onStop !== undefined) stop.removeEventListener('abort', onStop);
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
