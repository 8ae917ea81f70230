/** Differences between two configurations, for operators. */
import type {Configuration} from './configuration.js';

/** Most changes that are listed one by one for each kind of part. */
const MAX_LISTED = 20;

interface Named {
  readonly name: string;
}

/** Changed keys of two parts, as `key: old -> new`. */
function keyChanges(before: object, after: object): string {
  const old = Object.entries(before);
  const changes = old.flatMap(([key, value]) => {
    const from = JSON.stringify(value);
    const to = JSON.stringify(after[key as keyof object]);
    return from === to ? [] : [`${key}: ${from} -> ${to}`];
  });
  return changes.join(', ');
}

/** One line for each part that was added, removed or changed. */
function partChanges(
  what: string,
  before: Iterable<Named>,
  after: Iterable<Named>,
): readonly string[] {
  const old = new Map([...before].map(part => [part.name, part]));
  const lines: string[] = [];
  for (const part of after) {
    const earlier = old.get(part.name);
    old.delete(part.name);
    if (earlier === undefined) {
      lines.push(`${what} ${part.name}: added`);
      continue;
    }
    const changes = keyChanges(earlier, part);
    if (changes !== '') lines.push(`${what} ${part.name}: ${changes}`);
  }
  lines.push(...[...old.keys()].map(name => `${what} ${name}: removed`));
  const rest = lines.length - MAX_LISTED;
  return rest > 0
    ? [...lines.slice(0, MAX_LISTED), `${what}: ${rest} more changes`]
    : lines;
}

/**
 * Lines that say what changes from one configuration to another; empty when
 * nothing does. Long lists of changes are cut, with the number left out.
 */
export function diffSummary(
  before: Configuration,
  after: Configuration,
): readonly string[] {
  const single = keyChanges(
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
    ...(single === '' ? [] : [single]),
    ...partChanges('service', before.services, after.services),
    ...partChanges('caller', before.callers, after.callers),
    ...partChanges(
      'adapter',
      before.adapters.values(),
      after.adapters.values(),
    ),
  ];
}
