/** Faults in a document, and findings, which add their position. */

/** Segment of a path into a document: an object key or a list index. */
export type PathSegment = string | number;

/** A fault with its position in a file. */
export interface Finding {
  readonly file: string;
  /** Line number, from 1. */
  readonly line: number;
  /** Column in UTF-16 code units, from 1. */
  readonly column: number;
  /** Path of the value, such as `services[0].name`; empty for the whole document. */
  readonly path: string;
  readonly message: string;
}

/** A fault whose line and column have not been determined yet. */
export interface Fault {
  readonly path: readonly PathSegment[];
  readonly message: string;
  /** Whether the fault concerns the last key of `path` rather than its value. */
  readonly isAtKey?: boolean;
}

/** Formats a path, such as `services[0].name`. */
export function formatPath(path: readonly PathSegment[]): string {
  return path
    .map((segment, index) =>
      typeof segment === 'number'
        ? `[${segment}]`
        : `${index === 0 ? '' : '.'}${segment}`,
    )
    .join('');
}

/**
 * Formats a finding as `file:line:column: path: message`, or as
 * `file:line:column: message` when the path is empty.
 */
export function formatFinding(finding: Finding): string {
  const {file, line, column, path, message} = finding;
  const position = `${file}:${line}:${column}`;
  return path === ''
    ? `${position}: ${message}`
    : `${position}: ${path}: ${message}`;
}

/** Returns the findings sorted by file, line and column. */
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
