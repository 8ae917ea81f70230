/** What a command uses of the terminal. */

/** Lines to and from the operator. */
export interface Terminal {
  /** Writes a line of the result. */
  out(line: string): void;
  /** Writes a line about what went wrong or is being done. */
  err(line: string): void;
  /** Asks for one line; undefined at the end of the input. */
  ask(question: string): Promise<string | undefined>;
}

/** Lays rows out in columns that are two spaces apart. */
export function table(rows: readonly (readonly string[])[]): readonly string[] {
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

/** A duration such as `850 ms`, `12 s`, `3 min 20 s` or `2 h 5 min`. */
export function formatDuration(ms: number): string {
  if (ms < 1_000) return `${Math.round(ms)} ms`;
  const seconds = Math.floor(ms / 1_000);
  if (seconds < 60) return `${seconds} s`;
  const minutes = Math.floor(seconds / 60);
  if (minutes < 60) return `${minutes} min ${seconds % 60} s`;
  return `${Math.floor(minutes / 60)} h ${minutes % 60} min`;
}

/** A count with its noun: `1 node`, `3 nodes`. */
export function plural(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}
