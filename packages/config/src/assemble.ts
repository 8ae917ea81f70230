/** Puts a configuration together from a manifest and its values. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {check} from './checked.js';
import type {Adapter, Configuration} from './configuration.js';
import {parseDocument, type Document} from './document.js';
import {sortFindings, type Fault, type Finding} from './finding.js';
import {duplicateFaults, items, read, textsAt} from './loose.js';
import {
  BASE_VALUE,
  SHARD_NAME,
  VALUE_MAX_BYTES,
  contentHash,
  publishedName,
} from './published.js';
import {baseModelsOf, callerFaults, serviceFaults} from './rules.js';
import {
  callerKeys,
  name,
  nonEmpty,
  notNegative,
  positive,
  revision,
  service,
  sha256,
  weightStore,
} from './schema.js';
import {
  groupsOf,
  parseShard,
  repeatedAcrossShards,
  type Shard,
} from './shard.js';

/** File of the manifest in a configuration folder. */
const MANIFEST_FILE = 'manifest.json';

const VALUE_NAME_RULE = `must be "${BASE_VALUE}" or "adapters-" and 3 to 6 digits`;

const manifestSchema = z.strictObject({
  deployment: name,
  revision,
  values: nonEmpty(
    z.strictObject({
      name: z
        .string({error: VALUE_NAME_RULE})
        .refine(text => text === BASE_VALUE || SHARD_NAME.test(text), {
          error: VALUE_NAME_RULE,
        }),
      sha256,
    }),
  ),
});

const baseSchema = z.strictObject({
  failureDomains: nonEmpty(name),
  services: nonEmpty(service),
  callers: z.array(z.strictObject({...callerKeys, keySha256: sha256}), {
    error: 'must be a list',
  }),
  tolerances: z.strictObject({
    stallWeight: positive,
    batchWaitMs: notNegative,
  }),
  weightStore,
});

/** A finding about the manifest as a whole. */
function atStart(message: string): Finding {
  return {file: MANIFEST_FILE, line: 1, column: 1, path: '', message};
}

/** A value that the manifest lists and that is present. */
interface ListedValue {
  readonly name: string;
  /** Identifies name and content. */
  readonly key: string;
  readonly file: string;
  readonly text: string;
}

/** Shards of the configurations in use, so that later ones take them over. */
const SHARDS = new WeakMap<Configuration, ReadonlyMap<string, Shard>>();

/** Values that the manifest lists and that are present, and what is wrong. */
function listedValues(
  manifest: Document,
  values: ReadonlyMap<string, string>,
): {readonly listed: readonly ListedValue[]; readonly faults: Fault[]} {
  const listed: ListedValue[] = [];
  const faults: Fault[] = [];
  items(read(manifest.value).values).forEach((member, index) => {
    const {name: valueName, sha256: hash} = read(member);
    if (typeof valueName !== 'string' || typeof hash !== 'string') return;
    const path = ['values', index];
    const published = publishedName(valueName, hash);
    const text = values.get(published);
    if (text === undefined) {
      faults.push({path, message: `value ${published} is missing`});
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
      const message = `content of ${published} has another hash`;
      faults.push({path: [...path, 'sha256'], message});
    }
    const file = `values/${published}.json`;
    listed.push({name: valueName, key: `${valueName} ${actual}`, file, text});
  });
  return {listed, faults};
}

/** Number of values with adapters in the manifest. */
function listedShards(manifest: Document): number {
  const names = textsAt(read(manifest.value).values, 'name');
  return names.filter(valueName => valueName !== BASE_VALUE).length;
}

/**
 * Checks the shards. One of the previous configuration with the same content
 * is taken over: a change seldom touches more than one of 150, and a process
 * that is busy for more than 1 s counts as paused.
 */
function checkShards(
  listed: readonly ListedValue[],
  baseModels: ReadonlySet<string> | undefined,
  previous: Configuration | undefined,
): ReadonlyMap<string, Shard> {
  const earlier = previous && SHARDS.get(previous);
  const shards = new Map<string, Shard>();
  for (const {name: valueName, key, file, text} of listed) {
    if (valueName === BASE_VALUE) continue;
    const known = earlier?.get(key);
    const isUsable =
      known !== undefined &&
      [...known.baseModels].every(model => baseModels?.has(model));
    shards.set(key, isUsable ? known : parseShard(text, file, baseModels));
  }
  return shards;
}

function baseFaults(
  value: unknown,
  groups: ReadonlySet<string> | undefined,
): readonly Fault[] {
  const {failureDomains, services, callers} = read(value);
  return [
    ...duplicateFaults(failureDomains, ['failureDomains']),
    ...serviceFaults(services),
    ...callerFaults(callers, services, groups),
  ];
}

/** Checks the manifest; a base value must be listed, and no value twice. */
function checkManifest(document: Document, faults: readonly Fault[]) {
  return check(document, manifestSchema, value => {
    const {values} = read(value);
    const hasBase = textsAt(values, 'name').includes(BASE_VALUE);
    const message = `value "${BASE_VALUE}" is not listed`;
    return [
      ...(hasBase ? [] : [{path: ['values'], message}]),
      ...duplicateFaults(values, ['values'], 'name'),
      ...faults,
    ];
  });
}

/**
 * Puts a configuration together. `values` holds texts by published name; values
 * that the manifest does not list are ignored, since those of the previous
 * revision stay readable. Any finding refuses the configuration as a whole.
 * Files in findings are named as in a configuration folder. Values that the
 * `previous` configuration has as well are not parsed again.
 */
export function assemble(
  manifest: string,
  values: ReadonlyMap<string, string>,
  previous?: Configuration,
): Result<Configuration, readonly Finding[]> {
  if (Buffer.byteLength(manifest) > VALUE_MAX_BYTES) {
    const message = `manifest is larger than ${VALUE_MAX_BYTES} bytes`;
    return Err([atStart(message)]);
  }
  const document = parseDocument(manifest, MANIFEST_FILE);
  const {listed, faults} = listedValues(document, values);
  const head = checkManifest(document, faults);
  const listedBase = listed.find(value => value.name === BASE_VALUE);
  const base = listedBase && parseDocument(listedBase.text, listedBase.file);
  const services = read(base?.value).services;
  const baseModels = services ? baseModelsOf(services) : undefined;
  const byKey = checkShards(listed, baseModels, previous);
  const shards = [...byKey.values()];
  const groups = groupsOf(shards, listedShards(document));
  const body = base
    ? check(base, baseSchema, value => baseFaults(value, groups))
    : {findings: []};
  const findings = [
    ...head.findings,
    ...body.findings,
    ...shards.flatMap(shard => shard.findings),
    ...repeatedAcrossShards(shards),
  ];
  if (findings.length > 0 || !head.content || !body.content) {
    return Err(sortFindings(findings));
  }
  const {deployment, revision} = head.content;
  const adapters = new Map<string, Adapter>();
  for (const shard of shards) {
    shard.adapters.forEach(adapter => adapters.set(adapter.name, adapter));
  }
  const configuration = {deployment, revision, ...body.content, adapters};
  SHARDS.set(configuration, byKey);
  return Ok(configuration);
}

/**
 * Puts the configuration of a folder together from the texts of its files by
 * path in the folder: `manifest.json` and `values/{published name}.json`.
 */
export function assembleFolder(
  texts: ReadonlyMap<string, string>,
): Result<Configuration, readonly Finding[]> {
  const manifest = texts.get(MANIFEST_FILE);
  if (manifest === undefined) {
    return Err([atStart(`${MANIFEST_FILE} is missing`)]);
  }
  const values = new Map<string, string>();
  for (const [path, text] of texts) {
    const match = /^values\/([^/]+)\.json$/.exec(path);
    if (match?.[1] !== undefined) values.set(match[1], text);
  }
  return assemble(manifest, values);
}
