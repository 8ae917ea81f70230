/** What the node gives to the role that it runs, and what the role gives back. */
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

/** Values of a log line or a metric tag. */
export type Fields = Readonly<Record<string, string | number | boolean>>;

/** Event log: one line of key=value pairs for each event. */
export interface EventLog {
  debug(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  error(event: string, fields?: Fields): void;
}

/** Counters, sent as StatsD and kept for the status of the node. */
export interface Metrics {
  refused(reason: RefusalReason): void;
  retried(reason: RetryReason): void;
  count(name: string, tag?: string): void;
  /** A duration in milliseconds. */
  timing(name: string, ms: number): void;
  gauge(name: string, value: number): void;
  /** Totals since the start by `name` or `name.tag`. */
  totals(): Readonly<Record<string, number>>;
}

/** Configuration in force at this node. */
export interface ConfigurationSource {
  /** Emits on subscription and on each change; undefined until the first. */
  readonly configuration$: Observable<Configuration | undefined>;
  current(): Configuration | undefined;
  /** Revision in force; 0 before the first. */
  revision(): number;
  /**
   * Called with each revision seen in a message of a peer, given by its name or
   * `ip:port`. Resolves when this node is at that revision or later, to false
   * when it cannot get there.
   */
  catchUp(revision: number, peer: string): Promise<boolean>;
  /** False until the peers of a fresh node were asked for their revision. */
  isReady(): boolean;
}

/** What a role uses of its node. */
export interface NodeContext {
  readonly settings: Settings;
  /** 128 random bits in hexadecimal, drawn at the start of the process. */
  readonly incarnation: string;
  readonly clock: Clock;
  /** Uniform random number in [0, 1). */
  readonly random: () => number;
  /** 128 random bits in hexadecimal. */
  readonly randomId: () => string;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly configService: ConfigService;
  /** VMs as last read from the list; empty until the first read. */
  readonly vms$: Observable<readonly VM[]>;
  readonly configuration: ConfigurationSource;
  /**
   * Length in milliseconds of the pause that the process is waking from, or 0.
   * Roles ask before each order, send or answer.
   */
  readonly pauseMs: () => number;
  /** Emits the length in milliseconds of each pause once it has ended. */
  readonly pauses$: Observable<number>;
}

/** The part of a process that depends on its role. */
export interface Role {
  /** Registers the connect services of the role. */
  routes(router: ConnectRouter): void;
  /** Called once the connect server listens on `address` (`ip:port`). */
  start(address: string): Promise<void>;
  /** `ip:port` for callers; empty for a target. */
  callerAddress(): string;
  state(): NodeState;
  /** Requests in progress. */
  inProgress(): number;
  /** Report of a target; undefined for an entry. */
  report(): TargetReport | undefined;
  /** Starts a planned stop; repeating it changes nothing. */
  beginStop(): void;
  /** Cancels a planned stop that has not ended. */
  cancelStop(): void;
  /** Emits once when the planned stop has ended and the process may exit. */
  readonly stopped$: Observable<void>;
}
