/** Describes the differences between two configurations for operators. */
import type {Configuration} from './configuration.js';

/** Maximum number of changes listed individually for each kind of item. */
const MAX_LISTED_CHANGES = 20;

interface NamedItem {
  readonly name: string;
}

/** Lists the keys of `before` whose values differ in `after`, as `key: old -> new`. */
function keyChanges(before: object, after: object): string {
  const previousEntries = Object.entries(before);
  const changes = previousEntries.flatMap(([key, value]) => {
    const oldJSON = JSON.stringify(value);
    const newJSON = JSON.stringify(after[key as keyof object]);
    return oldJSON === newJSON ? [] : [`${key}: ${oldJSON} -> ${newJSON}`];
  });
  return changes.join(', ');
}

/** Returns one line for each item that was added, removed or changed. */
function itemChanges(
  kind: string,
  before: Iterable<NamedItem>,
  after: Iterable<NamedItem>,
): readonly string[] {
  const unmatchedByName = new Map([...before].map(item => [item.name, item]));
  const lines: string[] = [];
  for (const item of after) {
    const previous = unmatchedByName.get(item.name);
    unmatchedByName.delete(item.name);
    if (previous === undefined) {
      lines.push(`${kind} ${item.name}: added`);
      continue;
    }
    const changes = keyChanges(previous, item);
    if (changes !== '') lines.push(`${kind} ${item.name}: ${changes}`);
  }
  lines.push(
    ...[...unmatchedByName.keys()].map(name => `${kind} ${name}: removed`),
  );
  const omittedCount = lines.length - MAX_LISTED_CHANGES;
  return omittedCount > 0
    ? [
        ...lines.slice(0, MAX_LISTED_CHANGES),
        `${kind}: ${omittedCount} more changes`,
      ]
    : lines;
}

/**
 * Returns lines that describe the changes from one configuration to another;
 * empty when nothing changes. Long lists are truncated and end with the number of
 * omitted changes.
 */
export function diffSummary(
  before: Configuration,
  after: Configuration,
): readonly string[] {
  const deploymentChanges = keyChanges(
    {
      deployment: before.deployment,
      revision: before.revision,
      failureDomains: before.failureDomains,
      tolerances: before.tolerances,
      weightStore: before.weightStore,
    },
    after,
  );
  return [
    ...(deploymentChanges === '' ? [] : [deploymentChanges]),
    ...itemChanges('service', before.services, after.services),
    ...itemChanges('caller', before.callers, after.callers),
    ...itemChanges(
      'adapter',
      before.adapters.values(),
      after.adapters.values(),
    ),
  ];
}
