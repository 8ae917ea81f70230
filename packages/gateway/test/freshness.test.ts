import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  CHANGE_SOURCE,
  createFreshnessTracker,
  type FreshnessTracker,
} from '../src/node/freshness.js';
import {createGatewayMetrics} from '../src/node/metrics.js';

interface LogLine {
  readonly level: 'info' | 'warn';
  readonly fields: object;
}

function createTracker(clock: {ms: number}): {
  readonly freshness: FreshnessTracker;
  readonly lines: LogLine[];
} {
  const lines: LogLine[] = [];
  const write =
    (level: LogLine['level']) => (_event: string, fields?: object) => {
      lines.push({level, fields: fields ?? {}});
    };
  const freshness = createFreshnessTracker({
    clock: {monotonicMs: () => clock.ms, wallMs: () => 0},
    log: {
      debug: write('info'),
      info: write('info'),
      warn: write('warn'),
      error: write('warn'),
    },
    metrics: createGatewayMetrics(),
    boundMs: 2_000,
  });
  return {freshness, lines};
}

describe('age of published changes', () => {
  // In an incident the logs did not show where a version came from and how late it was.
  it('is logged with each adopted version: its source and the upper bound of its delay', () => {
    const clock = {ms: 1_000};
    const {freshness, lines} = createTracker(clock);
    freshness.recordConfirmation(1_000);
    clock.ms = 1_400;
    freshness.recordRoutesAdoption(3, CHANGE_SOURCE.store);
    clock.ms = 3_500;
    freshness.recordRoutesAdoption(4, CHANGE_SOURCE.peer);
    assert.deepEqual(lines, [
      {
        level: 'info',
        fields: {
          version: 3,
          source: 'store',
          delay_at_most_ms: 400,
          bound_ms: 2_000,
        },
      },
      {
        level: 'warn',
        fields: {
          version: 4,
          source: 'peer',
          delay_at_most_ms: 2_500,
          bound_ms: 2_000,
        },
      },
    ]);
    assert.deepEqual(freshness.status(), {
      directory_age_ms: 2_500,
      operator_age_ms: 2_500,
      routes_adoption_at_most_max_ms: 2_500,
      change_bound_ms: 2_000,
    });
  });

  // A starting node would report the whole duration of its start as a delay.
  it('is not logged for the first version', () => {
    const {freshness, lines} = createTracker({ms: 9_000});
    freshness.recordRoutesAdoption(1, CHANGE_SOURCE.store);
    assert.deepEqual(lines, [
      {level: 'info', fields: {version: 1, source: 'store'}},
    ]);
    assert.equal(freshness.status()['directory_age_ms'], 0);
  });
});
