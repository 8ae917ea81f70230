/** Parses and checks shards, the values that hold adapters. */
import {z} from 'zod';
import {checkDocument} from './checked.js';
import type {Adapter} from './configuration.js';
import {parseDocument} from './document.js';
import type {Fault, Finding} from './finding.js';
import {duplicateFaults, asList, asRecord, stringsAtKey} from './loose.js';
import {SHARD_MAX_ADAPTERS} from './published.js';
import {adapterFaults} from './rules.js';
import {nameSchema, versionsSchema} from './schema.js';

const shardSchema = z.strictObject({
  adapters: z
    .array(
      z.strictObject({
        name: nameSchema,
        group: nameSchema,
        baseModel: nameSchema,
        versions: versionsSchema,
        current: nameSchema,
      }),
      {error: 'must be a list'},
    )
    .max(SHARD_MAX_ADAPTERS, {
      error: `must have at most ${SHARD_MAX_ADAPTERS} adapters`,
    }),
});

/** A checked shard. */
export interface Shard {
  readonly file: string;
  /** Whether the text could be parsed. If not, the lists of names and groups are empty. */
  readonly isReadable: boolean;
  /** Names of all adapters in order; an empty string where the name is missing. */
  readonly names: readonly string[];
  readonly groups: ReadonlySet<string>;
  readonly baseModels: ReadonlySet<string>;
  /** Empty when the shard does not match its schema. */
  readonly adapters: readonly Adapter[];
  readonly findings: readonly Finding[];
  locate(fault: Fault): Finding;
}

function shardFaults(
  value: unknown,
  baseModels: ReadonlySet<string> | undefined,
): readonly Fault[] {
  const {adapters} = asRecord(value);
  return [
    ...duplicateFaults(adapters, ['adapters'], 'name'),
    ...asList(adapters).flatMap((adapter, index) =>
      adapterFaults(adapter, ['adapters', index], baseModels),
    ),
  ];
}

/** Parses and checks a shard. Checks its base models only if `baseModels` is given. */
export function parseShard(
  text: string,
  file: string,
  baseModels?: ReadonlySet<string>,
): Shard {
  const document = parseDocument(text, file);
  const {adapters} = asRecord(document.value);
  const checked = checkDocument(document, shardSchema, value =>
    shardFaults(value, baseModels),
  );
  return {
    file,
    isReadable: document.value !== undefined,
    names: asList(adapters).map(member => {
      const adapterName = asRecord(member).name;
      return typeof adapterName === 'string' ? adapterName : '';
    }),
    groups: new Set(stringsAtKey(adapters, 'group')),
    baseModels: new Set(stringsAtKey(adapters, 'baseModel')),
    adapters: checked.content?.adapters ?? [],
    findings: checked.findings,
    locate: document.locate,
  };
}

/** Returns a finding for each adapter whose name occurs in an earlier shard. */
export function crossShardDuplicates(
  shards: readonly Shard[],
): readonly Finding[] {
  const fileByName = new Map<string, string>();
  const findings: Finding[] = [];
  for (const {names, file, locate} of shards) {
    names.forEach((adapterName, index) => {
      const earlierFile = fileByName.get(adapterName);
      if (earlierFile === undefined) {
        fileByName.set(adapterName, file);
      } else if (earlierFile !== file && adapterName !== '') {
        const message = `duplicate name "${adapterName}", also in ${earlierFile}`;
        findings.push(locate({path: ['adapters', index, 'name'], message}));
      }
    });
  }
  return findings;
}

/** Returns the groups of all adapters; undefined if a shard is missing or unreadable. */
export function knownGroups(
  shards: readonly Shard[],
  listedCount: number,
): ReadonlySet<string> | undefined {
  const readable = shards.filter(shard => shard.isReadable);
  if (readable.length < listedCount) return undefined;
  return new Set(readable.flatMap(({groups}) => [...groups]));
}
