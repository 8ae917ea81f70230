/** Waiting for a change, with a timeout and an abort signal. */

/** Wakes all its waiters at once; a notification without waiters is not kept. */
export class Wakeup {
  private readonly waiters = new Set<() => void>();

  notify(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /** Resolves on the next notification, after `timeoutMs`, or on abort. */
  wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(done);
        signal.removeEventListener('abort', done);
        resolve();
      };
      const timer = setTimeout(done, timeoutMs);
      this.waiters.add(done);
      signal.addEventListener('abort', done);
      if (signal.aborted) done();
    });
  }
}

/** Yields each time that `intervalMs` pass without the promise having settled; returns its value. */
export async function* whilePending<T>(
  promise: Promise<T>,
  intervalMs: number,
): AsyncGenerator<void, T> {
  let settled = false;
  const done = promise.finally(() => (settled = true));
  // A rejection is thrown by the return below.
  done.catch(() => undefined);
  while (!settled) {
    let timer: NodeJS.Timeout | undefined;
    const elapsed = new Promise(resolve => {
      timer = setTimeout(resolve, intervalMs);
    });
    await Promise.race([done, elapsed]);
    clearTimeout(timer);
    if (!settled) yield;
  }
  return done;
}
