/** Puts a configuration together from a manifest and its values. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {Adapter, Configuration} from './configuration.js';
import {parseDocument, schemaFaults, type Document} from './document.js';
import {sortFindings, type Fault, type Finding} from './finding.js';
import {duplicateFaults, items, read, textsAt} from './loose.js';
import {
  BASE_VALUE,
  SHARD_MAX_ADAPTERS,
  SHARD_NAME,
  VALUE_MAX_BYTES,
  contentHash,
  publishedName,
} from './published.js';
import {
  adapterFaults,
  baseModelsOf,
  callerFaults,
  serviceFaults,
} from './rules.js';
import {
  callerKeys,
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

const shardSchema = z.strictObject({
  adapters: z
    .array(
      z.strictObject({
        name,
        group: name,
        baseModel: name,
        versions,
        current: name,
      }),
      {error: 'must be a list'},
    )
    .max(SHARD_MAX_ADAPTERS, {
      error: `must have at most ${SHARD_MAX_ADAPTERS} adapters`,
    }),
});

/** Name of a value in a manifest, and the file name for its findings. */
interface ListedValue {
  readonly name: string;
  readonly file: string;
  readonly document: Document;
}

/** A document's content, absent when it does not match its schema. */
interface Checked<T> {
  readonly content?: T;
  readonly findings: readonly Finding[];
}

/** Checks a document against a schema and further faults. */
function check<T>(
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
    if (contentHash(text) !== hash) {
      const message = `content of ${published} has another hash`;
      faults.push({path: [...path, 'sha256'], message});
    }
    const file = `values/${published}.json`;
    listed.push({name: valueName, file, document: parseDocument(text, file)});
  });
  return {listed, faults};
}

/** Adapters whose name occurs in an earlier shard. */
function repeatedAcrossShards(
  shards: readonly ListedValue[],
): readonly Finding[] {
  const fileOf = new Map<string, string>();
  const findings: Finding[] = [];
  for (const {document, file} of shards) {
    items(read(document.value).adapters).forEach((member, index) => {
      const adapter = read(member).name;
      if (typeof adapter !== 'string') return;
      const earlier = fileOf.get(adapter);
      if (earlier === undefined) {
        fileOf.set(adapter, file);
      } else if (earlier !== file) {
        const message = `duplicate name "${adapter}", also in ${earlier}`;
        const path = ['adapters', index, 'name'];
        findings.push(document.locate({path, message}));
      }
    });
  }
  return findings;
}

/** Groups of all adapters; undefined when a shard is missing or unreadable. */
function groupsOf(
  manifest: Document,
  shards: readonly ListedValue[],
): ReadonlySet<string> | undefined {
  const wanted = textsAt(read(manifest.value).values, 'name').filter(
    valueName => valueName !== BASE_VALUE,
  ).length;
  const readable = shards.filter(({document}) => document.value !== undefined);
  if (readable.length < wanted) return undefined;
  return new Set(
    readable.flatMap(({document}) =>
      textsAt(read(document.value).adapters, 'group'),
    ),
  );
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

function shardFaults(
  value: unknown,
  baseModels: ReadonlySet<string> | undefined,
): readonly Fault[] {
  const {adapters} = read(value);
  return [
    ...duplicateFaults(adapters, ['adapters'], 'name'),
    ...items(adapters).flatMap((adapter, index) =>
      adapterFaults(adapter, ['adapters', index], baseModels),
    ),
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
 * Files in findings are named as in a configuration folder.
 */
export function assemble(
  manifest: string,
  values: ReadonlyMap<string, string>,
): Result<Configuration, readonly Finding[]> {
  if (Buffer.byteLength(manifest) > VALUE_MAX_BYTES) {
    const message = `manifest is larger than ${VALUE_MAX_BYTES} bytes`;
    const file = 'manifest.json';
    return Err([{file, line: 1, column: 1, path: '', message}]);
  }
  const document = parseDocument(manifest, 'manifest.json');
  const {listed, faults} = listedValues(document, values);
  const head = checkManifest(document, faults);
  const base = listed.find(value => value.name === BASE_VALUE);
  const shards = listed.filter(value => value.name !== BASE_VALUE);
  const groups = groupsOf(document, shards);
  const body = base
    ? check(base.document, baseSchema, value => baseFaults(value, groups))
    : {findings: []};
  const services = read(base?.document.value).services;
  const baseModels =
    services === undefined ? undefined : baseModelsOf(services);
  const parts = shards.map(shard =>
    check(shard.document, shardSchema, value => shardFaults(value, baseModels)),
  );
  const findings = [
    ...head.findings,
    ...body.findings,
    ...parts.flatMap(part => part.findings),
    ...repeatedAcrossShards(shards),
  ];
  if (findings.length > 0 || !head.content || !body.content) {
    return Err(sortFindings(findings));
  }
  const adapters = parts.flatMap(part => part.content?.adapters ?? []);
  return Ok({
    deployment: head.content.deployment,
    revision: head.content.revision,
    ...body.content,
    adapters: new Map<string, Adapter>(
      adapters.map(adapter => [adapter.name, adapter]),
    ),
  });
}

/**
 * Puts the configuration of a folder together from the texts of its files by
 * path in the folder: `manifest.json` and `values/{published name}.json`.
 */
export function assembleFolder(
  texts: ReadonlyMap<string, string>,
): Result<Configuration, readonly Finding[]> {
  const manifest = texts.get('manifest.json');
  if (manifest === undefined) {
    const message = 'manifest.json is missing';
    const file = 'manifest.json';
    return Err([{file, line: 1, column: 1, path: '', message}]);
  }
  const values = new Map<string, string>();
  for (const [path, text] of texts) {
    const match = /^values\/([^/]+)\.json$/.exec(path);
    if (match?.[1] !== undefined) values.set(match[1], text);
  }
  return assemble(manifest, values);
}
