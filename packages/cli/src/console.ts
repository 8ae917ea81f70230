/** The terminal of the process. */
import {createInterface, type Interface} from 'node:readline';
import type {Terminal} from './terminal.js';

/** A terminal on standard input and output that can be closed. */
export interface ConsoleTerminal extends Terminal {
  close(): void;
}

/**
 * Opens the terminal of the process. Input is read only after the first
 * question. Lines are buffered, since piped input arrives before its questions.
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
