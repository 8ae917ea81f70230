/** Metrics sent as StatsD over UDP, with totals of the counters. */
import {StatsD} from 'hot-shots';
import type {Settings} from '@balsamnotch/config';
import type {Metrics} from './context.js';

/** Creates the metrics of a node. Without a StatsD address in the settings, only counter totals are kept. */
export function createMetrics(settings: Settings): Metrics {
  const client = new StatsD({
    host: settings.metrics?.host,
    port: settings.metrics?.port,
    prefix: 'balsamnotch.',
    globalTags: {node: settings.name, role: settings.role},
    mock: settings.metrics === undefined,
    // An unavailable StatsD server must not affect requests.
    errorHandler: () => undefined,
  });
  const totals: Record<string, number> = {};
  const count = (name: string, tag?: string) => {
    const key = tag === undefined ? name : `${name}.${tag}`;
    totals[key] = (totals[key] ?? 0) + 1;
    client.increment(name, 1, tag === undefined ? {} : {reason: tag});
  };
  return {
    refused: reason => count('refused', reason),
    retried: reason => count('retried', reason),
    count,
    timing: (name, ms) => client.timing(name, ms),
    gauge: (name, value) => client.gauge(name, value),
    totals: () => ({...totals}),
  };
}
