/** The entry role: takes requests of callers and sends them to targets. */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {NODE_STATE, refusal, type Refusal} from '@balsamnotch/core';
import {Subject, Subscription, filter, firstValueFrom, race, timer} from 'rxjs';
import type {NodeContext, Role} from '../node/context.js';
import {splitAddress} from '../node/server.js';
import {callerServer} from './http.js';
import {Limits, pauseCheck, popularityByService, type Parts} from './parts.js';
import {handler} from './route.js';
import {CALLER_STALL_MS} from './sse.js';
import {Targets} from './targets.js';

/** Times that tests shorten, in milliseconds. */
export interface EntryOptions {
  /** Time for the load balancer to notice that the entry leaves. */
  readonly balancerLagMs?: number;
  /** Time that a caller may leave a full buffer unread. */
  readonly stallMs?: number;
}

/** Longest wait for the first VM list and probes before the entry is ready, in milliseconds. */
const FIRST_PROBES_MS = 1_000;

/** Interval at which a stopping entry looks for its last request, in milliseconds. */
const DRAIN_CHECK_MS = 20;

/** State of the role besides its parts. */
class Entry implements Role {
  readonly stopped$ = new Subject<void>();
  private readonly parts: Parts;
  private readonly server: Server;
  private readonly subscriptions = new Subscription();
  private prepared = false;
  private open = 0;
  /** Set while a planned stop runs. */
  private stop: Subscription | undefined;
  private stopSinceMs = 0;
  private ended = false;

  constructor(
    private readonly context: NodeContext,
    private readonly options: Required<EntryOptions>,
  ) {
    const targets = new Targets(context);
    this.parts = {
      context,
      targets,
      limits: new Limits(context),
      popularity: popularityByService(),
      checkPause: pauseCheck(context, targets),
      closed: () => this.closedRefusal(),
    };
    this.server = callerServer({
      context,
      handle: handler(this.parts),
      isReady: () => this.state() === NODE_STATE.serving,
      begin: () => this.begin(),
      stallMs: options.stallMs,
    });
  }

  routes(): void {
    // An entry serves `Node` only, which every process registers.
  }

  async start(): Promise<void> {
    const {context, parts} = this;
    this.subscriptions.add(
      context.vms$.subscribe(vms => {
        const entries = vms.filter(({role}) => role === 'entry');
        parts.limits.setEntries(entries.length);
      }),
    );
    this.subscriptions.add(
      context.pauses$.subscribe(() => void parts.checkPause()),
    );
    parts.targets.start();
    await this.listen();
    void this.prepare();
  }

  callerAddress(): string {
    const address = this.server.address() as AddressInfo | null;
    return address === null ? '' : `${address.address}:${address.port}`;
  }

  state() {
    if (this.stop !== undefined || this.ended) return NODE_STATE.leaving;
    const {configuration} = this.context;
    const isConfigured = configuration.current() !== undefined;
    return this.prepared && isConfigured && configuration.isReady()
      ? NODE_STATE.serving
      : NODE_STATE.starting;
  }

  inProgress(): number {
    return this.open;
  }

  report(): undefined {
    return undefined;
  }

  beginStop(): void {
    if (this.stop !== undefined || this.ended) return;
    this.stopSinceMs = this.context.clock.monotonicMs();
    this.context.log.info('stop_begun', {in_progress: this.open});
    this.stop = timer(this.options.balancerLagMs, DRAIN_CHECK_MS)
      .pipe(filter(() => this.open === 0))
      .subscribe(() => this.finishStop());
  }

  cancelStop(): void {
    if (this.stop === undefined || this.ended) return;
    this.stop.unsubscribe();
    this.stop = undefined;
    this.context.log.info('stop_cancelled');
  }

  private finishStop(): void {
    this.stop?.unsubscribe();
    this.ended = true;
    this.subscriptions.unsubscribe();
    this.parts.targets.stop();
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

  /** Waits for the first VM list and its probes, so that tickets can be issued. */
  private async prepare(): Promise<void> {
    const late = timer(FIRST_PROBES_MS);
    const listed = this.context.vms$.pipe(filter(vms => vms.length > 0));
    await firstValueFrom(race(listed, late));
    await this.parts.targets.probed();
    this.prepared = true;
    this.context.log.info('ready', {callers: this.callerAddress()});
  }

  private begin(): () => void {
    this.open++;
    return () => {
      this.open--;
    };
  }

  /** While it stops, an entry takes new requests until the load balancer sends none. */
  private closedRefusal(): Refusal | undefined {
    const {context, options} = this;
    const later = {retryAfterMs: 1_000};
    if (this.open > context.settings.limits.requests) {
      const message = 'entry has too many requests in progress';
      return refusal('overloaded', message, later);
    }
    if (this.stop === undefined && !this.ended) return undefined;
    const sinceMs = context.clock.monotonicMs() - this.stopSinceMs;
    if (sinceMs < options.balancerLagMs) return undefined;
    return refusal('leaving', 'entry is stopping', later);
  }
}

/** Starts the entry role. */
export function startEntry(
  context: NodeContext,
  {balancerLagMs = 2_000, stallMs = CALLER_STALL_MS}: EntryOptions = {},
): Role {
  return new Entry(context, {balancerLagMs, stallMs});
}
