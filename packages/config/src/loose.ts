/**
 * Reads values that may not match their schema. Checks across values use it, so
 * that they run, and report, together with the checks of each value.
 */
import type {Fault, PathSegment} from './finding.js';

/** Members of an object; none for any other value. */
export function read(value: unknown): Readonly<Record<string, unknown>> {
  const isObject =
    typeof value === 'object' && value !== null && !Array.isArray(value);
  return isObject ? (value as Record<string, unknown>) : {};
}

/** Members of a list; none for any other value. */
export function items(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Strings of a list; none for any other value. */
export function texts(value: unknown): readonly string[] {
  return items(value).filter(member => typeof member === 'string');
}

/** Values of one key over the members of a list, strings only. */
export function textsAt(list: unknown, key: string): readonly string[] {
  return texts(items(list).map(member => read(member)[key]));
}

/** Faults of values that occur before in a list; `key` absent for plain strings. */
export function duplicateFaults(
  list: unknown,
  path: readonly PathSegment[],
  key?: string,
): readonly Fault[] {
  const seen = new Set<unknown>();
  const faults: Fault[] = [];
  items(list).forEach((member, index) => {
    const value = key === undefined ? member : read(member)[key];
    if (typeof value !== 'string') return;
    if (seen.has(value)) {
      const at = key === undefined ? [index] : [index, key];
      const message = `duplicate ${key ?? 'value'} "${value}"`;
      faults.push({path: [...path, ...at], message});
    }
    seen.add(value);
  });
  return faults;
}

/** Faults of strings that are not in the set of known names. */
export function unknownFaults(
  list: unknown,
  path: readonly PathSegment[],
  known: ReadonlySet<string>,
  what: string,
): readonly Fault[] {
  return items(list).flatMap((member, index) =>
    typeof member === 'string' && !known.has(member)
      ? [{path: [...path, index], message: `unknown ${what} "${member}"`}]
      : [],
  );
}
