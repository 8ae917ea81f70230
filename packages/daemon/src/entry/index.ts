/** The entry role: accepts requests from callers and forwards them to targets. */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {NODE_STATE, refusal, type Refusal} from '@balsamnotch/core';
import {Subject, Subscription, filter, firstValueFrom, race, timer} from 'rxjs';
import type {NodeContext, Role} from '../node/context.js';
import {splitAddress} from '../node/server.js';
import {createCallerServer} from './http.js';
import {
  Limits,
  createPauseCheck,
  createPopularityLookup,
  type EntryComponents,
} from './parts.js';
import {createHandler} from './route.js';
import {CALLER_STALL_TIMEOUT_MS} from './sse.js';
import {Targets} from './targets.js';

/** Timing options, in milliseconds; tests use shorter values. */
export interface EntryOptions {
  /** Time until the load balancer notices that the entry is no longer ready. */
  readonly balancerLagMs?: number;
  /** Time after which a caller that reads nothing is disconnected. */
  readonly stallMs?: number;
}

/** Maximum wait for the first VM list at startup, in milliseconds. */
const FIRST_LIST_TIMEOUT_MS = 1_000;

/** Interval at which a stopping entry checks for requests in progress, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 20;

/**
 * Lifecycle of the entry role: startup, readiness, requests in progress and planned
 * stop.
 */
class Entry implements Role {
  readonly stopped$ = new Subject<void>();
  private readonly components: EntryComponents;
  private readonly server: Server;
  private readonly subscriptions = new Subscription();
  private isPrepared = false;
  private openRequests = 0;
  /** Set once a planned stop begins; cleared if it is cancelled. */
  private stopTimer: Subscription | undefined;
  private stopSinceMs = 0;
  private isEnded = false;

  constructor(
    private readonly context: NodeContext,
    private readonly options: Required<EntryOptions>,
  ) {
    const targets = new Targets(context);
    this.components = {
      context,
      targets,
      limits: new Limits(context),
      popularityOf: createPopularityLookup(),
      checkPause: createPauseCheck(context, targets),
      closedRefusal: () => this.closedRefusal(),
    };
    this.server = createCallerServer({
      context,
      handle: createHandler(this.components),
      isReady: () => this.state() === NODE_STATE.serving,
      isLeaving: () => this.state() === NODE_STATE.leaving,
      beginRequest: () => this.beginRequest(),
      stallMs: options.stallMs,
    });
  }

  routes(): void {
    // An entry serves only the `Node` service, which every process registers.
  }

  async start(): Promise<void> {
    const {context, components} = this;
    this.subscriptions.add(
      context.vms$.subscribe(vms => {
        const entries = vms.filter(({role}) => role === 'entry');
        components.limits.setEntryCount(entries.length);
      }),
    );
    this.subscriptions.add(
      context.pauses$.subscribe(() => void components.checkPause()),
    );
    components.targets.start();
    await this.listen();
    void this.prepare();
  }

  callerAddress(): string {
    const address = this.server.address() as AddressInfo | null;
    return address === null ? '' : `${address.address}:${address.port}`;
  }

  state() {
    if (this.stopTimer !== undefined || this.isEnded) return NODE_STATE.leaving;
    const {configuration} = this.context;
    const isConfigured = configuration.current() !== undefined;
    return this.isPrepared && isConfigured && configuration.isReady()
      ? NODE_STATE.serving
      : NODE_STATE.starting;
  }

  inProgress(): number {
    return this.openRequests;
  }

  report(): undefined {
    return undefined;
  }

  beginStop(): void {
    if (this.stopTimer !== undefined || this.isEnded) return;
    this.stopSinceMs = this.context.clock.monotonicMs();
    this.context.log.info('stop_begun', {in_progress: this.openRequests});
    this.stopTimer = timer(this.options.balancerLagMs, DRAIN_CHECK_INTERVAL_MS)
      .pipe(filter(() => this.openRequests === 0))
      .subscribe(() => this.finishStop());
  }

  cancelStop(): void {
    if (this.stopTimer === undefined || this.isEnded) return;
    this.stopTimer.unsubscribe();
    this.stopTimer = undefined;
    this.context.log.info('stop_cancelled');
  }

  private finishStop(): void {
    this.stopTimer?.unsubscribe();
    this.isEnded = true;
    this.subscriptions.unsubscribe();
    this.components.targets.stop();
    this.server.close();
    this.server.closeIdleConnections();
    this.context.log.info('stop_ended');
    this.stopped$.next();
    this.stopped$.complete();
  }

  private listen(): Promise<void> {
    const {host, port} = splitAddress(this.context.settings.callerListen);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /**
   * Waits for the first VM list and the probes of its targets: tickets can only be
   * issued for targets that have sent a report.
   */
  private async prepare(): Promise<void> {
    const timeout = timer(FIRST_LIST_TIMEOUT_MS);
    const firstList = this.context.vms$.pipe(filter(vms => vms.length > 0));
    await firstValueFrom(race(firstList, timeout));
    await this.components.targets.whenProbed();
    this.isPrepared = true;
    this.context.log.info('ready', {callers: this.callerAddress()});
  }

  private beginRequest(): () => void {
    this.openRequests++;
    return () => {
      this.openRequests--;
    };
  }

  /**
   * Returns a refusal if the entry accepts no requests now. A stopping entry still accepts
   * requests until the load balancer has had time to notice.
   */
  private closedRefusal(): Refusal | undefined {
    const {context, options} = this;
    const retryOptions = {retryAfterMs: 1_000};
    if (this.openRequests > context.settings.limits.requests) {
      const message = 'entry has too many requests in progress';
      return refusal('overloaded', message, retryOptions);
    }
    if (this.stopTimer === undefined && !this.isEnded) return undefined;
    const sinceMs = context.clock.monotonicMs() - this.stopSinceMs;
    if (sinceMs < options.balancerLagMs) return undefined;
    return refusal('leaving', 'entry is stopping', retryOptions);
  }
}

/** Creates the entry role. The node starts it with `Role.start`. */
export function startEntry(
  context: NodeContext,
  {balancerLagMs = 2_000, stallMs = CALLER_STALL_TIMEOUT_MS}: EntryOptions = {},
): Role {
  return new Entry(context, {balancerLagMs, stallMs});
}
