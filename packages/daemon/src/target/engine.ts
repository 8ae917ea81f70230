/** Engine controller: reads the engine's state and is the only component that sends it orders. */
import {
  AgedFrequency,
  adapterKey,
  reconcileCopy,
  initialCopy,
  isLoadedOrLoading,
  isAbandoned,
  isSuperseded,
  nextFence,
  nextLoad,
  waitingLoads,
  withAbandonedLoad,
  withFailedLoad,
  withInheritedPins,
  withLoaded,
  withPins,
  withReservation,
  withoutAbandoned,
  withoutInheritedPins,
  withoutReservation,
  withoutSlot,
  type AdapterDemand,
  type AdapterVersion,
  type EngineCopy,
  type LoadPlan,
} from '@balsamnotch/core';
import {
  ENGINE_ERROR,
  type Engine,
  type EngineError,
  type EngineOrder,
  type EngineState,
} from '@balsamnotch/systems';
import {Subject} from 'rxjs';
import type {Result} from 'ts-results-es';
import type {NodeContext} from '../node/context.js';
import {OpenOrders, orderLogFields, type OrderOutcome} from './orders.js';
import {NO_LOAD_NEED, type LoadNeed} from './share.js';
import type {PauseWatch} from './pauses.js';
import type {LoadPermits, TargetLimits} from './systems.js';

/** Source of the demand for adapters, implemented by the chat controller. */
export interface DemandSource {
  /** Current demand for each adapter version in use; these versions are pinned in the engine. */
  demands(): readonly AdapterDemand[];
  /** Ids of this process's generations that run in the engine. */
  generating(): ReadonlySet<string>;
}

/** Dependencies of an {@link EngineController}. */
export interface EngineParts {
  readonly context: NodeContext;
  readonly engine: Engine;
  readonly pauses: PauseWatch;
  readonly permits: LoadPermits;
  readonly limits: TargetLimits;
}

/**
 * Maximum time between taking a permit and sending its load order, in
 * milliseconds. The rate limit assumes that an order reaches the weight store
 * within 30 ms of its permit check.
 */
const MAX_PERMIT_AGE_MS = 20;

/** Maintains this process's copy of the engine's state, and loads and evicts adapters. */
export class EngineController {
  /** Emits after each update of the copy. */
  readonly changed$ = new Subject<void>();
  /** Emits each adapter version whose load was given up, so that its requests are refused. */
  readonly loadFailed$ = new Subject<AdapterVersion>();
  /** Emits the engine's incarnation after each restart of the engine. */
  readonly restarted$ = new Subject<string>();
  /** Emits once when another process has sent orders to the engine. */
  readonly superseded$ = new Subject<void>();
  /** Whether another process has sent orders; this process then sends none. */
  private isReplaced = false;
  /** The engine's fencing number when this process first read its state. */
  private initialFence = 0;
  /** Undefined until the engine's state has been read. */
  private copy?: EngineCopy;
  private lastState?: EngineState;
  private lastSentFence = 0;
  /** Whether an order may be sent without reading the state again first. */
  private isUpToDate = false;
  private isReading = false;
  /** Monotonic time of the first failed read since the last successful one. */
  private failingSinceMs?: number;
  /**
   * Number of calls of {@link refreshState}. A read that was in progress during such
   * a call may return outdated state, so another read follows.
   */
  private readRequestCount = 0;
  private lastReadMs = -Infinity;
  private readonly orders: OpenOrders;
  private readonly planOptions = {frequency: new AgedFrequency()};
  private demandSource: DemandSource = {
    demands: () => [],
    generating: () => new Set(),
  };

  constructor(private readonly parts: EngineParts) {
    this.orders = new OpenOrders(parts.limits.loads.abandonMs);
    parts.pauses.paused$.subscribe(() => this.refreshState());
  }

  /** Counts a request for an adapter version, for the choice of the adapter to evict. */
  recordRequest(adapterVersion: AdapterVersion): void {
    this.planOptions.frequency.record(adapterKey(adapterVersion), this.nowMs());
  }

  /** Sets the source of demands. */
  setDemandSource(source: DemandSource): void {
    this.demandSource = source;
  }

  /** Whether the engine's state has been read. */
  get isReady(): boolean {
    return this.copy !== undefined;
  }

  /** Whether the copy is recent enough to start generations in the engine. */
  get isFresh(): boolean {
    return this.isUpToDate;
  }

  /**
   * Whether reads of the engine's state have failed for longer than
   * `engineUnreachableMs`. Chats are then refused, and other targets serve them.
   */
  get isUnreachable(): boolean {
    if (this.failingSinceMs === undefined) return false;
    const failingMs = this.nowMs() - this.failingSinceMs;
    return failingMs > this.parts.limits.engineUnreachableMs;
  }

  get incarnation(): string {
    return this.copy?.table.engineIncarnation ?? '';
  }

  get batchSize(): number {
    return this.lastState?.batchSize ?? 0;
  }

  get table(): EngineCopy['table'] | undefined {
    return this.copy?.table;
  }

  isLoaded(adapterVersion: AdapterVersion): boolean {
    const key = adapterKey(adapterVersion);
    return !!this.copy?.table.slots.some(slot => adapterKey(slot) === key);
  }

  /** Starts a read of the engine's state; no order is sent before it has finished. */
  refreshState(): void {
    this.isUpToDate = false;
    this.readRequestCount += 1;
    void this.readState();
  }

  /** Called by the timer: reads the state when a read is due, and starts loads. */
  tick(): void {
    const nowMs = this.nowMs();
    this.orders.expire(nowMs);
    const isDue = nowMs - this.lastReadMs >= this.parts.limits.readIntervalMs;
    if (isDue || !this.isUpToDate) void this.readState();
    this.startLoads();
  }

  /** Starts the loads that requests wait for, as far as slots and permits allow. */
  startLoads(): void {
    if (this.parts.pauses.isPaused()) return;
    if (this.copy === undefined || !this.isUpToDate || this.isReplaced) return;
    const nowMs = this.nowMs();
    const demands = this.demandSource.demands();
    this.copy = withPins(this.copy, demands, nowMs);
    this.refuseAbandonedLoads(demands);
    const free = demands.filter(each => !this.orders.isBusy(adapterKey(each)));
    for (;;) {
      const plan = nextLoad(this.copy, free, nowMs, this.planOptions);
      if (plan === undefined || !this.parts.permits.mayLoad(nowMs)) return;
      this.parts.permits.recordLoadStart(nowMs);
      this.copy = withReservation(this.copy, plan);
      void this.executePlan(plan);
    }
  }

  /**
   * Loads that wait for permits. Loads in backoff are left out, and there is no need
   * while no slot can be freed for any load, because a permit granted then would
   * expire unused.
   */
  loadNeed(): LoadNeed {
    if (this.copy === undefined || !this.isUpToDate) return NO_LOAD_NEED;
    const nowMs = this.nowMs();
    const demands = this.demandSource.demands();
    const copy = withPins(this.copy, demands, nowMs);
    const free = demands.filter(each => !this.orders.isBusy(adapterKey(each)));
    if (nextLoad(copy, free, nowMs, this.planOptions) === undefined) {
      return NO_LOAD_NEED;
    }
    const waiting = waitingLoads(copy, free, nowMs);
    const waitingRequests = waiting.reduce(
      (sum, each) => sum + each.requests,
      0,
    );
    return {waitingRequests, loadsWanted: waiting.length};
  }

  private nowMs(): number {
    return this.parts.context.clock.monotonicMs();
  }

  private update(copy: EngineCopy): void {
    this.copy = copy;
    this.changed$.next();
  }

  private refuseAbandonedLoads(demands: readonly AdapterDemand[]): void {
    const copy = this.copy;
    if (copy === undefined) return;
    const nowMs = this.nowMs();
    demands
      .filter(each => each.queued > 0 && !isLoadedOrLoading(copy.table, each))
      .filter(each => isAbandoned(copy, each, nowMs))
      .forEach(each => this.loadFailed$.next(each));
  }

  private async executePlan({load, evict}: LoadPlan): Promise<void> {
    if (evict !== undefined) {
      const permittedMs = this.nowMs();
      const outcome = await this.sendOrder('evict', evict);
      if (outcome !== 'done') return this.onEvictFailure(load, evict, outcome);
      const isLate = this.nowMs() - permittedMs > MAX_PERMIT_AGE_MS;
      if (isLate) return this.handleLoadOutcome(load, 'put_off');
    }
    this.handleLoadOutcome(load, await this.sendOrder('load', load));
  }

  /** Ends a load without ordering it, because its eviction failed and the slot may not be free. */
  private onEvictFailure(
    load: AdapterVersion,
    evict: AdapterVersion,
    outcome: OrderOutcome,
  ): void {
    if (outcome === 'unanswered' && this.copy !== undefined) {
      const {loads} = this.parts.limits;
      this.copy = withAbandonedLoad(this.copy, evict, this.nowMs(), loads);
    }
    this.handleLoadOutcome(load, outcome === 'unanswered' ? 'failed' : outcome);
    this.refreshState();
  }

  private handleLoadOutcome(load: AdapterVersion, outcome: OrderOutcome): void {
    const {limits, context} = this.parts;
    if (this.copy === undefined || outcome === 'restarted') return;
    const nowMs = this.nowMs();
    switch (outcome) {
      case 'done':
        return this.update(withLoaded(this.copy, load, nowMs));
      case 'put_off':
        return this.update(withoutReservation(this.copy, load));
      case 'unanswered':
        context.log.warn('load_given_up', {adapter: adapterKey(load)});
        this.update(withAbandonedLoad(this.copy, load, nowMs, limits.loads));
        return this.loadFailed$.next(load);
      case 'failed': {
        const failed = withFailedLoad(
          this.copy,
          load,
          nowMs,
          limits.loads,
          context.random,
        );
        this.update(failed.copy);
        if (failed.givenUp) this.loadFailed$.next(load);
        else context.metrics.retried('load_failed');
      }
    }
  }

  /** Sends one order; checks for a pause immediately before sending. */
  private sendOrder(
    kind: EngineOrder['kind'],
    {adapter, version}: AdapterVersion,
  ): Promise<OrderOutcome> {
    if (this.parts.pauses.isPaused() || !this.isUpToDate || this.isReplaced) {
      return Promise.resolve('put_off');
    }
    const fence = nextFence(this.lastState?.fence ?? 0, this.lastSentFence);
    this.lastSentFence = fence;
    const order = {kind, adapter, version, fence};
    const {incarnation} = this;
    const startedMs = this.nowMs();
    const id = this.orders.begin(adapterKey(order), startedMs);
    this.parts.context.log.info('order', orderLogFields(order));
    this.parts.context.metrics.count('order', kind);
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        // A late eviction could remove the adapter after it was loaded again, so
        // an evict order stays in progress and blocks its adapter.
        if (kind === 'load') this.orders.end(id, this.nowMs(), false);
        resolve('unanswered');
      }, this.parts.limits.loads.timeoutMs);
      void this.parts.engine.order(order).then(answer => {
        clearTimeout(timer);
        const ms = this.nowMs() - startedMs;
        this.parts.context.metrics.timing(`order_${kind}`, ms);
        if (incarnation === this.incarnation) {
          resolve(this.handleAnswer(id, order, answer));
          return;
        }
        // The order may have been carried out by either engine incarnation.
        this.orders.end(id, this.nowMs(), false);
        resolve('restarted');
      });
    });
  }

  /** Handles the answer to an order; it may arrive after the order was given up. */
  private handleAnswer(
    id: number,
    order: EngineOrder,
    answer: Result<void, EngineError>,
  ): OrderOutcome {
    const nowMs = this.nowMs();
    const {kind} = order;
    const broken = answer.isErr() && answer.error.kind === ENGINE_ERROR.broken;
    if (!broken && this.copy) this.copy = withoutAbandoned(this.copy, order);
    if (answer.isOk()) {
      this.orders.end(id, nowMs, true);
      this.recordEffect(kind, order);
      return 'done';
    }
    const {kind: error, message} = answer.error;
    const {log, metrics} = this.parts.context;
    log.warn('order_failed', {...orderLogFields(order), error, message});
    if (!broken || kind === 'load') this.orders.end(id, nowMs, !broken);
    this.refreshState();
    if (error === ENGINE_ERROR.fenced) {
      metrics.count('order_fenced');
      return 'put_off';
    }
    return broken && kind === 'evict' ? 'unanswered' : 'failed';
  }

  /** Records the effect of a successful order; it may have been given up before. */
  private recordEffect(kind: EngineOrder['kind'], held: AdapterVersion): void {
    if (this.copy === undefined) return;
    this.update(
      kind === 'load'
        ? withLoaded(this.copy, held, this.nowMs())
        : withoutSlot(this.copy, held),
    );
  }

  private async readState(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    try {
      this.lastReadMs = this.nowMs();
      this.orders.beginRead();
      const before = this.demandSource.generating();
      const {readRequestCount: countBefore} = this;
      const answer = await this.parts.engine.state();
      if (answer.isOk()) this.failingSinceMs = undefined;
      if (answer.isErr()) {
        this.failingSinceMs ??= this.lastReadMs;
        this.parts.context.metrics.count('engine_unread');
        return;
      }
      if (this.parts.pauses.isPaused()) return;
      this.isUpToDate = countBefore === this.readRequestCount;
      this.applyState(answer.value, before);
    } finally {
      this.isReading = false;
    }
    if (this.isUpToDate) this.startLoads();
    else void this.readState();
  }

  private applyState(state: EngineState, before: ReadonlySet<string>): void {
    this.lastState = state;
    const previous = this.copy;
    if (previous === undefined) this.initialFence = state.fence;
    else this.checkSuperseded(state);
    if (previous === undefined) this.copy = this.createCopy(state);
    else if (previous.table.engineIncarnation !== state.incarnation) {
      this.copy = initialCopy(state, this.nowMs());
    } else this.copy = this.reconcile(previous, state);
    this.dropInherited(state, before);
    if (
      previous !== undefined &&
      previous.table.engineIncarnation !== this.incarnation
    ) {
      this.parts.context.log.warn('engine_restarted', {
        incarnation: this.incarnation,
      });
      this.restarted$.next(this.incarnation);
    }
    this.changed$.next();
  }

  /** Stops sending orders once another process has sent one. */
  private checkSuperseded({fence}: EngineState): void {
    if (this.isReplaced) return;
    if (!isSuperseded(fence, this.initialFence, this.lastSentFence)) return;
    this.isReplaced = true;
    const {log, metrics} = this.parts.context;
    log.warn('superseded', {fence, last_sent: this.lastSentFence});
    metrics.count('superseded');
    this.superseded$.next();
  }

  private createCopy(state: EngineState): EngineCopy {
    const nowMs = this.nowMs();
    const copy = initialCopy(state, nowMs);
    return withInheritedPins(copy, nowMs, this.parts.limits.loads);
  }

  /**
   * Ends the pins for an earlier process once the engine runs none of its
   * generations. Generations of this process that ran during the whole read are
   * part of the engine's count; when the count is no higher, there are no others.
   */
  private dropInherited(state: EngineState, before: ReadonlySet<string>): void {
    if (this.copy === undefined) return;
    const after = this.demandSource.generating();
    const ownCount = [...before].filter(id => after.has(id)).length;
    if (state.active <= ownCount) this.copy = withoutInheritedPins(this.copy);
  }

  private reconcile(previous: EngineCopy, state: EngineState): EngineCopy {
    const {copy, foreign} = reconcileCopy(
      previous,
      state,
      this.orders.keysSinceReadBegan(),
      this.orders.unansweredKeys(),
      this.nowMs(),
    );
    const changes = [
      ...foreign.appeared.map(held => ({held, change: 'appeared'})),
      ...foreign.vanished.map(held => ({held, change: 'vanished'})),
    ];
    for (const {held, change} of changes) {
      const adapter = adapterKey(held);
      this.parts.context.metrics.count('foreign_order', change);
      this.parts.context.log.warn('foreign_order', {adapter, change});
    }
    return copy;
  }
}
