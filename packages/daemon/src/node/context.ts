/** Interfaces between a node and the role that it runs. */
import type {ConnectRouter} from '@connectrpc/connect';
import type {Configuration, Settings} from '@balsamnotch/config';
import type {
  Clock,
  NodeState,
  RefusalReason,
  RetryReason,
  TargetReport,
} from '@balsamnotch/core';
import type {ConfigService, VM} from '@balsamnotch/systems';
import type {Observable} from 'rxjs';

/** Additional key-value pairs of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Structured log that writes one line of key=value pairs per event. */
export interface EventLog {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Metrics, sent as StatsD; counters are also totalled for the node's status. */
export interface Metrics {
  /** Counts a refused request. */
  refused(reason: RefusalReason): void;
  /** Counts a retry. */
  retried(reason: RetryReason): void;
  /** Increments a counter; the tag is its reason. */
  count(name: string, tag?: string): void;
  /** Records a duration in milliseconds. */
  timing(name: string, ms: number): void;
  gauge(name: string, value: number): void;
  /** Returns the counter totals since the start of the process, by `name` or `name.tag`. */
  totals(): Readonly<Record<string, number>>;
}

/** The configuration in force on this node. */
export interface ConfigurationSource {
  /** Emits on subscription and on each change; undefined before the first configuration. */
  readonly configuration$: Observable<Configuration | undefined>;
  current(): Configuration | undefined;
  /** Returns the revision in force; 0 before the first configuration. */
  revision(): number;
  /**
   * Tries to reach at least the given revision, which was seen in a message
   * from a peer; the peer is given by its name or `ip:port`. Resolves to false
   * if this node remains at an earlier revision.
   */
  catchUp(revision: number, peer: string): Promise<boolean>;
  /** Returns whether this node has asked its startup peers for their revision and has a configuration. */
  isReady(): boolean;
}

/** Services and identity of the node, as available to its role. */
export interface NodeContext {
  readonly settings: Settings;
  /** 128 random bits in hexadecimal, generated at the start of the process. */
  readonly incarnation: string;
  readonly clock: Clock;
  /** Uniform random number in [0, 1). */
  readonly random: () => number;
  /** Generates 128 random bits in hexadecimal. */
  readonly randomId: () => string;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly configService: ConfigService;
  /** VMs from the latest successful read of the list; empty before the first. */
  readonly vms$: Observable<readonly VM[]>;
  readonly configuration: ConfigurationSource;
  /**
   * Length in milliseconds of the pause from which the process has just resumed,
   * or 0. Roles check it before each order, send or answer.
   */
  readonly pauseMs: () => number;
  /** Emits the length in milliseconds of each pause once it has ended. */
  readonly pauses$: Observable<number>;
}

/** The part of a node that depends on its role: entry or target. */
export interface Role {
  /** Registers the Connect services of the role. */
  routes(router: ConnectRouter): void;
  /**
   * Called once the Connect server listens on `address` (`ip:port`). Rejects when the
   * address for callers cannot be bound.
   */
  start(address: string): Promise<void>;
  /** Returns `ip:port` at which an entry accepts callers; empty for a target. */
  callerAddress(): string;
  state(): NodeState;
  /** Returns the number of requests in progress. */
  inProgress(): number;
  /** Returns the current load report of a target; undefined for an entry. */
  report(): TargetReport | undefined;
  /** Starts a planned stop. Further calls have no effect. */
  beginStop(): void;
  /** Cancels a planned stop that has not completed. */
  cancelStop(): void;
  /** Emits once when the planned stop is complete and the process may exit. */
  readonly stopped$: Observable<void>;
}
