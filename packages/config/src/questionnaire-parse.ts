/** Parses and checks the answers of a questionnaire. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {parseDocument, schemaFaults} from './document.js';
import {baseText} from './generate.js';
import {sortFindings, type Fault, type Finding} from './finding.js';
import {duplicateFaults, items, read, textsAt} from './loose.js';
import {VALUE_MAX_BYTES, contentHash} from './published.js';
import {
  adapterFaults,
  baseModelsOf,
  callerFaults,
  serviceFaults,
} from './rules.js';
import {
  callerKeys,
  count,
  name,
  nonEmpty,
  notNegative,
  positive,
  revision,
  service,
  sha256,
  versions,
  weightStore,
} from './schema.js';
import {
  PRIORITY,
  adapterNames,
  type AdapterPattern,
  type Questionnaire,
  type SingleAdapter,
} from './questionnaire.js';

/** Most adapters of one deployment: 1,000 values of 1,000 adapters. */
const MAX_ADAPTERS = 1_000_000;

const adapterKeys = {
  group: name,
  baseModel: name.optional(),
  versions,
  current: name.optional(),
};

const singleAdapter = z.strictObject({name, ...adapterKeys});

const adapterPattern = z.strictObject({
  prefix: name,
  count: count.max(MAX_ADAPTERS, {error: `must be at most ${MAX_ADAPTERS}`}),
  ...adapterKeys,
});

const KEY_RULE = 'must be 8 to 200 printable characters without spaces';

const schema = z.strictObject({
  deployment: name,
  revision: revision.default(1),
  failureDomains: nonEmpty(name),
  entries: count,
  services: nonEmpty(service),
  adapters: z
    .array(z.union([singleAdapter, adapterPattern]), {error: 'must be a list'})
    .default([]),
  callers: z
    .array(
      z.strictObject({
        ...callerKeys,
        key: z
          .string({error: KEY_RULE})
          .regex(/^[\x21-\x7e]{8,200}$/, {error: KEY_RULE})
          .optional(),
        keySha256: sha256.optional(),
      }),
      {error: 'must be a list'},
    )
    .default([]),
  weightStore,
  tolerances: z.strictObject({
    priority: z.enum(PRIORITY, {
      error: `must be one of ${Object.values(PRIORITY).join(', ')}`,
    }),
    stallWeight: positive.optional(),
    batchWaitMs: notNegative.optional(),
  }),
});

/** Each caller needs one key, and no two callers the same. */
function keyFaults(callers: unknown): readonly Fault[] {
  const hashes = new Set<string>();
  const plainHashes = new Set<string>();
  return items(callers).flatMap((member, index) => {
    const {key, keySha256} = read(member);
    const path = ['callers', index];
    if ((key === undefined) === (keySha256 === undefined)) {
      return [{path, message: 'needs exactly one of key and keySha256'}];
    }
    const hash = typeof key === 'string' ? contentHash(key) : keySha256;
    if (typeof hash !== 'string') return [];
    // The rules that are shared with the configuration report two equal keySha256.
    const isPlain = typeof key === 'string';
    const isRepeated = (isPlain ? hashes : plainHashes).has(hash);
    hashes.add(hash);
    if (isPlain) plainHashes.add(hash);
    const at = [...path, isPlain ? 'key' : 'keySha256'];
    return isRepeated
      ? [{path: at, message: 'another caller has the same key'}]
      : [];
  });
}

/** An entry grants a caller at least one request a second, 5.10 of the design. */
function rateFaults(callers: unknown, entries: unknown): readonly Fault[] {
  if (typeof entries !== 'number') return [];
  return items(callers).flatMap((member, index) => {
    const rate = read(member).requestsPerSecond;
    if (typeof rate !== 'number' || rate <= 0 || rate >= entries) return [];
    const message = `must be at least ${entries}: each of the ${entries} entries grants 1 request a second`;
    return [{path: ['callers', index, 'requestsPerSecond'], message}];
  });
}

function adapterAnswerFaults(
  adapters: unknown,
  services: unknown,
): readonly Fault[] {
  const models = baseModelsOf(services);
  return items(adapters).flatMap((member, index) => {
    const path = ['adapters', index];
    const needsModel = read(member).baseModel === undefined && models.size > 1;
    const message = 'baseModel is needed, as services run several base models';
    return [
      ...adapterFaults(member, path, models),
      ...(needsModel ? [{path, message}] : []),
    ];
  });
}

function crossFaults(value: unknown): readonly Fault[] {
  const {failureDomains, services, adapters, callers, entries} = read(value);
  const groups = new Set(textsAt(adapters, 'group'));
  return [
    ...duplicateFaults(failureDomains, ['failureDomains']),
    ...serviceFaults(services),
    ...adapterAnswerFaults(adapters, services),
    ...callerFaults(callers, services, groups),
    ...keyFaults(callers),
    ...rateFaults(callers, entries),
  ];
}

/** Adapter names over all answers: valid, not repeated and not too many. */
function nameFaults(
  answers: readonly (SingleAdapter | AdapterPattern)[],
): readonly Fault[] {
  const total = answers.reduce(
    (sum, answer) => sum + ('count' in answer ? answer.count : 1),
    0,
  );
  if (total > MAX_ADAPTERS) {
    const message = `${total} adapters; at most ${MAX_ADAPTERS} are allowed`;
    return [{path: ['adapters'], message}];
  }
  const seen = new Set<string>();
  return answers.flatMap((answer, index) => {
    const names = adapterNames(answer);
    const key = 'prefix' in answer ? 'prefix' : 'name';
    const path = ['adapters', index, key];
    const repeated = names.find(adapter => seen.has(adapter));
    names.forEach(adapter => seen.add(adapter));
    const invalid = names.find(adapter => !name.safeParse(adapter).success);
    return [
      ...(repeated ? [{path, message: `duplicate adapter "${repeated}"`}] : []),
      ...(invalid ? [{path, message: `name "${invalid}" is too long`}] : []),
    ];
  });
}

/**
 * Parses the answers of a questionnaire. Defaults: `revision` 1, `adapters` and
 * `callers` empty, `groups` and `services` of a caller empty, `queueLimit` 64,
 * `baseModel` that of the only model service, `current` the last version.
 */
export function parseQuestionnaire(
  text: string,
  file: string,
): Result<Questionnaire, readonly Finding[]> {
  const document = parseDocument(text, file);
  if (document.value === undefined) return Err(document.findings);
  const parsed = schema.safeParse(document.value);
  const faults = [
    ...(parsed.success
      ? nameFaults(parsed.data.adapters)
      : schemaFaults(document.value, parsed.error)),
    ...crossFaults(document.value),
  ];
  const findings = [...document.findings, ...faults.map(document.locate)];
  if (findings.length > 0 || !parsed.success) {
    return Err(sortFindings(findings));
  }
  return sizeChecked(parsed.data, document.locate);
}

/** Callers and services share one published value with a limited size. */
function sizeChecked(
  questionnaire: Questionnaire,
  locate: (fault: Fault) => Finding,
): Result<Questionnaire, readonly Finding[]> {
  const bytes = Buffer.byteLength(baseText(questionnaire));
  if (bytes <= VALUE_MAX_BYTES) return Ok(questionnaire);
  const message = `callers and services need ${bytes} bytes; at most ${VALUE_MAX_BYTES} fit into one value`;
  return Err([locate({path: ['callers'], message})]);
}
