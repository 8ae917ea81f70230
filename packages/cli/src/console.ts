/** Terminal on the standard streams of the process. */
import {createInterface, type Interface} from 'node:readline';
import type {Terminal} from './terminal.js';

/** A terminal to close at the end, because reading standard input keeps the process running. */
export interface ConsoleTerminal extends Terminal {
  close(): void;
}

/**
 * Opens a terminal on the standard streams. Starts reading input at the first
 * question. Buffers input lines, because piped input arrives before the questions.
 */
export function consoleTerminal(): ConsoleTerminal {
  let reader: Interface | undefined;
  let lines: AsyncIterator<string> | undefined;
  return {
    out: line => console.log(line),
    err: line => console.error(line),
    async ask(question) {
      reader ??= createInterface({input: process.stdin});
      lines ??= reader[Symbol.asyncIterator]();
      process.stdout.write(question);
      const next = await lines.next();
      return next.done ? undefined : next.value;
    },
    close: () => reader?.close(),
  };
}
