/** Detects the kind of a file that an operator wrote. */
import {topLevelKeys} from './document.js';

/** Kinds of files that operators write. */
export const FILE_KIND = {
  settings: 'settings',
  questionnaire: 'questionnaire',
  manifest: 'manifest',
} as const;

/** One of the values of {@link FILE_KIND}. */
export type FileKind = (typeof FILE_KIND)[keyof typeof FILE_KIND];

/** Top-level keys that occur in one kind only. */
const KEYS_BY_KIND: Readonly<Record<FileKind, readonly string[]>> = {
  settings: ['role', 'listen', 'configService', 'vmList'],
  questionnaire: ['services', 'tolerances', 'weightStore', 'failureDomains'],
  manifest: ['values'],
};

/** Returns the kind with the most matching keys; undefined when no key matches. */
export function detectFileKind(text: string): FileKind | undefined {
  const keys = topLevelKeys(text);
  const [best] = Object.values(FILE_KIND)
    .map(kind => ({
      kind,
      matchCount: KEYS_BY_KIND[kind].filter(key => keys.has(key)).length,
    }))
    .filter(({matchCount}) => matchCount > 0)
    .sort((a, b) => b.matchCount - a.matchCount);
  return best?.kind;
}
