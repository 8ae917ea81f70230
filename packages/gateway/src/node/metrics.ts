/** Counters, gauges and latency histograms, served as text on the metrics endpoint. */
import http from 'node:http';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {splitAddress} from '@balsamnotch/daemon';

/**
 * Upper bounds of the latency buckets, in milliseconds. They cover the
 * objectives and timeouts of the routes.
 */
const LATENCY_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 300, 400, 600, 800, 1_000, 1_500, 2_500, 5_000,
  10_000, 20_000,
];

/** Number of accounts that are counted by name; bounds the memory and the size of an answer. */
export const MAX_COUNTED_ACCOUNTS = 200;

/** Name under which all further accounts are counted; not that of an account, which has no space. */
export const OTHER_ACCOUNTS = 'other accounts';

/** Events that are counted by account. */
export const ACCOUNT_EVENT = {
  /** A request with a key of the account. */
  asked: 'account_asked',
  /** A request that an entry has begun to forward. */
  allowed: 'account_allowed',
  /** A request that was answered as not run. */
  refused: 'account_refused',
  /** A lease that waits at a target node. */
  waiting: 'account_waiting',
  /** Tokens of the leases that a target node has granted. */
  tokens: 'account_tokens_granted',
} as const;

/** One of the values of {@link ACCOUNT_EVENT}. */
export type AccountEvent = (typeof ACCOUNT_EVENT)[keyof typeof ACCOUNT_EVENT];

/** Metrics of a gateway node. */
export interface GatewayMetrics {
  /** Counts an event by name and optional reason. */
  count(name: string, reason?: string): void;
  /**
   * Counts an event of a client account, by the name of the account; `amount` is 1 by default. The
   * accounts beyond the first {@link MAX_COUNTED_ACCOUNTS} are counted as {@link OTHER_ACCOUNTS}.
   */
  countAccount(event: AccountEvent, account: string, amount?: number): void;
  /** Records a duration in milliseconds. */
  timing(name: string, ms: number): void;
  /** Sets a gauge to its current value. */
  gauge(name: string, value: number): void;
  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string>;
}

/** Creates the metrics of a process. */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const events = new Counter({
    name: 'balsamnotch_events_total',
    help: 'Decisions and failures by event and reason',
    labelNames: ['event', 'reason'],
    registers: [registry],
  });
  const durations = new Histogram({
    name: 'balsamnotch_duration_ms',
    help: 'Durations in milliseconds',
    labelNames: ['of'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [registry],
  });
  const gauges = new Gauge({
    name: 'balsamnotch_state',
    help: 'Current values',
    labelNames: ['of'],
    registers: [registry],
  });
  const countedAccounts = new Set<string>();
  const accountLabel = (account: string) => {
    if (countedAccounts.has(account)) return account;
    if (countedAccounts.size >= MAX_COUNTED_ACCOUNTS) return OTHER_ACCOUNTS;
    countedAccounts.add(account);
    return account;
  };
  return {
    countAccount: (event, account, amount = 1) =>
      events.inc({event, reason: accountLabel(account)}, amount),
    count: (event, reason = '') => events.inc({event, reason}),
    timing: (of, ms) => durations.observe({of}, ms),
    gauge: (of, value) => gauges.set({of}, value),
    text: () => registry.metrics(),
  };
}

/**
 * Serves the metrics at `ip:port`, and returns a function that closes the
 * server. Failures, also to listen, are passed to `onError` and do not affect
 * the node. `beforeRead` is called before each response and can set gauges.
 */
export function serveMetrics(
  address: string,
  metrics: GatewayMetrics,
  onError: (error: Error) => void,
  beforeRead: () => void = () => undefined,
): () => void {
  const server = http.createServer((_request, response) => {
    beforeRead();
    metrics
      .text()
      .then(text => {
        response.setHeader('content-type', 'text/plain; version=0.0.4');
        response.end(text);
      })
      .catch((error: Error) => {
        onError(error);
        response.writeHead(500).end();
      });
  });
  server.on('error', onError);
  const {host, port} = splitAddress(address);
  server.listen(port, host);
  return () => server.close();
}
