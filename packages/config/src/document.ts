/** A text of JSON with comments, its value, and the places of its parts. */
import {
  createScanner,
  findNodeAtLocation,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import {
  formatPath,
  type Fault,
  type Finding,
  type PathSegment,
} from './finding.js';

/** Deepest nesting that is parsed; the parser is recursive. */
const MAX_DEPTH = 32;

const QUOTE = 0x22;
const COLON = 0x3a;
const BACKSLASH = 0x5c;

/** A parsed text. */
export interface Document {
  readonly file: string;
  /** Undefined when the text has syntax faults. */
  readonly value: unknown;
  /** Faults of syntax, and repeated keys. */
  readonly findings: readonly Finding[];
  /** Looks up the place of a fault, or of its nearest part that exists. */
  locate(fault: Fault): Finding;
}

/** Parses text that may have comments, trailing commas and faults. */
function parseSlowly(text: string, file: string): Document {
  const place = placesOf(text, file);
  const tooDeep = offsetBeyondDepth(text);
  if (tooDeep !== undefined) {
    const message = `nesting is deeper than ${MAX_DEPTH}`;
    return withoutValue(file, [place(tooDeep, [], message)]);
  }
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, {allowTrailingComma: true});
  if (errors.length > 0 || tree === undefined) {
    const findings = errors.map(error =>
      place(error.offset, [], `syntax: ${describeError(error)}`),
    );
    return withoutValue(
      file,
      findings.length > 0 ? findings : [place(0, [], 'syntax: empty text')],
    );
  }
  const keyFaults: Fault[] = [];
  const value = valueOf(tree, [], keyFaults);
  const locate = (fault: Fault) =>
    place(offsetOf(tree, fault), fault.path, fault.message);
  return {file, value, findings: keyFaults.map(locate), locate};
}

/** Number of keys in a value; undefined when it needs the slow parser's checks. */
function countKeys(value: unknown, depth = 0): number | undefined {
  if (typeof value !== 'object' || value === null) return 0;
  if (depth > MAX_DEPTH) return undefined;
  const isList = Array.isArray(value);
  let total = 0;
  for (const [key, member] of Object.entries(value)) {
    if (key === '__proto__') return undefined;
    const inside = countKeys(member, depth + 1);
    if (inside === undefined) return undefined;
    total += inside + (isList ? 0 : 1);
  }
  return total;
}

/** Number of colons outside strings in valid JSON: one for each key written. */
function countColons(text: string): number {
  let total = 0;
  let inString = false;
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (code === QUOTE) inString = !inString;
    else if (code === BACKSLASH) at += 1;
    else if (code === COLON && !inString) total += 1;
  }
  return total;
}

/** Value of strict JSON without repeated keys; undefined for any other text. */
function fastValue(text: string): unknown {
  try {
    const value: unknown = JSON.parse(text);
    return countKeys(value) === countColons(text) ? value : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Parses JSON with comments and trailing commas. Never throws. After a syntax
 * fault there is no value, because faults found in it would mislead.
 *
 * Strict JSON takes a fast path without places, which are looked up when there
 * is a fault: with the syntax tree, 150,000 adapters took 3.5 s, and a process
 * that is busy for more than 1 s counts as paused.
 */
export function parseDocument(text: string, file: string): Document {
  const value = fastValue(text);
  if (value === undefined) return parseSlowly(text, file);
  let slow: Document | undefined;
  const locate = (fault: Fault) => {
    slow ??= parseSlowly(text, file);
    return slow.locate(fault);
  };
  return {file, value, findings: [], locate};
}

/** Tells whether the last key of a path is absent from an object. */
function isMissing(value: unknown, path: readonly PathSegment[]): boolean {
  let part = value;
  for (const segment of path.slice(0, -1)) {
    if (typeof part !== 'object' || part === null) return false;
    part = (part as Record<PathSegment, unknown>)[segment];
  }
  const key = path[path.length - 1];
  const isObject = typeof part === 'object' && part !== null;
  return isObject && key !== undefined && !Object.hasOwn(part as object, key);
}

/**
 * Faults of a value against a schema; unknown keys are one fault each. A value
 * that matches no member of a union has the faults of the closest member.
 */
export function schemaFaults(
  value: unknown,
  error: Pick<z.core.$ZodError, 'issues'>,
  prefix: readonly PathSegment[] = [],
): readonly Fault[] {
  return error.issues.flatMap(issue => {
    const path = [...prefix, ...issue.path].filter(
      (segment): segment is PathSegment => typeof segment !== 'symbol',
    );
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map(key => ({
        path: [...path, key],
        message: 'unknown key',
        atKey: true,
      }));
    }
    if (issue.code === 'invalid_union' && issue.errors.length > 0) {
      const closest = issue.errors.reduce((best, member) =>
        member.length < best.length ? member : best,
      );
      return schemaFaults(value, {issues: closest}, path);
    }
    const message = isMissing(value, path)
      ? `missing, ${issue.message}`
      : issue.message;
    return [{path, message}];
  });
}

function withoutValue(file: string, findings: readonly Finding[]): Document {
  return {
    file,
    value: undefined,
    findings,
    locate: ({path, message}) => ({
      file,
      line: 1,
      column: 1,
      path: formatPath(path),
      message,
    }),
  };
}

/** Turns offsets into lines and columns. */
function placesOf(text: string, file: string) {
  const starts = [0];
  for (let at = text.indexOf('\n'); at >= 0; at = text.indexOf('\n', at + 1)) {
    starts.push(at + 1);
  }
  return (
    offset: number,
    path: readonly PathSegment[],
    message: string,
  ): Finding => {
    let low = 0;
    let high = starts.length;
    while (high - low > 1) {
      const middle = (low + high) >> 1;
      if (starts[middle]! <= offset) low = middle;
      else high = middle;
    }
    return {
      file,
      line: low + 1,
      column: offset - starts[low]! + 1,
      path: formatPath(path),
      message,
    };
  };
}

function offsetBeyondDepth(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (;;) {
    scanner.scan();
    const offset = scanner.getTokenOffset();
    if (offset >= text.length) return undefined;
    const first = text.charAt(offset);
    if (first === '{' || first === '[') depth += 1;
    if (first === '}' || first === ']') depth -= 1;
    if (depth > MAX_DEPTH) return offset;
  }
}

/** `PropertyNameExpected` becomes `property name expected`. */
function describeError(error: ParseError): string {
  return printParseErrorCode(error.error)
    .replace(/([a-z])([A-Z])/g, '$1 $2')
    .toLowerCase();
}

/**
 * Value of a node. A repeated key is a fault, since readers differ in which
 * value they take. `__proto__` is one too: it would set the prototype.
 */
function valueOf(
  node: Node,
  path: readonly PathSegment[],
  faults: Fault[],
): unknown {
  if (node.type === 'array') {
    return (node.children ?? []).map((child, index) =>
      valueOf(child, [...path, index], faults),
    );
  }
  if (node.type !== 'object') return node.value;
  const entries = new Map<string, unknown>();
  for (const property of node.children ?? []) {
    const [key, value] = property.children ?? [];
    if (key === undefined || value === undefined) continue;
    const name = String(key.value);
    const at = [...path, name];
    if (name === '__proto__') {
      faults.push({path: at, message: 'unknown key', atKey: true});
    } else if (entries.has(name)) {
      faults.push({path: at, message: 'key is repeated', atKey: true});
    } else {
      entries.set(name, valueOf(value, at, faults));
    }
  }
  return Object.fromEntries(entries);
}

function offsetOf(tree: Node, {path, atKey}: Fault): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node === undefined) continue;
    const isKey = atKey && length === path.length;
    return isKey ? (node.parent?.offset ?? node.offset) : node.offset;
  }
  return tree.offset;
}

/** Keys of the outermost object, even of a text with syntax faults. */
export function topLevelKeys(text: string): ReadonlySet<string> {
  const scanner = createScanner(text, true);
  const keys = new Set<string>();
  let depth = 0;
  let previous = '';
  for (;;) {
    scanner.scan();
    const offset = scanner.getTokenOffset();
    if (offset >= text.length) return keys;
    const first = text.charAt(offset);
    if (first === '{' || first === '[') depth += 1;
    if (first === '}' || first === ']') depth -= 1;
    if (first === ':' && depth === 1) keys.add(previous);
    previous = scanner.getTokenValue();
  }
}
