/**
 * Records crashes of targets that no target node watches, with the requests of this entry that
 * broke then. A connection that breaks may also be reset by a target that goes on, so a new
 * connection to it, or its next start in the registry, has to show that it has ended.
 */
import net from 'node:net';
import {
  MERGED_VERSION,
  crashKey,
  keptSuspects,
  type RegisteredTarget,
  type Registry,
} from '@balsamnotch/core';
import {splitAddress} from '@balsamnotch/daemon';
import type {GatewayContext} from '../node/context.js';

/** Time for the other requests at the target to break before it is checked, in milliseconds. */
const SETTLE_MS = 5;

/** Minimum time between two checks of a target, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 100;

/** Time to open the connection of a check, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Time for which breaks at a target that neither accepts nor refuses connections wait for its
 * next start, in milliseconds.
 */
const UNDECIDED_MS = 10_000;

/** Time after a crash for which broken requests are still added to its record, in milliseconds. */
const LATE_MS = 1_000;

/** Number of targets whose breaks are kept; breaks at others are ignored meanwhile. */
const MAX_CHECKS = 256;

/** What a new connection to a target shows. */
export const CONNECTION_CHECK = {
  accepted: 'accepted',
  refused: 'refused',
  /** Neither; the target may be silent, or its VM may be gone. */
  undecided: 'undecided',
} as const;

/** One of the values of {@link CONNECTION_CHECK}. */
export type ConnectionCheck =
  (typeof CONNECTION_CHECK)[keyof typeof CONNECTION_CHECK];

/** Opens a connection to `ip:port` and closes it again; never rejects. */
export function checkConnection(address: string): Promise<ConnectionCheck> {
  const {host, port} = splitAddress(address);
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const finish = (outcome: ConnectionCheck) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(
      () => finish(CONNECTION_CHECK.undecided),
      CONNECT_TIMEOUT_MS,
    );
    socket.once('connect', () => finish(CONNECTION_CHECK.accepted));
    socket.once('error', ({code}: NodeJS.ErrnoException) =>
      finish(
        code === 'ECONNREFUSED'
          ? CONNECTION_CHECK.refused
          : CONNECTION_CHECK.undecided,
      ),
    );
  });
}

/** Breaks at one incarnation of a target. */
interface OpenCheck {
  readonly key: string;
  readonly target: RegisteredTarget;
  /** Monotonic time of the first of the breaks, in milliseconds. */
  atMs: number;
  /** Monotonic time of the last connection to the target, in milliseconds. */
  checkedAtMs: number;
  /** Ids of the requests that broke; empty once a check has shown that the target goes on. */
  readonly requests: Set<string>;
  isScheduled: boolean;
  hasCrashed: boolean;
}

/** Options of {@link TargetCrashes}. */
export interface TargetCrashesOptions {
  readonly context: Pick<
    GatewayContext,
    'clock' | 'evidence' | 'log' | 'metrics'
  >;
  readonly check?: (address: string) => Promise<ConnectionCheck>;
}

/** Crashes of targets as one entry sees them. */
export class TargetCrashes {
  /** By key of the incarnation, see {@link crashKey}. */
  private readonly checks = new Map<string, OpenCheck>();

  constructor(private readonly options: TargetCrashesOptions) {}

  private nowMs(): number {
    return this.options.context.clock.monotonicMs();
  }

  /** Records that the connection broke on which the request had been sent to the target. */
  recordBreak(target: RegisteredTarget, request: string): void {
    const check = this.checkOf(target);
    if (check === undefined) return;
    if (check.requests.size === 0) check.atMs = this.nowMs();
    check.requests.add(request);
    if (check.hasCrashed) this.publish(check);
    else this.schedule(check);
  }

  /** Looks for later starts of the targets that neither accepted nor refused a connection. */
  update(registry: Registry): void {
    for (const check of this.checks.values()) {
      if (check.requests.size === 0 || check.hasCrashed) continue;
      const {id, address, incarnationMs} = check.target;
      const isReplaced = [...registry.values()].some(
        ({target}) =>
          (target.id === id || target.address === address) &&
          target.incarnationMs > incarnationMs,
      );
      if (isReplaced) this.confirm(check);
    }
  }

  private checkOf(target: RegisteredTarget): OpenCheck | undefined {
    this.dropOld();
    const key = crashKey(target.id, target.incarnationMs);
    const known = this.checks.get(key);
    if (known !== undefined) return known;
    if (this.checks.size >= MAX_CHECKS) return undefined;
    const check: OpenCheck = {
      key,
      target,
      atMs: this.nowMs(),
      checkedAtMs: -Infinity,
      requests: new Set(),
      isScheduled: false,
      hasCrashed: false,
    };
    this.checks.set(key, check);
    return check;
  }

  private dropOld(): void {
    const nowMs = this.nowMs();
    for (const [key, {atMs, hasCrashed, isScheduled}] of this.checks) {
      const lifetimeMs = hasCrashed ? LATE_MS : UNDECIDED_MS;
      if (!isScheduled && nowMs - atMs > lifetimeMs) this.checks.delete(key);
    }
  }

  private schedule(check: OpenCheck): void {
    if (check.isScheduled) return;
    check.isScheduled = true;
    const dueAtMs = check.checkedAtMs + MIN_CHECK_INTERVAL_MS;
    setTimeout(
      () => {
        void this.run(check);
      },
      Math.max(SETTLE_MS, dueAtMs - this.nowMs()),
    ).unref();
  }

  private async run(check: OpenCheck): Promise<void> {
    check.checkedAtMs = this.nowMs();
    const {check: connect = checkConnection} = this.options;
    const outcome = await connect(check.target.address);
    check.isScheduled = false;
    this.options.context.metrics.count('target_crash_check', outcome);
    if (outcome === CONNECTION_CHECK.refused) this.confirm(check);
    if (outcome === CONNECTION_CHECK.accepted) check.requests.clear();
  }

  private confirm(check: OpenCheck): void {
    if (check.hasCrashed) return;
    check.hasCrashed = true;
    this.publish(check);
  }

  private publish({key, atMs, requests}: OpenCheck): void {
    const suspects = [...requests].map(id => ({parts: [id], session: id}));
    const kept = keptSuspects(key, suspects);
    this.options.context.evidence.add({
      key,
      version: MERGED_VERSION,
      atMs,
      suspects: kept,
      hasBegun: false,
      answers: 0,
      partAnswers: new Map(
        kept.map(({session}) => [session, {count: 0, lastAtMs: -Infinity}]),
      ),
    });
  }
}
