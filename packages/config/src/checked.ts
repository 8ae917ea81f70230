/** Checks a document against its schema and additional rules. */
import type {z} from 'zod';
import {schemaFaults, type Document} from './document.js';
import type {Fault, Finding} from './finding.js';

/** Result of checking a document. */
export interface DocumentCheck<T> {
  /** Absent when the document does not match its schema. */
  readonly content?: T;
  readonly findings: readonly Finding[];
}

/** Checks a document against a schema and adds the result of `extraFaults`. */
export function checkDocument<T>(
  document: Document,
  schema: z.ZodType<T>,
  extraFaults: (value: unknown) => readonly Fault[] = () => [],
): DocumentCheck<T> {
  if (document.value === undefined) return {findings: document.findings};
  const parsed = schema.safeParse(document.value);
  const faults = [
    ...(parsed.success ? [] : schemaFaults(document.value, parsed.error)),
    ...extraFaults(document.value),
  ];
  return {
    content: parsed.data,
    findings: [...document.findings, ...faults.map(document.locate)],
  };
}
