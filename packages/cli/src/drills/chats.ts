/** What the chats of a drill show. */
import {plural} from '../terminal.js';
import type {ChatResult} from '../traffic.js';
import {drillCheck, type DrillCheck} from './drill.js';

/** Most broken chats that are described. */
const MAX_DESCRIBED = 3;

/** Reasons with their number of occurrences: `overloaded 3, leaving 1`. */
function countReasons(results: readonly ChatResult[]): string {
  const counts = new Map<string, number>();
  for (const {reason} of results) {
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ');
}

/** Tells whether the answer names what was asked for, with any current version. */
export function namesAsked({asked, answered}: ChatResult): boolean {
  return asked.includes('@')
    ? answered === asked
    : answered.split('@')[0] === asked;
}

/** Checks that no chat was cut off, and that answers name what was asked for. */
export function chatChecks(
  results: readonly ChatResult[],
): readonly DrillCheck[] {
  const broken = results.filter(({kind}) => kind === 'broken');
  const refused = results.filter(({kind}) => kind === 'refused');
  const complete = results.filter(({kind}) => kind === 'complete');
  const wrong = complete.filter(result => !namesAsked(result));
  const total = plural(results.length, 'chat');
  if (complete.length === 0) {
    const statement = `of ${total} none was answered: ${countReasons([...refused, ...broken])}`;
    return [{verdict: 'failed', statement}];
  }
  const examples = broken
    .slice(0, MAX_DESCRIBED)
    .map(
      ({asked, reason, ms}) => `${asked}: ${reason} after ${Math.round(ms)} ms`,
    );
  return [
    drillCheck(
      broken.length === 0,
      broken.length === 0
        ? `of ${total} none was cut off`
        : `of ${total} ${broken.length} were cut off (${examples.join('; ')})`,
    ),
    drillCheck(
      refused.length === 0,
      refused.length === 0
        ? `of ${total} none was refused`
        : `of ${total} ${refused.length} were refused (${countReasons(refused)})`,
    ),
    drillCheck(
      wrong.length === 0,
      wrong.length === 0
        ? `all ${plural(complete.length, 'answer')} name the adapter that was asked for`
        : `${plural(wrong.length, 'answer')} of another adapter or version`,
    ),
  ];
}
