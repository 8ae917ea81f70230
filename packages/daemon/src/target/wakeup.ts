/** Waiting for a change, with a timeout and an abort signal. */

/** Condition that wakes all current waiters; a notification without waiters is lost. */
export class Wakeup {
  private readonly waiters = new Set<() => void>();

  notify(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /** Resolves on the next notification, after `timeoutMs`, or on abort. */
  wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, timeoutMs);
      this.waiters.add(finish);
      signal.addEventListener('abort', finish);
      if (signal.aborted) finish();
    });
  }
}

/**
 * Yields every `intervalMs` milliseconds until the promise settles, then returns
 * its value or throws its error.
 */
export async function* whilePending<T>(
  promise: Promise<T>,
  intervalMs: number,
): AsyncGenerator<void, T> {
  let isSettled = false;
  const settlement = promise.finally(() => (isSettled = true));
  // Prevents an unhandled rejection; the return below throws the error.
  settlement.catch(() => undefined);
  while (!isSettled) {
    let timer: NodeJS.Timeout | undefined;
    const elapsed = new Promise(resolve => {
      timer = setTimeout(resolve, intervalMs);
    });
    await Promise.race([settlement, elapsed]);
    clearTimeout(timer);
    if (!isSettled) yield;
  }
  return settlement;
}
