/**
 * Reads values that may not match their schema. With these functions, checks across
 * several values can run and report faults even when a schema check has failed.
 */
import type {Fault, PathSegment} from './finding.js';

/** Returns the value if it is an object, otherwise an empty object. */
export function asRecord(value: unknown): Readonly<Record<string, unknown>> {
  const isObject =
    typeof value === 'object' && value !== null && !Array.isArray(value);
  return isObject ? (value as Record<string, unknown>) : {};
}

/** Returns the value if it is a list, otherwise an empty list. */
export function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Returns the strings in a list; empty for any other value. */
export function stringItems(value: unknown): readonly string[] {
  return asList(value).filter(member => typeof member === 'string');
}

/** Returns the strings that the members of a list have under one key. */
export function stringsAtKey(list: unknown, key: string): readonly string[] {
  return stringItems(asList(list).map(member => asRecord(member)[key]));
}

/**
 * Returns a fault for each repeated string of a list, or with `key`, for each
 * repeated value of that key in a list of objects.
 */
export function duplicateFaults(
  list: unknown,
  path: readonly PathSegment[],
  key?: string,
): readonly Fault[] {
  const seen = new Set<unknown>();
  const faults: Fault[] = [];
  asList(list).forEach((member, index) => {
    const value = key === undefined ? member : asRecord(member)[key];
    if (typeof value !== 'string') return;
    if (seen.has(value)) {
      const valuePath = key === undefined ? [index] : [index, key];
      const message = `duplicate ${key ?? 'value'} "${value}"`;
      faults.push({path: [...path, ...valuePath], message});
    }
    seen.add(value);
  });
  return faults;
}

/** Returns a fault for each string in a list that is not in `knownNames`. */
export function unknownNameFaults(
  list: unknown,
  path: readonly PathSegment[],
  knownNames: ReadonlySet<string>,
  kind: string,
): readonly Fault[] {
  return asList(list).flatMap((member, index) =>
    typeof member === 'string' && !knownNames.has(member)
      ? [{path: [...path, index], message: `unknown ${kind} "${member}"`}]
      : [],
  );
}
