/** Assembles and checks a configuration from its manifest and values. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {checkDocument} from './checked.js';
import type {Adapter, Configuration} from './configuration.js';
import {parseDocument, type Document} from './document.js';
import {sortFindings, type Fault, type Finding} from './finding.js';
import {duplicateFaults, asList, asRecord, stringsAtKey} from './loose.js';
import {
  BASE_VALUE,
  SHARD_NAME_PATTERN,
  VALUE_MAX_BYTES,
  contentHash,
  publishedName,
} from './published.js';
import {baseModelsOf, callerFaults, serviceFaults} from './rules.js';
import {
  callerFields,
  nameSchema,
  nonEmptyList,
  nonNegativeNumberSchema,
  positiveNumberSchema,
  revisionSchema,
  serviceSchema,
  sha256Schema,
  weightStoreSchema,
} from './schema.js';
import {
  knownGroups,
  parseShard,
  crossShardDuplicates,
  type Shard,
} from './shard.js';

/** File name of the manifest in a configuration folder. */
const MANIFEST_FILE = 'manifest.json';

const VALUE_NAME_RULE = `must be "${BASE_VALUE}" or "adapters-" and 3 to 6 digits`;

const manifestSchema = z.strictObject({
  deployment: nameSchema,
  revision: revisionSchema,
  values: nonEmptyList(
    z.strictObject({
      name: z
        .string({error: VALUE_NAME_RULE})
        .refine(text => text === BASE_VALUE || SHARD_NAME_PATTERN.test(text), {
          error: VALUE_NAME_RULE,
        }),
      sha256: sha256Schema,
    }),
  ),
});

const baseSchema = z.strictObject({
  failureDomains: nonEmptyList(nameSchema),
  services: nonEmptyList(serviceSchema),
  callers: z.array(z.strictObject({...callerFields, keySha256: sha256Schema}), {
    error: 'must be a list',
  }),
  tolerances: z.strictObject({
    stallWeight: positiveNumberSchema,
    batchWaitMs: nonNegativeNumberSchema,
  }),
  weightStore: weightStoreSchema,
});

/** Creates a finding about the manifest as a whole. */
function manifestFinding(message: string): Finding {
  return {file: MANIFEST_FILE, line: 1, column: 1, path: '', message};
}

/** A value that the manifest lists and whose text was supplied. */
interface ListedValue {
  readonly name: string;
  /** Name and hash of the actual content. */
  readonly cacheKey: string;
  readonly file: string;
  readonly text: string;
}

/** Checked shards of each configuration, which the next revision reuses. */
const SHARDS_BY_CONFIGURATION = new WeakMap<
  Configuration,
  ReadonlyMap<string, Shard>
>();

/**
 * Returns the values that the manifest lists and whose texts were supplied, with
 * faults for those that are missing, too large or do not match their hash.
 */
function listedValues(
  manifest: Document,
  values: ReadonlyMap<string, string>,
): {readonly listed: readonly ListedValue[]; readonly faults: Fault[]} {
  const listed: ListedValue[] = [];
  const faults: Fault[] = [];
  asList(asRecord(manifest.value).values).forEach((member, index) => {
    const {name: valueName, sha256: hash} = asRecord(member);
    if (typeof valueName !== 'string' || typeof hash !== 'string') return;
    const path = ['values', index];
    const publishedValueName = publishedName(valueName, hash);
    const text = values.get(publishedValueName);
    if (text === undefined) {
      faults.push({path, message: `value ${publishedValueName} is missing`});
      return;
    }
    const bytes = Buffer.byteLength(text);
    if (bytes > VALUE_MAX_BYTES) {
      const message = `value has ${bytes} bytes; at most ${VALUE_MAX_BYTES} are allowed`;
      faults.push({path, message});
      return;
    }
    const actual = contentHash(text);
    if (actual !== hash) {
      const message = `content of ${publishedValueName} has another hash`;
      faults.push({path: [...path, 'sha256'], message});
    }
    const file = `values/${publishedValueName}.json`;
    listed.push({
      name: valueName,
      cacheKey: `${valueName} ${actual}`,
      file,
      text,
    });
  });
  return {listed, faults};
}

/** Counts the shards that the manifest lists. */
function countListedShards(manifest: Document): number {
  const names = stringsAtKey(asRecord(manifest.value).values, 'name');
  return names.filter(valueName => valueName !== BASE_VALUE).length;
}

/**
 * Checks the shards. Reuses a shard of the previous configuration if its content
 * is the same and its base models still exist: a revision seldom changes more
 * than one of 150 shards, and a process that is busy for more than 1 s counts as
 * paused.
 */
function checkShards(
  listed: readonly ListedValue[],
  baseModels: ReadonlySet<string> | undefined,
  previous: Configuration | undefined,
): ReadonlyMap<string, Shard> {
  const previousShards = previous && SHARDS_BY_CONFIGURATION.get(previous);
  const shards = new Map<string, Shard>();
  for (const {name: valueName, cacheKey, file, text} of listed) {
    if (valueName === BASE_VALUE) continue;
    const cachedShard = previousShards?.get(cacheKey);
    const isReusable =
      cachedShard !== undefined &&
      [...cachedShard.baseModels].every(model => baseModels?.has(model));
    shards.set(
      cacheKey,
      isReusable ? cachedShard : parseShard(text, file, baseModels),
    );
  }
  return shards;
}

function baseFaults(
  value: unknown,
  groups: ReadonlySet<string> | undefined,
): readonly Fault[] {
  const {failureDomains, services, callers} = asRecord(value);
  return [
    ...duplicateFaults(failureDomains, ['failureDomains']),
    ...serviceFaults(services),
    ...callerFaults(callers, services, groups),
  ];
}

/** Checks the manifest: it must list the base value, and no value twice. */
function checkManifest(document: Document, valueFaults: readonly Fault[]) {
  return checkDocument(document, manifestSchema, value => {
    const {values} = asRecord(value);
    const hasBase = stringsAtKey(values, 'name').includes(BASE_VALUE);
    const message = `value "${BASE_VALUE}" is not listed`;
    return [
      ...(hasBase ? [] : [{path: ['values'], message}]),
      ...duplicateFaults(values, ['values'], 'name'),
      ...valueFaults,
    ];
  });
}

/**
 * Assembles and checks a configuration. `values` maps published names to texts;
 * values that the manifest does not list are ignored, because those of the
 * previous revision stay readable. Any finding rejects the whole configuration.
 * Findings name files by their path in a configuration folder. Shards that are
 * unchanged since the `previous` configuration are not parsed again.
 */
export function assembleConfiguration(
  manifest: string,
  values: ReadonlyMap<string, string>,
  previous?: Configuration,
): Result<Configuration, readonly Finding[]> {
  if (Buffer.byteLength(manifest) > VALUE_MAX_BYTES) {
    const message = `manifest is larger than ${VALUE_MAX_BYTES} bytes`;
    return Err([manifestFinding(message)]);
  }
  const document = parseDocument(manifest, MANIFEST_FILE);
  const {listed, faults} = listedValues(document, values);
  const manifestCheck = checkManifest(document, faults);
  const listedBase = listed.find(value => value.name === BASE_VALUE);
  const base = listedBase && parseDocument(listedBase.text, listedBase.file);
  const services = asRecord(base?.value).services;
  const baseModels = services ? baseModelsOf(services) : undefined;
  const shardsByKey = checkShards(listed, baseModels, previous);
  const shards = [...shardsByKey.values()];
  const groups = knownGroups(shards, countListedShards(document));
  const baseCheck = base
    ? checkDocument(base, baseSchema, value => baseFaults(value, groups))
    : {findings: []};
  const findings = [
    ...manifestCheck.findings,
    ...baseCheck.findings,
    ...shards.flatMap(shard => shard.findings),
    ...crossShardDuplicates(shards),
  ];
  if (findings.length > 0 || !manifestCheck.content || !baseCheck.content) {
    return Err(sortFindings(findings));
  }
  const {deployment, revision} = manifestCheck.content;
  const adapters = new Map<string, Adapter>();
  for (const shard of shards) {
    shard.adapters.forEach(adapter => adapters.set(adapter.name, adapter));
  }
  const configuration = {deployment, revision, ...baseCheck.content, adapters};
  SHARDS_BY_CONFIGURATION.set(configuration, shardsByKey);
  return Ok(configuration);
}

/**
 * Assembles the configuration of a folder. `texts` maps the paths of files in the
 * folder, `manifest.json` and `values/{published name}.json`, to their contents.
 */
export function assembleConfigurationFolder(
  texts: ReadonlyMap<string, string>,
): Result<Configuration, readonly Finding[]> {
  const manifest = texts.get(MANIFEST_FILE);
  if (manifest === undefined) {
    return Err([manifestFinding(`${MANIFEST_FILE} is missing`)]);
  }
  const values = new Map<string, string>();
  for (const [path, text] of texts) {
    const match = /^values\/([^/]+)\.json$/.exec(path);
    if (match?.[1] !== undefined) values.set(match[1], text);
  }
  return assembleConfiguration(manifest, values);
}
