/** Terminal interface of commands, and text formatting. */

/** Input and output of a command. */
export interface Terminal {
  /** Prints a line of the result to standard output. */
  out(line: string): void;
  /** Prints an error or progress line to standard error. */
  err(line: string): void;
  /** Prints a question and reads one line; undefined at the end of the input. */
  ask(question: string): Promise<string | undefined>;
}

/** Aligns rows in columns separated by two spaces. */
export function formatTable(
  rows: readonly (readonly string[])[],
): readonly string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  return rows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

/** Formats a duration such as `850 ms`, `12 s`, `3 min 20 s` or `2 h 5 min`. */
export function formatDuration(ms: number): string {
  if (ms < 1_000) return `${Math.round(ms)} ms`;
  const seconds = Math.floor(ms / 1_000);
  if (seconds < 60) return `${seconds} s`;
  const minutes = Math.floor(seconds / 60);
  if (minutes < 60) return `${minutes} min ${seconds % 60} s`;
  return `${Math.floor(minutes / 60)} h ${minutes % 60} min`;
}

/** Formats a count with its noun: `1 node`, `3 nodes`. */
export function pluralize(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}
