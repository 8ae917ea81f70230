/** Detects the kind of a file that an operator wrote. */
import {topLevelKeys} from './document.js';

/** Kinds of files that operators write. */
export const KIND = {
  settings: 'settings',
  questionnaire: 'questionnaire',
  manifest: 'manifest',
} as const;

/** One of the values of {@link KIND}. */
export type Kind = (typeof KIND)[keyof typeof KIND];

/** Top-level keys that occur in one kind only. */
const KEYS_BY_KIND: Readonly<Record<Kind, readonly string[]>> = {
  settings: ['role', 'listen', 'configService', 'vmList'],
  questionnaire: ['services', 'tolerances', 'weightStore', 'failureDomains'],
  manifest: ['values'],
};

/** Returns the kind with the most matching keys; undefined when no key matches. */
export function detectKind(text: string): Kind | undefined {
  const keys = topLevelKeys(text);
  const [best] = Object.values(KIND)
    .map(kind => ({
      kind,
      matchCount: KEYS_BY_KIND[kind].filter(key => keys.has(key)).length,
    }))
    .filter(({matchCount}) => matchCount > 0)
    .sort((a, b) => b.matchCount - a.matchCount);
  return best?.kind;
}
