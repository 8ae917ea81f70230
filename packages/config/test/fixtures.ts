/** A sample questionnaire and assertions on findings for the tests of this package. */
import assert from 'node:assert/strict';
import {
  formatFinding,
  parseQuestionnaire,
  generateConfiguration,
} from '@balsamnotch/config';
import type {Finding, PublishedConfiguration} from '@balsamnotch/config';
import type {Result} from 'ts-results-es';

/** Answers in every section; tests override individual keys. */
export const SAMPLE_ANSWERS = {
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

/** Generates the configuration of {@link SAMPLE_ANSWERS} with some keys overridden. */
export function generateSample(
  overrides: Record<string, unknown> = {},
): PublishedConfiguration {
  const text = JSON.stringify({...SAMPLE_ANSWERS, ...overrides});
  return generateConfiguration(parseQuestionnaire(text, 'q').unwrap());
}

/** Returns the findings of a result, one line each; fails if there are none. */
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
