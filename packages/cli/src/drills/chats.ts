/** Checks of the chats that a drill sent. */
import {pluralize} from '../terminal.js';
import type {ChatResult} from '../traffic.js';
import {drillCheck, type DrillCheck} from './drill.js';

/** Maximum number of broken chats that are described. */
const MAX_DESCRIBED_CHATS = 3;

/** Formats the number of chats for each reason: `overloaded 3, leaving 1`. */
function countReasons(results: readonly ChatResult[]): string {
  const counts = new Map<string, number>();
  for (const {reason} of results) {
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ');
}

/**
 * Returns whether the answer names the requested model. A request without a version
 * accepts any version.
 */
export function hasRequestedModel({
  requestedModel,
  answeredModel,
}: ChatResult): boolean {
  return requestedModel.includes('@')
    ? answeredModel === requestedModel
    : answeredModel.split('@')[0] === requestedModel;
}

/** Checks that no chat was cut off or refused, and that answers name the requested model. */
export function checkChats(
  results: readonly ChatResult[],
): readonly DrillCheck[] {
  const broken = results.filter(({kind}) => kind === 'broken');
  const refused = results.filter(({kind}) => kind === 'refused');
  const complete = results.filter(({kind}) => kind === 'complete');
  const wrongModel = complete.filter(result => !hasRequestedModel(result));
  const total = pluralize(results.length, 'chat');
  if (complete.length === 0) {
    const statement = `of ${total} none was answered: ${countReasons([...refused, ...broken])}`;
    return [{verdict: 'failed', statement}];
  }
  const examples = broken
    .slice(0, MAX_DESCRIBED_CHATS)
    .map(
      ({requestedModel, reason, durationMs}) =>
        `${requestedModel}: ${reason} after ${Math.round(durationMs)} ms`,
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
      wrongModel.length === 0,
      wrongModel.length === 0
        ? `all ${pluralize(complete.length, 'answer')} name the adapter that was asked for`
        : `${pluralize(wrongModel.length, 'answer')} of another adapter or version`,
    ),
  ];
}
