/** A small questionnaire, and findings as text, for the tests of this package. */
import assert from 'node:assert/strict';
import {formatFinding, parseQuestionnaire, generate} from '@balsamnotch/config';
import type {Finding, PublishedConfiguration} from '@balsamnotch/config';
import type {Result} from 'ts-results-es';

/** Answers with every part; tests replace single keys. */
export const ANSWERS = {
  deployment: 'test',
  revision: 3,
  failureDomains: ['a', 'b'],
  entries: 2,
  services: [
    {name: 'chat', kind: 'model', targets: 2, baseModel: 'm'},
    {
      name: 'shop',
      kind: 'plain',
      targets: 2,
      operations: [{name: 'buy', repeatable: false}],
    },
  ],
  adapters: [
    {prefix: 'p-', count: 1500, group: 'g', versions: ['1', '2']},
    {name: 'q', group: 'h', versions: ['1', '2'], current: '1'},
  ],
  callers: [
    {
      name: 'c',
      key: 'secret-key',
      groups: ['g'],
      services: ['shop'],
      requestsPerSecond: 10,
    },
  ],
  weightStore: {loadsPerSecond: 3, burst: 2, loadMs: 250, maxInFlight: 16},
  tolerances: {priority: 'load_stalls'},
};

/** Configuration generated from {@link ANSWERS} with some keys replaced. */
export function published(
  replaced: Record<string, unknown> = {},
): PublishedConfiguration {
  const text = JSON.stringify({...ANSWERS, ...replaced});
  return generate(parseQuestionnaire(text, 'q').unwrap());
}

/** Findings of a result that must be an error, one line each. */
export function findingsOf(
  result: Result<unknown, readonly Finding[]>,
): readonly string[] {
  assert.ok(result.isErr(), 'expected findings');
  return result.error.map(formatFinding);
}

/** Asserts that one of the findings contains the text. */
export function assertFinding(
  result: Result<unknown, readonly Finding[]>,
  text: string,
): void {
  const findings = findingsOf(result);
  assert.ok(
    findings.some(finding => finding.includes(text)),
    `no finding contains "${text}":\n${findings.join('\n')}`,
  );
}
