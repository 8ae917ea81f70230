/** Reads and writes the files of operators. */
import {existsSync} from 'node:fs';
import {mkdir, readFile, readdir, stat, writeFile} from 'node:fs/promises';
import {dirname, join} from 'node:path';
import {Err, Ok, type Result} from 'ts-results-es';
import type {PublishedConfiguration} from '@balsamnotch/config';

/** Name of a configuration's manifest in its folder. */
export const MANIFEST_FILE = 'manifest.json';

/** A file that could not be read or written. */
export interface FileError {
  readonly path: string;
  readonly message: string;
}

/** A path that operators gave, with its texts. */
export type PathContent =
  | {readonly kind: 'file'; readonly path: string; readonly text: string}
  | {
      readonly kind: 'folder';
      readonly path: string;
      /** Texts by path in the folder. */
      readonly texts: ReadonlyMap<string, string>;
    };

async function attempt<T>(
  path: string,
  action: () => Promise<T>,
): Promise<Result<T, FileError>> {
  try {
    return Ok(await action());
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Err({path, message});
  }
}

/** Reads a text file. */
export function readText(path: string): Promise<Result<string, FileError>> {
  return attempt(path, () => readFile(path, 'utf8'));
}

async function folderTexts(
  folder: string,
): Promise<ReadonlyMap<string, string>> {
  const values = join(folder, 'values');
  const files = existsSync(values) ? await readdir(values) : [];
  const paths = [
    ...(existsSync(join(folder, MANIFEST_FILE)) ? [MANIFEST_FILE] : []),
    ...files.filter(file => file.endsWith('.json')).map(f => `values/${f}`),
  ];
  const texts = new Map<string, string>();
  for (const path of paths) {
    texts.set(path, await readFile(join(folder, path), 'utf8'));
  }
  return texts;
}

/** Reads a file, or the configuration of a folder. */
export function readPath(
  path: string,
): Promise<Result<PathContent, FileError>> {
  return attempt(path, async () =>
    (await stat(path)).isDirectory()
      ? {kind: 'folder', path, texts: await folderTexts(path)}
      : {kind: 'file', path, text: await readFile(path, 'utf8')},
  );
}

/** Writes a text file, and the folder around it. */
export function writeText(
  path: string,
  text: string,
): Promise<Result<void, FileError>> {
  return attempt(path, async () => {
    await mkdir(dirname(path), {recursive: true});
    await writeFile(path, text);
  });
}

/**
 * Writes a configuration into a folder. The manifest comes last, so that a
 * manifest never lists a value that is not there yet.
 */
export function writeConfiguration(
  folder: string,
  {manifest, values}: PublishedConfiguration,
): Promise<Result<void, FileError>> {
  return attempt(folder, async () => {
    await mkdir(join(folder, 'values'), {recursive: true});
    for (const [name, text] of values) {
      await writeFile(join(folder, 'values', `${name}.json`), text);
    }
    await writeFile(join(folder, MANIFEST_FILE), manifest);
  });
}
