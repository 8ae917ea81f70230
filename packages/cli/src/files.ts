/** Reads and writes operators' files. */
import {existsSync} from 'node:fs';
import {mkdir, readFile, readdir, stat, writeFile} from 'node:fs/promises';
import {dirname, join} from 'node:path';
import {Err, Ok, type Result} from 'ts-results-es';
import type {PublishedConfiguration} from '@balsamnotch/config';

/** File name of the manifest in a configuration folder. */
export const MANIFEST_FILE = 'manifest.json';

/** Error of reading or writing a file or folder. */
export interface FileError {
  readonly path: string;
  readonly message: string;
}

/** Content of a file, or of the configuration files in a folder. */
export type PathContent =
  | {readonly kind: 'file'; readonly path: string; readonly text: string}
  | {
      readonly kind: 'folder';
      readonly path: string;
      /** File contents by path relative to the folder. */
      readonly texts: ReadonlyMap<string, string>;
    };

/** Runs a file action and returns a thrown error as a {@link FileError}. */
async function catchFileErrors<T>(
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
  return catchFileErrors(path, () => readFile(path, 'utf8'));
}

async function readFolderTexts(
  folder: string,
): Promise<ReadonlyMap<string, string>> {
  const valuesFolder = join(folder, 'values');
  const files = existsSync(valuesFolder) ? await readdir(valuesFolder) : [];
  const paths = [
    ...(existsSync(join(folder, MANIFEST_FILE)) ? [MANIFEST_FILE] : []),
    ...files
      .filter(file => file.endsWith('.json'))
      .map(file => `values/${file}`),
  ];
  const texts = new Map<string, string>();
  for (const path of paths) {
    texts.set(path, await readFile(join(folder, path), 'utf8'));
  }
  return texts;
}

/** Reads a file, or the manifest and values in a folder. */
export function readPath(
  path: string,
): Promise<Result<PathContent, FileError>> {
  return catchFileErrors(path, async () =>
    (await stat(path)).isDirectory()
      ? {kind: 'folder', path, texts: await readFolderTexts(path)}
      : {kind: 'file', path, text: await readFile(path, 'utf8')},
  );
}

/** Writes a text file; creates its folder when missing. */
export function writeText(
  path: string,
  text: string,
): Promise<Result<void, FileError>> {
  return catchFileErrors(path, async () => {
    await mkdir(dirname(path), {recursive: true});
    await writeFile(path, text);
  });
}

/**
 * Writes a configuration into a folder. Writes the manifest last, because it must
 * never list a value that has not been written yet.
 */
export function writeConfiguration(
  folder: string,
  {manifest, values}: PublishedConfiguration,
): Promise<Result<void, FileError>> {
  return catchFileErrors(folder, async () => {
    await mkdir(join(folder, 'values'), {recursive: true});
    for (const [name, text] of values) {
      await writeFile(join(folder, 'values', `${name}.json`), text);
    }
    await writeFile(join(folder, MANIFEST_FILE), manifest);
  });
}
