/** Format of a published configuration: names, hashes and sizes of its values. */
import {createHash} from 'node:crypto';

/** Largest value that the configuration service holds, in bytes. */
export const VALUE_MAX_BYTES = 1_000_000;

/** Most adapters in one value. */
export const SHARD_MAX_ADAPTERS = 1_000;

/** Name of the value with failure domains, services, callers and limits. */
export const BASE_VALUE = 'base';

/** Names of the values with adapters. */
export const SHARD_NAME = /^adapters-\d{3,6}$/;

/** Digits of the content hash in a published name. */
const PUBLISHED_HASH_DIGITS = 12;

/** A configuration as operators publish it. */
export interface PublishedConfiguration {
  /** Text of the manifest. */
  readonly manifest: string;
  /** Texts of the values by published name. */
  readonly values: ReadonlyMap<string, string>;
}

/** SHA-256 of the text in UTF-8, in hexadecimal. */
export function contentHash(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}

/** Name under which a value is published: `{name}.{start of its hash}`. */
export function publishedName(name: string, hash: string): string {
  return `${name}.${hash.slice(0, PUBLISHED_HASH_DIGITS)}`;
}

/** Name of the shard with this index: `adapters-000` and so on. */
export function shardName(index: number): string {
  return `adapters-${String(index).padStart(3, '0')}`;
}
