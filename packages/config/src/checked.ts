/** Checks one document against its schema and against further rules. */
import type {z} from 'zod';
import {schemaFaults, type Document} from './document.js';
import type {Fault, Finding} from './finding.js';

/** A document's content, absent when it does not match its schema. */
export interface Checked<T> {
  readonly content?: T;
  readonly findings: readonly Finding[];
}

/** Checks a document against a schema and further faults. */
export function check<T>(
  document: Document,
  schema: z.ZodType<T>,
  further: (value: unknown) => readonly Fault[] = () => [],
): Checked<T> {
  if (document.value === undefined) return {findings: document.findings};
  const parsed = schema.safeParse(document.value);
  const faults = [
    ...(parsed.success ? [] : schemaFaults(document.value, parsed.error)),
    ...further(document.value),
  ];
  return {
    content: parsed.data,
    findings: [...document.findings, ...faults.map(document.locate)],
  };
}
