/** Parses and checks a questionnaire. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {parseDocument, schemaFaults} from './document.js';
import {baseText} from './generate.js';
import {sortFindings, type Fault, type Finding} from './finding.js';
import {duplicateFaults, asList, asRecord, stringsAtKey} from './loose.js';
import {VALUE_MAX_BYTES, contentHash} from './published.js';
import {
  adapterFaults,
  baseModelsOf,
  callerFaults,
  serviceFaults,
} from './rules.js';
import {
  callerFields,
  countSchema,
  nameSchema,
  nonEmptyList,
  nonNegativeNumberSchema,
  positiveNumberSchema,
  revisionSchema,
  serviceSchema,
  sha256Schema,
  versionsSchema,
  weightStoreSchema,
} from './schema.js';
import {
  PRIORITY,
  adapterNames,
  type AdapterPattern,
  type Questionnaire,
  type SingleAdapter,
} from './questionnaire.js';

/** Maximum number of adapters in a deployment: 1,000 shards of 1,000 adapters. */
const MAX_ADAPTERS = 1_000_000;

const adapterFields = {
  group: nameSchema,
  baseModel: nameSchema.optional(),
  versions: versionsSchema,
  current: nameSchema.optional(),
};

const singleAdapterSchema = z.strictObject({
  name: nameSchema,
  ...adapterFields,
});

const adapterPatternSchema = z.strictObject({
  prefix: nameSchema,
  count: countSchema.max(MAX_ADAPTERS, {
    error: `must be at most ${MAX_ADAPTERS}`,
  }),
  ...adapterFields,
});

const KEY_RULE = 'must be 8 to 200 printable characters without spaces';

const questionnaireSchema = z.strictObject({
  deployment: nameSchema,
  revision: revisionSchema.default(1),
  failureDomains: nonEmptyList(nameSchema),
  entries: countSchema,
  services: nonEmptyList(serviceSchema),
  adapters: z
    .array(z.union([singleAdapterSchema, adapterPatternSchema]), {
      error: 'must be a list',
    })
    .default([]),
  callers: z
    .array(
      z.strictObject({
        ...callerFields,
        key: z
          .string({error: KEY_RULE})
          .regex(/^[\x21-\x7e]{8,200}$/, {error: KEY_RULE})
          .optional(),
        keySha256: sha256Schema.optional(),
      }),
      {error: 'must be a list'},
    )
    .default([]),
  weightStore: weightStoreSchema,
  tolerances: z.strictObject({
    priority: z.enum(PRIORITY, {
      error: `must be one of ${Object.values(PRIORITY).join(', ')}`,
    }),
    stallWeight: positiveNumberSchema.optional(),
    batchWaitMs: nonNegativeNumberSchema.optional(),
  }),
});

/** Checks that each caller has exactly one key, and that no two share a key. */
function callerKeyFaults(callers: unknown): readonly Fault[] {
  const allHashes = new Set<string>();
  const plaintextKeyHashes = new Set<string>();
  return asList(callers).flatMap((member, index) => {
    const {key, keySha256} = asRecord(member);
    const path = ['callers', index];
    if ((key === undefined) === (keySha256 === undefined)) {
      return [{path, message: 'needs exactly one of key and keySha256'}];
    }
    const hash = typeof key === 'string' ? contentHash(key) : keySha256;
    if (typeof hash !== 'string') return [];
    // `callerFaults` reports two equal values of `keySha256`, so `keySha256` is
    // compared only with plaintext keys here.
    const isPlaintext = typeof key === 'string';
    const isRepeated = (isPlaintext ? allHashes : plaintextKeyHashes).has(hash);
    allHashes.add(hash);
    if (isPlaintext) plaintextKeyHashes.add(hash);
    const keyPath = [...path, isPlaintext ? 'key' : 'keySha256'];
    return isRepeated
      ? [{path: keyPath, message: 'another caller has the same key'}]
      : [];
  });
}

/**
 * Checks that the limit of each caller is at least the number of entries, because
 * each entry grants a caller at least one request per second (design, section
 * 5.10).
 */
function callerRateFaults(
  callers: unknown,
  entries: unknown,
): readonly Fault[] {
  if (typeof entries !== 'number') return [];
  return asList(callers).flatMap((member, index) => {
    const rate = asRecord(member).requestsPerSecond;
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
  return asList(adapters).flatMap((member, index) => {
    const path = ['adapters', index];
    const needsModel =
      asRecord(member).baseModel === undefined && models.size > 1;
    const message = 'baseModel is needed, as services run several base models';
    return [
      ...adapterFaults(member, path, models),
      ...(needsModel ? [{path, message}] : []),
    ];
  });
}

function crossFieldFaults(value: unknown): readonly Fault[] {
  const {failureDomains, services, adapters, callers, entries} =
    asRecord(value);
  const groups = new Set(stringsAtKey(adapters, 'group'));
  return [
    ...duplicateFaults(failureDomains, ['failureDomains']),
    ...serviceFaults(services),
    ...adapterAnswerFaults(adapters, services),
    ...callerFaults(callers, services, groups),
    ...callerKeyFaults(callers),
    ...callerRateFaults(callers, entries),
  ];
}

/** Checks that the adapter names of all answers are valid, unique and not too many. */
function adapterNameFaults(
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
    const invalid = names.find(
      adapter => !nameSchema.safeParse(adapter).success,
    );
    return [
      ...(repeated ? [{path, message: `duplicate adapter "${repeated}"`}] : []),
      ...(invalid ? [{path, message: `name "${invalid}" is too long`}] : []),
    ];
  });
}

/**
 * Parses and checks a questionnaire. Defaults: `revision` is 1, `adapters` and
 * `callers` are empty, `groups` and `services` of a caller are empty, `queueLimit`
 * is 64, `baseModel` is that of the only model service, and `current` is the last
 * version.
 */
export function parseQuestionnaire(
  text: string,
  file: string,
): Result<Questionnaire, readonly Finding[]> {
  const document = parseDocument(text, file);
  if (document.value === undefined) return Err(document.findings);
  const parsed = questionnaireSchema.safeParse(document.value);
  const faults = [
    ...(parsed.success
      ? adapterNameFaults(parsed.data.adapters)
      : schemaFaults(document.value, parsed.error)),
    ...crossFieldFaults(document.value),
  ];
  const findings = [...document.findings, ...faults.map(document.locate)];
  if (findings.length > 0 || !parsed.success) {
    return Err(sortFindings(findings));
  }
  return checkBaseValueSize(parsed.data, document.locate);
}

/** Checks the size of the base value, which holds all callers and services. */
function checkBaseValueSize(
  questionnaire: Questionnaire,
  locate: (fault: Fault) => Finding,
): Result<Questionnaire, readonly Finding[]> {
  const bytes = Buffer.byteLength(baseText(questionnaire));
  if (bytes <= VALUE_MAX_BYTES) return Ok(questionnaire);
  const message = `callers and services need ${bytes} bytes; at most ${VALUE_MAX_BYTES} fit into one value`;
  return Err([locate({path: ['callers'], message})]);
}
