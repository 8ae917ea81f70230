/** Timeouts for input from sockets, and waits for input that has already arrived. */

/** A timeout that input restarts or clears. */
export interface InputTimer {
  /** Starts the timeout, in milliseconds, in place of the one before. */
  readonly restart: (ms: number) => void;
  readonly clear: () => void;
}

/**
 * Runs a function after `ms` milliseconds, once what had arrived by then has been read. After the event
 * loop was blocked, Node.js runs timers before it reads sockets, so a timer that ends a wait for
 * input would not know of it. Returns a function that cancels.
 */
export function scheduleAfterInput(run: () => void, ms: number): () => void {
  let nextTurn: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    nextTurn = setImmediate(run);
  }, ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(nextTurn);
  };
}

/**
 * Creates a timer that is not running. It takes effect as {@link scheduleAfterInput} does, unless
 * input that arrived in the meantime has restarted or cleared it.
 */
export function createInputTimer(onTimeout: () => void): InputTimer {
  let clear = () => {};
  return {
    restart: ms => {
      clear();
      clear = scheduleAfterInput(onTimeout, ms);
    },
    clear: () => clear(),
  };
}

/**
 * Resolves after the sockets have been read once more, so that the caller knows of input, and of
 * the end of connections, that had arrived before. Node.js reads one piece of input a turn of the
 * event loop: a request and the end of its connection take two, however long both have waited.
 */
export function readPendingInput(): Promise<void> {
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}
