/** Lines of the log on standard output: bounded in volume, and never waiting for the reader. */
import {write} from 'node:fs';

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
  /** Lines a second; more are dropped and counted. */
  readonly linesPerSecond?: number;
  /** Bytes that wait for the reader; lines beyond are dropped and counted. */
  readonly maxPendingBytes?: number;
  /** Time for which lines are gathered into one write, in milliseconds. */
  readonly flushMs?: number;
  /** File descriptor. */
  readonly fd?: number;
}

/** Writer of log lines. */
export interface LineWriter {
  readonly write: (line: string) => void;
  /** Writes what is left; resolves when it is written or has failed. */
  readonly flush: () => Promise<void>;
}

/**
 * Creates a writer. Writes go through the thread pool one after another, since
 * a write to a full pipe would block the event loop.
 */
export function createLineWriter({
  linesPerSecond = 400,
  maxPendingBytes = 256 * 1024,
  flushMs = 100,
  fd = 1,
}: LineWriterOptions = {}): LineWriter {
  let pending = '';
  let dropped = 0;
  let allowance = linesPerSecond;
  let refilledAtMs = performance.now();
  let timer: NodeJS.Timeout | undefined;
  let writing: Promise<void> | undefined;

  const writeOut = (): Promise<void> => {
    const text = pending;
    pending = '';
    return new Promise(resolve => {
      write(fd, text, () => {
        writing = undefined;
        resolve();
        if (pending !== '') schedule();
      });
    });
  };
  const flushNow = () => {
    timer = undefined;
    if (writing !== undefined || pending === '') return;
    writing = writeOut();
  };
  const schedule = () => {
    timer ??= setTimeout(flushNow, flushMs);
  };
  const hasAllowance = () => {
    const nowMs = performance.now();
    const refill = ((nowMs - refilledAtMs) / 1_000) * linesPerSecond;
    allowance = Math.min(linesPerSecond, allowance + refill);
    refilledAtMs = nowMs;
    if (allowance < 1) return false;
    allowance -= 1;
    return true;
  };
  return {
    write: line => {
      if (pending.length > maxPendingBytes || !hasAllowance()) {
        dropped += 1;
        return;
      }
      if (dropped > 0) {
        pending += `event=log_lines_dropped count=${dropped}\n`;
        dropped = 0;
      }
      pending += `${line}\n`;
      schedule();
    },
    flush: async () => {
      clearTimeout(timer);
      timer = undefined;
      await writing;
      if (pending !== '') await writeOut();
    },
  };
}
