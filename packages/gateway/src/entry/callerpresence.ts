/** Tells callers that have closed their connections from those that have ended only their half. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Pauses before the probes of a connection after the first, in milliseconds. A caller that has
 * closed answers a probe with a reset, which the next probe finds. Some HTTP clients accept five
 * interim responses at most.
 */
const PROBE_PAUSES_MS = [25, 50, 100, 200] as const;

/**
 * Time after which a caller that has ended its half counts as present, in milliseconds: longer than
 * a round trip and two probes.
 */
const CONFIRMATION_MS = 100;

/** Whether the caller of a request still reads its answer. */
export interface CallerPresence {
  /**
   * Resolves to false if the caller has left. Resolves at once while the caller's half of the
   * connection is open, and else after the first probes.
   */
  readonly isPresent: () => Promise<boolean>;
}

/**
 * Watches the end of the caller's half while a request is in progress. Before the answer begins, the
 * end may mean that the caller waits for it, or that it has left; interim responses find out which.
 * HTTP/1.0 has none, so the end counts as leaving there. So does an end in the middle of an answer:
 * a silent stream writes nothing that would find out.
 */
export function watchCallerPresence(
  {socket, httpVersionMinor}: IncomingMessage,
  response: ServerResponse,
): CallerPresence {
  let timer: NodeJS.Timeout | undefined;
  let probes = 0;
  let endedAtMs: number | undefined;
  /** Whether a probe has followed the time after which the caller counts as present. */
  let isConfirmed = false;
  const probe = () => {
    clearTimeout(timer);
    if (response.headersSent || !socket.writable) return;
    if (probes > PROBE_PAUSES_MS.length) return;
    response.writeContinue();
    const pauseMs = PROBE_PAUSES_MS[probes];
    probes += 1;
    if (pauseMs !== undefined) timer = setTimeout(probe, pauseMs);
  };
  const handleEnd = () => {
    endedAtMs = performance.now();
    // A complete answer is still being sent.
    if (response.writableEnded) return;
    if (httpVersionMinor === 0 || response.headersSent) socket.destroy();
    else probe();
  };
  const isOpen = () => !response.destroyed && !socket.destroyed;
  if (socket.readableEnded) handleEnd();
  else socket.once('end', handleEnd);
  response.once('close', () => {
    clearTimeout(timer);
    socket.removeListener('end', handleEnd);
  });
  return {
    isPresent: async () => {
      if (endedAtMs !== undefined && !isConfirmed && isOpen()) {
        const leftMs = endedAtMs + CONFIRMATION_MS - performance.now();
        if (leftMs > 0) await new Promise(r => setTimeout(r, leftMs));
        isConfirmed = true;
        // In a late event loop the timers of the probes may not have run yet.
        probe();
        // The error of a failed write is emitted later.
        await new Promise(resolve => setImmediate(resolve));
      }
      return isOpen();
    },
  };
}
