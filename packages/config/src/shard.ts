/** Values with adapters. */
import {z} from 'zod';
import {check} from './checked.js';
import type {Adapter} from './configuration.js';
import {parseDocument} from './document.js';
import type {Fault, Finding} from './finding.js';
import {duplicateFaults, items, read, textsAt} from './loose.js';
import {SHARD_MAX_ADAPTERS} from './published.js';
import {adapterFaults} from './rules.js';
import {name, versions} from './schema.js';

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

/** A checked value with adapters. */
export interface Shard {
  readonly file: string;
  /** False after a syntax fault; names and groups are not known then. */
  readonly isReadable: boolean;
  /** Names in order, also of adapters with faults; empty where there is none. */
  readonly names: readonly string[];
  readonly groups: ReadonlySet<string>;
  readonly baseModels: ReadonlySet<string>;
  /** Empty when the value does not match its schema. */
  readonly adapters: readonly Adapter[];
  readonly findings: readonly Finding[];
  locate(fault: Fault): Finding;
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

/** Parses and checks a value with adapters; base models are checked if known. */
export function parseShard(
  text: string,
  file: string,
  baseModels?: ReadonlySet<string>,
): Shard {
  const document = parseDocument(text, file);
  const {adapters} = read(document.value);
  const checked = check(document, shardSchema, value =>
    shardFaults(value, baseModels),
  );
  return {
    file,
    isReadable: document.value !== undefined,
    names: items(adapters).map(member => {
      const adapter = read(member).name;
      return typeof adapter === 'string' ? adapter : '';
    }),
    groups: new Set(textsAt(adapters, 'group')),
    baseModels: new Set(textsAt(adapters, 'baseModel')),
    adapters: checked.content?.adapters ?? [],
    findings: checked.findings,
    locate: document.locate,
  };
}

/** Faults of adapters whose name occurs in an earlier shard. */
export function repeatedAcrossShards(
  shards: readonly Shard[],
): readonly Finding[] {
  const fileOf = new Map<string, string>();
  const findings: Finding[] = [];
  for (const {names, file, locate} of shards) {
    names.forEach((adapter, index) => {
      const earlier = fileOf.get(adapter);
      if (earlier === undefined) {
        fileOf.set(adapter, file);
      } else if (earlier !== file && adapter !== '') {
        const message = `duplicate name "${adapter}", also in ${earlier}`;
        findings.push(locate({path: ['adapters', index, 'name'], message}));
      }
    });
  }
  return findings;
}

/** Groups of all adapters; undefined when a shard is missing or unreadable. */
export function groupsOf(
  shards: readonly Shard[],
  listed: number,
): ReadonlySet<string> | undefined {
  const readable = shards.filter(shard => shard.isReadable);
  if (readable.length < listed) return undefined;
  return new Set(readable.flatMap(({groups}) => [...groups]));
}
