/** Findings: what is wrong in a text and where. */

/** Segment of a path into a document: a key or an index. */
export type PathSegment = string | number;

/** One fault in a text, with its place. */
export interface Finding {
  readonly file: string;
  /** Line, from 1. */
  readonly line: number;
  /** Column in UTF-16 units, from 1. */
  readonly column: number;
  /** Path of the value, such as `services[0].name`; empty for the document. */
  readonly path: string;
  readonly message: string;
}

/** A fault whose line and column have not been looked up yet. */
export interface Fault {
  readonly path: readonly PathSegment[];
  readonly message: string;
  /** True when the fault is the key at the end of `path`, not its value. */
  readonly atKey?: boolean;
}

/** Writes a path as `services[0].name`. */
export function formatPath(path: readonly PathSegment[]): string {
  return path
    .map((segment, index) =>
      typeof segment === 'number'
        ? `[${segment}]`
        : `${index === 0 ? '' : '.'}${segment}`,
    )
    .join('');
}

/** One line for operators: `file:line:column: path: message`. */
export function formatFinding(finding: Finding): string {
  const {file, line, column, path, message} = finding;
  const place = `${file}:${line}:${column}`;
  return path === '' ? `${place}: ${message}` : `${place}: ${path}: ${message}`;
}

/** Orders findings by file and place. */
export function sortFindings(findings: readonly Finding[]): readonly Finding[] {
  return [...findings].sort(
    (a, b) =>
      compareText(a.file, b.file) || a.line - b.line || a.column - b.column,
  );
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
