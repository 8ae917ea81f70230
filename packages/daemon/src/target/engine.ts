/** Engine controller: reads the engine's state and is the only giver of its orders. */
import {
  AgedFrequency,
  adapterKey,
  correctedCopy,
  firstCopy,
  holds,
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
  withPlan,
  withoutAbandoned,
  withoutInheritedPins,
  withoutPlan,
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
import {OpenOrders, fieldsOf, type OrderEnd} from './orders.js';
import {NO_NEED, type LoadNeed} from './share.js';
import type {PauseWatch} from './pauses.js';
import type {LoadPermits, TargetLimits} from './systems.js';

/** What the engine controller asks of the controller of chats. */
export interface DemandSource {
  /** Use of each adapter version at this moment; all of them are pinned. */
  demands(): readonly AdapterDemand[];
  /** Ids of generations that run in the engine. */
  generating(): ReadonlySet<string>;
}

/** Parts of an engine controller. */
export interface EngineParts {
  readonly context: NodeContext;
  readonly engine: Engine;
  readonly pauses: PauseWatch;
  readonly permits: LoadPermits;
  readonly limits: TargetLimits;
}

/** Time from the permit to its load order; the limit allows 30 ms up to the weight store. */
const PERMIT_USE_MS = 20;

/** Owner of the copy of the engine's state. */
export class EngineController {
  /** Emits after each change of the copy. */
  readonly changed$ = new Subject<void>();
  /** Adapter versions whose load was given up. */
  readonly loadFailed$ = new Subject<AdapterVersion>();
  /** New engine incarnation, after the first. */
  readonly restarted$ = new Subject<string>();
  /** Emits once when another process has taken the engine over. */
  readonly superseded$ = new Subject<void>();
  private isOver = false;
  /** Fencing number of the engine when this process first read it. */
  private foundFence = 0;
  private copy?: EngineCopy;
  private last?: EngineState;
  private lastFence = 0;
  /** False when the state must be read again before the next order. */
  private fresh = false;
  private reading = false;
  /** Start of the first of the failed reads since the last good one. */
  private failingSinceMs?: number;
  /** Counts requests to read again; an answer to an earlier read may be outdated. */
  private asked = 0;
  private lastReadMs = -Infinity;
  private readonly orders: OpenOrders;
  private readonly planOptions = {frequency: new AgedFrequency()};
  private source: DemandSource = {
    demands: () => [],
    generating: () => new Set(),
  };

  constructor(private readonly parts: EngineParts) {
    this.orders = new OpenOrders(parts.limits.loads.abandonMs);
    parts.pauses.paused$.subscribe(() => this.readAgain());
  }

  /** Counts a request for the adapter version. */
  requested(wanted: AdapterVersion): void {
    this.planOptions.frequency.record(adapterKey(wanted), this.nowMs());
  }

  /** Sets the source of demands. */
  serve(source: DemandSource): void {
    this.source = source;
  }

  /** True once the engine's state is known. */
  get isReady(): boolean {
    return this.copy !== undefined;
  }

  /** True when requests may be sent to the engine. */
  get isFresh(): boolean {
    return this.fresh;
  }

  /** True when the engine has not answered for a while, so that other targets serve its chats. */
  get isUnreachable(): boolean {
    if (this.failingSinceMs === undefined) return false;
    const failingMs = this.nowMs() - this.failingSinceMs;
    return failingMs > this.parts.limits.engineUnreachableMs;
  }

  get incarnation(): string {
    return this.copy?.table.engineIncarnation ?? '';
  }

  get batchSize(): number {
    return this.last?.batchSize ?? 0;
  }

  get table(): EngineCopy['table'] | undefined {
    return this.copy?.table;
  }

  isLoaded(wanted: AdapterVersion): boolean {
    const key = adapterKey(wanted);
    return !!this.copy?.table.slots.some(slot => adapterKey(slot) === key);
  }

  /** Reads the engine's state before the next order. */
  readAgain(): void {
    this.fresh = false;
    this.asked += 1;
    void this.read();
  }

  /** Called by the timer: reads the state when it is due, and gives orders. */
  tick(): void {
    const nowMs = this.nowMs();
    this.orders.expire(nowMs);
    const due = nowMs - this.lastReadMs >= this.parts.limits.engineReadMs;
    if (due || !this.fresh) void this.read();
    this.step();
  }

  /** Gives the orders that demand and permits allow. */
  step(): void {
    if (this.parts.pauses.isPaused()) return;
    if (this.copy === undefined || !this.fresh || this.isOver) return;
    const nowMs = this.nowMs();
    const demands = this.source.demands();
    this.copy = withPins(this.copy, demands, nowMs);
    this.refuseAbandoned(demands);
    const free = demands.filter(each => !this.orders.isBusy(adapterKey(each)));
    for (;;) {
      const plan = nextLoad(this.copy, free, nowMs, this.planOptions);
      if (plan === undefined || !this.parts.permits.mayLoad(nowMs)) return;
      this.parts.permits.loadStarted(nowMs);
      this.copy = withPlan(this.copy, plan);
      void this.carryOut(plan);
    }
  }

  /**
   * Loads that only wait for permits. Loads in backoff, or without a slot that
   * can be freed, would let the permits that they get expire.
   */
  need(): LoadNeed {
    if (this.copy === undefined || !this.fresh) return NO_NEED;
    const nowMs = this.nowMs();
    const demands = this.source.demands();
    const copy = withPins(this.copy, demands, nowMs);
    const free = demands.filter(each => !this.orders.isBusy(adapterKey(each)));
    if (nextLoad(copy, free, nowMs, this.planOptions) === undefined) {
      return NO_NEED;
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

  private refuseAbandoned(demands: readonly AdapterDemand[]): void {
    const copy = this.copy;
    if (copy === undefined) return;
    const nowMs = this.nowMs();
    demands
      .filter(each => each.queued > 0 && !holds(copy.table, each))
      .filter(each => isAbandoned(copy, each, nowMs))
      .forEach(each => this.loadFailed$.next(each));
  }

  private async carryOut({load, evict}: LoadPlan): Promise<void> {
    if (evict !== undefined) {
      const permittedMs = this.nowMs();
      const evicted = await this.give('evict', evict);
      if (evicted !== 'done') return this.notEvicted(load, evict, evicted);
      const late = this.nowMs() - permittedMs > PERMIT_USE_MS;
      if (late) return this.loadEnded(load, 'put_off');
    }
    this.loadEnded(load, await this.give('load', load));
  }

  /** The evicted adapter's place is not known to be free, so the load is put off. */
  private notEvicted(
    load: AdapterVersion,
    evict: AdapterVersion,
    end: OrderEnd,
  ): void {
    if (end === 'unanswered' && this.copy !== undefined) {
      const {loads} = this.parts.limits;
      this.copy = withAbandonedLoad(this.copy, evict, this.nowMs(), loads);
    }
    this.loadEnded(load, end === 'unanswered' ? 'failed' : end);
    this.readAgain();
  }

  private loadEnded(load: AdapterVersion, end: OrderEnd): void {
    const {limits, context} = this.parts;
    if (this.copy === undefined || end === 'restarted') return;
    const nowMs = this.nowMs();
    switch (end) {
      case 'done':
        return this.update(withLoaded(this.copy, load, nowMs));
      case 'put_off':
        return this.update(withoutPlan(this.copy, load));
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

  /** Gives one order, with the pause check immediately before it. */
  private give(
    kind: EngineOrder['kind'],
    {adapter, version}: AdapterVersion,
  ): Promise<OrderEnd> {
    if (this.parts.pauses.isPaused() || !this.fresh || this.isOver) {
      return Promise.resolve('put_off');
    }
    const fence = nextFence(this.last?.fence ?? 0, this.lastFence);
    this.lastFence = fence;
    const order = {kind, adapter, version, fence};
    const {incarnation} = this;
    const startedMs = this.nowMs();
    const id = this.orders.begin(adapterKey(order), startedMs);
    this.parts.context.log.info('order', fieldsOf(order));
    this.parts.context.metrics.count('order', kind);
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        // A late evict could hit a new use of the adapter, so it stays blocked.
        if (kind === 'load') this.orders.end(id, this.nowMs(), false);
        resolve('unanswered');
      }, this.parts.limits.loads.timeoutMs);
      void this.parts.engine.order(order).then(answer => {
        clearTimeout(timer);
        const ms = this.nowMs() - startedMs;
        this.parts.context.metrics.timing(`order_${kind}`, ms);
        if (incarnation === this.incarnation) {
          resolve(this.answered(id, order, answer));
          return;
        }
        // It is not known which incarnation carried the order out.
        this.orders.end(id, this.nowMs(), false);
        resolve('restarted');
      });
    });
  }

  /** Takes the answer to an order, which may come after the order was given up. */
  private answered(
    id: number,
    order: EngineOrder,
    answer: Result<void, EngineError>,
  ): OrderEnd {
    const nowMs = this.nowMs();
    const {kind} = order;
    const broken = answer.isErr() && answer.error.kind === ENGINE_ERROR.broken;
    if (!broken && this.copy) this.copy = withoutAbandoned(this.copy, order);
    if (answer.isOk()) {
      this.orders.end(id, nowMs, true);
      this.effective(kind, order);
      return 'done';
    }
    const {kind: error, message} = answer.error;
    const {log, metrics} = this.parts.context;
    log.warn('order_failed', {...fieldsOf(order), error, message});
    if (!broken || kind === 'load') this.orders.end(id, nowMs, !broken);
    this.readAgain();
    if (error === ENGINE_ERROR.fenced) {
      metrics.count('order_fenced');
      return 'put_off';
    }
    return broken && kind === 'evict' ? 'unanswered' : 'failed';
  }

  /** Records the effect of an order; it may come after the order was given up. */
  private effective(kind: EngineOrder['kind'], held: AdapterVersion): void {
    if (this.copy === undefined) return;
    this.update(
      kind === 'load'
        ? withLoaded(this.copy, held, this.nowMs())
        : withoutSlot(this.copy, held),
    );
  }

  private async read(): Promise<void> {
    if (this.reading) return;
    this.reading = true;
    try {
      this.lastReadMs = this.nowMs();
      this.orders.readBegins();
      const before = this.source.generating();
      const {asked} = this;
      const answer = await this.parts.engine.state();
      if (answer.isOk()) this.failingSinceMs = undefined;
      if (answer.isErr()) {
        this.failingSinceMs ??= this.lastReadMs;
        this.parts.context.metrics.count('engine_unread');
        return;
      }
      if (this.parts.pauses.isPaused()) return;
      this.fresh = asked === this.asked;
      this.takeOver(answer.value, before);
    } finally {
      this.reading = false;
    }
    if (this.fresh) this.step();
    else void this.read();
  }

  private takeOver(state: EngineState, before: ReadonlySet<string>): void {
    this.last = state;
    const known = this.copy;
    if (known === undefined) this.foundFence = state.fence;
    else this.giveWay(state);
    if (known === undefined) this.copy = this.firstRead(state);
    else if (known.table.engineIncarnation !== state.incarnation) {
      this.copy = firstCopy(state, this.nowMs());
    } else this.copy = this.compared(known, state);
    this.endInherited(state, before);
    if (
      known !== undefined &&
      known.table.engineIncarnation !== this.incarnation
    ) {
      this.parts.context.log.warn('engine_restarted', {
        incarnation: this.incarnation,
      });
      this.restarted$.next(this.incarnation);
    }
    this.changed$.next();
  }

  /** Stops giving orders once another process has given one. */
  private giveWay({fence}: EngineState): void {
    if (this.isOver) return;
    if (!isSuperseded(fence, this.foundFence, this.lastFence)) return;
    this.isOver = true;
    const {log, metrics} = this.parts.context;
    log.warn('superseded', {fence, last_sent: this.lastFence});
    metrics.count('superseded');
    this.superseded$.next();
  }

  private firstRead(state: EngineState): EngineCopy {
    const nowMs = this.nowMs();
    const copy = firstCopy(state, nowMs);
    return withInheritedPins(copy, nowMs, this.parts.limits.loads);
  }

  /**
   * Generations that ran here during the whole read are part of the engine's
   * count; when it counts no others, no earlier process has one left.
   */
  private endInherited(state: EngineState, before: ReadonlySet<string>): void {
    if (this.copy === undefined) return;
    const after = this.source.generating();
    const own = [...before].filter(id => after.has(id)).length;
    if (state.active <= own) this.copy = withoutInheritedPins(this.copy);
  }

  private compared(known: EngineCopy, state: EngineState): EngineCopy {
    const {copy, foreign} = correctedCopy(
      known,
      state,
      this.orders.busyKeys(),
      this.orders.unansweredKeys(),
      this.nowMs(),
    );
    const found = [
      ...foreign.appeared.map(held => ({held, change: 'appeared'})),
      ...foreign.vanished.map(held => ({held, change: 'vanished'})),
    ];
    for (const {held, change} of found) {
      const adapter = adapterKey(held);
      this.parts.context.metrics.count('foreign_order', change);
      this.parts.context.log.warn('foreign_order', {adapter, change});
    }
    return copy;
  }
}
