/** Format of a published configuration: names, hashes and size limits of its values. */
import {createHash} from 'node:crypto';

/** Size of the largest value that the configuration service stores, in bytes. */
export const VALUE_MAX_BYTES = 1_000_000;

/** Maximum number of adapters in one shard. */
export const SHARD_MAX_ADAPTERS = 1_000;

/**
 * Name of the base value, which holds failure domains, services, callers,
 * tolerances and the limits of the weight store.
 */
export const BASE_VALUE = 'base';

/** Pattern of the names of shards, the values that hold adapters. */
export const SHARD_NAME_PATTERN = /^adapters-\d{3,6}$/;

/** Number of hexadecimal digits of the content hash in a published name. */
const PUBLISHED_HASH_DIGITS = 12;

/** A configuration as operators publish it. */
export interface PublishedConfiguration {
  /** Text of the manifest. */
  readonly manifest: string;
  /** Texts of the values by {@link publishedName}. */
  readonly values: ReadonlyMap<string, string>;
}

/** Returns the SHA-256 of the text in UTF-8, in hexadecimal. */
export function contentHash(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}

/** Returns the name under which a value is published: `{name}.{start of its hash}`. */
export function publishedName(name: string, hash: string): string {
  return `${name}.${hash.slice(0, PUBLISHED_HASH_DIGITS)}`;
}

/** Returns the name of the shard with the given index, from `adapters-000`. */
export function shardName(index: number): string {
  return `adapters-${String(index).padStart(3, '0')}`;
}
