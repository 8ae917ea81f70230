/** Parses JSON with comments and locates faults in its text. */
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

/** Maximum nesting depth; limited because the parser is recursive. */
const MAX_DEPTH = 32;

const QUOTE_CODE = 0x22;
const COLON_CODE = 0x3a;
const BACKSLASH_CODE = 0x5c;

/** A parsed document. */
export interface Document {
  readonly file: string;
  /** Undefined when the text has syntax faults or is nested too deeply. */
  readonly value: unknown;
  /** Findings on syntax, nesting depth, repeated keys and `__proto__` keys. */
  readonly findings: readonly Finding[];
  /** Resolves the position of a fault, or of the nearest enclosing value that exists. */
  locate(fault: Fault): Finding;
}

/**
 * Parses text into a syntax tree. Accepts comments and trailing commas, and returns
 * faults as findings.
 */
function parseWithTree(text: string, file: string): Document {
  const findingAt = findingBuilder(text, file);
  const tooDeepOffset = offsetBeyondMaxDepth(text);
  if (tooDeepOffset !== undefined) {
    const message = `nesting is deeper than ${MAX_DEPTH}`;
    return invalidDocument(file, [findingAt(tooDeepOffset, [], message)]);
  }
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, {allowTrailingComma: true});
  if (errors.length > 0 || tree === undefined) {
    const findings = errors.map(error =>
      findingAt(error.offset, [], `syntax: ${describeError(error)}`),
    );
    return invalidDocument(
      file,
      findings.length > 0 ? findings : [findingAt(0, [], 'syntax: empty text')],
    );
  }
  const keyFaults: Fault[] = [];
  const value = nodeValue(tree, [], keyFaults);
  const locate = (fault: Fault) =>
    findingAt(faultOffset(tree, fault), fault.path, fault.message);
  return {file, value, findings: keyFaults.map(locate), locate};
}

/**
 * Counts the keys of a value and all nested values. Returns undefined for too deep
 * nesting and for `__proto__` keys, which the tree parser reports as faults.
 */
function countKeys(value: unknown, depth = 0): number | undefined {
  if (typeof value !== 'object' || value === null) return 0;
  if (depth > MAX_DEPTH) return undefined;
  const isList = Array.isArray(value);
  let total = 0;
  for (const [key, member] of Object.entries(value)) {
    if (key === '__proto__') return undefined;
    const nestedKeys = countKeys(member, depth + 1);
    if (nestedKeys === undefined) return undefined;
    total += nestedKeys + (isList ? 0 : 1);
  }
  return total;
}

/** Counts the colons outside strings in valid JSON: one for each key in the text. */
function countColons(text: string): number {
  let total = 0;
  let inString = false;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE_CODE) inString = !inString;
    else if (code === BACKSLASH_CODE) index += 1;
    else if (code === COLON_CODE && !inString) total += 1;
  }
  return total;
}

/**
 * Returns the value of strict JSON without repeated keys; undefined for any other
 * text. `JSON.parse` drops repeated keys, so its value has fewer keys than the
 * text has colons outside strings.
 */
function parseStrictJSON(text: string): unknown {
  try {
    const value: unknown = JSON.parse(text);
    return countKeys(value) === countColons(text) ? value : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Parses JSON with comments and trailing commas. Never throws. Text with a syntax
 * fault has no value, because findings about a partial value would be misleading.
 *
 * Strict JSON is parsed without a syntax tree, which is built only when a fault
 * has to be located: parsing 150,000 adapters with the tree took 3.5 s, and a
 * process that is busy for more than 1 s counts as paused.
 */
export function parseDocument(text: string, file: string): Document {
  const value = parseStrictJSON(text);
  if (value === undefined) return parseWithTree(text, file);
  let treeDocument: Document | undefined;
  const locate = (fault: Fault) => {
    treeDocument ??= parseWithTree(text, file);
    return treeDocument.locate(fault);
  };
  return {file, value, findings: [], locate};
}

/** Returns whether the last key of a path is absent from an existing object. */
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
 * Converts the issues of a schema to faults, one for each unknown key. For a value
 * that matches no member of a union, reports the member with the fewest issues.
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
        isAtKey: true,
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

function invalidDocument(file: string, findings: readonly Finding[]): Document {
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

/** Returns a function that creates a finding from an offset in the text. */
function findingBuilder(text: string, file: string) {
  const lineStarts = [0];
  for (
    let newline = text.indexOf('\n');
    newline >= 0;
    newline = text.indexOf('\n', newline + 1)
  ) {
    lineStarts.push(newline + 1);
  }
  return (
    offset: number,
    path: readonly PathSegment[],
    message: string,
  ): Finding => {
    let low = 0;
    let high = lineStarts.length;
    while (high - low > 1) {
      const middle = (low + high) >> 1;
      if (lineStarts[middle]! <= offset) low = middle;
      else high = middle;
    }
    return {
      file,
      line: low + 1,
      column: offset - lineStarts[low]! + 1,
      path: formatPath(path),
      message,
    };
  };
}

function offsetBeyondMaxDepth(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (;;) {
    scanner.scan();
    const offset = scanner.getTokenOffset();
    if (offset >= text.length) return undefined;
    const firstCharacter = text.charAt(offset);
    if (firstCharacter === '{' || firstCharacter === '[') depth += 1;
    if (firstCharacter === '}' || firstCharacter === ']') depth -= 1;
    if (depth > MAX_DEPTH) return offset;
  }
}

/** Converts an error code such as `PropertyNameExpected` to `property name expected`. */
function describeError(error: ParseError): string {
  return printParseErrorCode(error.error)
    .replace(/([a-z])([A-Z])/g, '$1 $2')
    .toLowerCase();
}

/**
 * Returns the value of a node. A repeated key is a fault, because parsers differ
 * in which of the values they use. So is `__proto__`, which would set the
 * prototype.
 */
function nodeValue(
  node: Node,
  path: readonly PathSegment[],
  faults: Fault[],
): unknown {
  if (node.type === 'array') {
    return (node.children ?? []).map((child, index) =>
      nodeValue(child, [...path, index], faults),
    );
  }
  if (node.type !== 'object') return node.value;
  const entries = new Map<string, unknown>();
  for (const property of node.children ?? []) {
    const [key, value] = property.children ?? [];
    if (key === undefined || value === undefined) continue;
    const keyName = String(key.value);
    const valuePath = [...path, keyName];
    if (keyName === '__proto__') {
      faults.push({path: valuePath, message: 'unknown key', isAtKey: true});
    } else if (entries.has(keyName)) {
      faults.push({path: valuePath, message: 'key is repeated', isAtKey: true});
    } else {
      entries.set(keyName, nodeValue(value, valuePath, faults));
    }
  }
  return Object.fromEntries(entries);
}

function faultOffset(tree: Node, {path, isAtKey}: Fault): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node === undefined) continue;
    const isKeyOffset = isAtKey && length === path.length;
    return isKeyOffset ? (node.parent?.offset ?? node.offset) : node.offset;
  }
  return tree.offset;
}

/** Returns the keys of the outermost object, even of text with syntax faults. */
export function topLevelKeys(text: string): ReadonlySet<string> {
  const scanner = createScanner(text, true);
  const keys = new Set<string>();
  let depth = 0;
  let previousToken = '';
  for (;;) {
    scanner.scan();
    const offset = scanner.getTokenOffset();
    if (offset >= text.length) return keys;
    const firstCharacter = text.charAt(offset);
    if (firstCharacter === '{' || firstCharacter === '[') depth += 1;
    if (firstCharacter === '}' || firstCharacter === ']') depth -= 1;
    if (firstCharacter === ':' && depth === 1) keys.add(previousToken);
    previousToken = scanner.getTokenValue();
  }
}
