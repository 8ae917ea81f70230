/** Tells the kinds of texts apart that operators write. */
import {topLevelKeys} from './document.js';

/** Kinds of texts. */
export const KIND = {
  settings: 'settings',
  questionnaire: 'questionnaire',
  manifest: 'manifest',
} as const;

/** One of the values of {@link KIND}. */
export type Kind = (typeof KIND)[keyof typeof KIND];

/** Keys that occur in one kind only. */
const KIND_KEYS: Readonly<Record<Kind, readonly string[]>> = {
  settings: ['role', 'listen', 'configService', 'vmList'],
  questionnaire: ['services', 'tolerances', 'weightStore', 'failureDomains'],
  manifest: ['values'],
};

/** Kind with the most of its keys in the text; undefined when none occurs. */
export function detectKind(text: string): Kind | undefined {
  const keys = topLevelKeys(text);
  const [best] = Object.values(KIND)
    .map(kind => ({
      kind,
      hits: KIND_KEYS[kind].filter(key => keys.has(key)).length,
    }))
    .filter(({hits}) => hits > 0)
    .sort((a, b) => b.hits - a.hits);
  return best?.kind;
}
