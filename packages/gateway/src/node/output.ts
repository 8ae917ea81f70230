/**
 * Writer of log lines to standard output that limits their volume and never
 * blocks on a slow reader.
 */
import {write} from 'node:fs';

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
  /** Maximum number of lines per second; further lines are dropped and counted. */
  readonly linesPerSecond?: number;
  /**
   * Length of the text waiting to be written above which lines are dropped and
   * counted, in UTF-16 code units.
   */
  readonly maxPendingBytes?: number;
  /** Time for which lines are collected into one write, in milliseconds. */
  readonly flushMs?: number;
  /** File descriptor to write to; standard output by default. */
  readonly fd?: number;
}

/** Writer of log lines. */
export interface LineWriter {
  readonly write: (line: string) => void;
  /** Writes the remaining lines; resolves when the write has completed or failed. */
  readonly flush: () => Promise<void>;
}

/**
 * Creates a writer. Writes run one at a time in the thread pool, because a
 * synchronous write to a full pipe would block the event loop.
 */
export function createLineWriter({
  linesPerSecond = 400,
  maxPendingBytes = 256 * 1024,
  flushMs = 100,
  fd = 1,
}: LineWriterOptions = {}): LineWriter {
  let pending = '';
  let droppedLines = 0;
  let allowance = linesPerSecond;
  let refilledAtMs = performance.now();
  let timer: NodeJS.Timeout | undefined;
  let currentWrite: Promise<void> | undefined;

  const writePending = (): Promise<void> => {
    const text = pending;
    pending = '';
    return new Promise(resolve => {
      write(fd, text, () => {
        currentWrite = undefined;
        resolve();
        if (pending !== '') schedule();
      });
    });
  };
  const startWrite = () => {
    timer = undefined;
    if (currentWrite !== undefined || pending === '') return;
    currentWrite = writePending();
  };
  const schedule = () => {
    timer ??= setTimeout(startWrite, flushMs);
  };
  const takeAllowance = () => {
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
      if (pending.length > maxPendingBytes || !takeAllowance()) {
        droppedLines += 1;
        return;
      }
      if (droppedLines > 0) {
        pending += `event=log_lines_dropped count=${droppedLines}\n`;
        droppedLines = 0;
      }
      pending += `${line}\n`;
      schedule();
    },
    flush: async () => {
      clearTimeout(timer);
      timer = undefined;
      await currentWrite;
      if (pending !== '') await writePending();
    },
  };
}
