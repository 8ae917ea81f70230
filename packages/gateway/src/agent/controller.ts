/**
 * Polls the local engine of a target node and sends it load and unload orders.
 * No other process sends orders to that engine.
 */
import {
  AgedFrequency,
  adapterKey,
  holdsAdapter,
  orderFence,
  type EngineShape,
  type NeededAdapter,
} from '@balsamnotch/core';
import type {GatewayContext} from '../node/context.js';
import {modelAdapterKey} from '../node/directorystate.js';
import {StatedLimit} from '../node/statedlimit.js';
import type {CrashWatch} from './crashwatch.js';
import {
  ENGINE_FAILURE,
  type EngineFailure,
  type EngineState,
  type ManagedEngine,
} from './engine.js';
import {LEASE_REFUSAL} from '../node/leaserefusal.js';
import {
  Leases,
  type HoldsAdapter,
  type LeaseHandle,
  type LeaseRequest,
} from './leases.js';
import {modelReadyMs, type ModelLoad} from './modelload.js';
import {planOrder, type PlannedOrder} from './plan.js';

/**
 * Interval between reads of the engine state, in milliseconds. Reads are cheap
 * because the engine runs on the same VM.
 */
const POLL_INTERVAL_MS = 100;

/**
 * Interval between reads while loads are in progress or requests wait for one, in
 * milliseconds. Detects a finished load quickly. Requests for loaded adapters are
 * checked as often, without a read.
 */
const BUSY_POLL_INTERVAL_MS = 15;

/** Consecutive failed reads after which the engine is taken to have crashed. */
const CRASH_FAILED_READS = 2;

/** Consecutive failed reads after which the engine counts as unreachable. */
const MAX_FAILED_READS = 3;

/**
 * Half-life of the request counts that decide evictions, in milliseconds. It is
 * short because demand shifts between adapters within seconds.
 */
const FREQUENCY_HALF_LIFE_MS = 20_000;

/**
 * Share of the engine's batch slots for which leases are granted at the same
 * time. A fuller batch serves hardly more requests per second, but each request
 * occupies its adapter slot for longer.
 */
const GRANTED_BATCH_SHARE = 0.6;

/** Minimum interval between `engine_state` log lines, in milliseconds. */
const STATE_LOG_MS = 1_000;

/** Pause in sending orders after one has failed, in milliseconds. */
const ORDER_BACKOFF_MS = 100;

/**
 * Amount added to the fencing number when the engine rejects an order because
 * it has seen a higher one.
 */
const FENCE_STEP = 1_000_000;

/** State of the engine and its leases, as this node last saw them. */
export interface EngineView {
  /** Last state read; undefined before the first successful read. */
  readonly state?: EngineState;
  readonly isReachable: boolean;
  /** Number of adapters that are leased or requested but not loaded. */
  readonly loads: number;
  /** Number of leases that are currently granted. */
  readonly leases: number;
  /**
   * Expected time until a base model is loaded, in milliseconds; 0 when one is
   * loaded or the time is not known.
   */
  readonly modelReadyMs: number;
  /** Prompt tokens that the engine reads in a millisecond, as observed; 0 if unknown. */
  readonly promptTokensPerMs: number;
  /** Limit of the engine, in requests per second; 0 for none. */
  readonly limitPerSecond: number;
  /** Time until the limit allows one more request than wait now, in milliseconds. */
  readonly limitWaitMs: number;
}

/** Polls one engine, decides its orders, and manages the leases on its adapters. */
export class EngineController {
  private readonly leases: Leases;
  private readonly limit = new StatedLimit();
  private readonly frequency = new AgedFrequency({
    halfLifeMs: FREQUENCY_HALF_LIFE_MS,
  });
  private state: EngineState | undefined;
  /** Number of consecutive failed reads. */
  private failedReads = 0;
  /** Fencing number for orders to the current incarnation of the engine. */
  private fence = 0;
  private modelLoad: ModelLoad | undefined;
  private backoffUntilMs = 0;
  private loggedAtMs = 0;
  /** Monotonic time at which the last read began, in milliseconds. */
  private readAtMs = -Infinity;
  private isPolling = false;
  private isClosed = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly engine: ManagedEngine,
    /** Capacity and models of the engine; undefined until the configuration is known. */
    private readonly shape: () => EngineShape | undefined,
    private readonly crashWatch: Pick<
      CrashWatch,
      'recordUnreachable' | 'recordIncarnation'
    >,
  ) {
    this.leases = new Leases({
      maxGranted: () => (shape()?.batchSlots ?? Infinity) * GRANTED_BATCH_SHARE,
      limit: this.limit,
    });
    this.schedule(0);
  }

  view(): EngineView {
    const isReachable =
      this.state !== undefined && this.failedReads < MAX_FAILED_READS;
    const demands = this.leases.demands();
    const waitingCount = demands.reduce((sum, {waiting}) => sum + waiting, 0);
    const missingCount = demands.filter(demand => !this.isHeld(demand)).length;
    return {
      state: this.state,
      isReachable,
      loads: missingCount,
      leases: this.leases.grantedCount,
      modelReadyMs: this.modelReadyMs(),
      promptTokensPerMs: this.leases.observedPrefillRate,
      limitPerSecond: this.limit.perSecond,
      limitWaitMs: this.limit.waitMs(waitingCount, this.monotonicMs()),
    };
  }

  /** Number of client accounts of which leases wait. */
  waitingAccounts(): number {
    return this.leases.waitingAccounts();
  }

  private monotonicMs(): number {
    return this.context.clock.monotonicMs();
  }

  /** See {@link EngineView.modelReadyMs}. */
  private modelReadyMs(): number {
    const model = this.shape()?.models[0];
    if (this.state === undefined || model === undefined) return 0;
    if (this.state.models.length > 0) return 0;
    return modelReadyMs(
      model.name,
      model.loadMs,
      this.modelLoad,
      this.monotonicMs(),
    );
  }

  /** Requests a lease on an adapter. The result is passed to `request.answer`. */
  acquire(request: LeaseRequest): LeaseHandle {
    const {model, adapter, requestedAtMs} = request;
    // The core reads these counts in its slot decision, where the model stands in
    // the place of the version (see `planOrder`).
    this.frequency.record(adapterKey({adapter, version: model}), requestedAtMs);
    const untilModelReadyMs = this.modelReadyMs();
    if (requestedAtMs + untilModelReadyMs > request.waitDeadlineMs) {
      request.answer(LEASE_REFUSAL.modelNotInTime, untilModelReadyMs);
      return {release: () => undefined};
    }
    const lease = this.leases.add(request, this.holdsAdapter, () =>
      this.monotonicMs(),
    );
    this.updateLeases();
    if (this.leases.hasWaiting()) this.schedule(0);
    return {
      release: () => {
        lease.release();
        this.updateLeases();
      },
    };
  }

  /**
   * Records the limit that an answer of the engine stated at the monotonic time `atMs`; 0 for
   * none. Ignored if another incarnation of the engine stated it.
   */
  recordLimit(perSecond: number, incarnationMs: number, atMs: number): void {
    const {state, context} = this;
    if (state === undefined || state.incarnationMs !== incarnationMs) return;
    const previous = this.limit.perSecond;
    this.limit.record(perSecond, atMs, this.monotonicMs());
    if (previous > 0 === this.limit.perSecond > 0) return;
    context.log.warn('engine_limit', {per_second: this.limit.perSecond});
  }

  /** Records the time from the start of a granted request to its first event, in milliseconds. */
  recordFirstEvent(promptTokens: number, firstEventMs: number): void {
    this.leases.recordFirstEvent(promptTokens, firstEventMs);
  }

  /** Refuses all waiting leases and sends no further orders. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    this.leases.refuseWaiting('target_node_stopping');
  }

  private schedule(delayMs: number): void {
    if (this.isClosed || (this.isPolling && delayMs === 0)) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.poll().catch((error: Error) =>
        this.context.log.error('engine_control_failed', {
          message: error.message,
        }),
      );
    }, delayMs);
  }

  private async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    try {
      if (this.isReadDue()) {
        await this.readState();
        await this.sendOrders();
      } else this.updateLeases();
    } finally {
      this.isPolling = false;
      const isBusy = this.leases.hasWaiting() || this.awaitsChange();
      this.schedule(isBusy ? BUSY_POLL_INTERVAL_MS : POLL_INTERVAL_MS);
    }
  }

  private isReadDue(): boolean {
    const sinceReadMs = this.monotonicMs() - this.readAtMs;
    return sinceReadMs >= POLL_INTERVAL_MS || this.awaitsChange();
  }

  /** Returns whether the state of the engine is about to change, or may have. */
  private awaitsChange(): boolean {
    // A second failed read tells a crash from a single broken connection.
    if (this.isLoading() || this.failedReads === 1) return true;
    return this.leases
      .demands()
      .some(demand => demand.waiting > 0 && !this.isHeld(demand));
  }

  private isLoading(): boolean {
    return (this.state?.loading.length ?? 0) > 0;
  }

  /** Logs the engine state at most once per second, to relate late answers to it. */
  private logState(): void {
    const nowMs = this.monotonicMs();
    const {state} = this;
    if (state === undefined || nowMs - this.loggedAtMs < STATE_LOG_MS) return;
    this.loggedAtMs = nowMs;
    const demands = this.leases.demands();
    const leased = demands.filter(demand => this.isHeld(demand)).length;
    this.context.log.info('engine_state', {
      held: state.models.reduce((sum, model) => sum + model.adapters.length, 0),
      loading: state.loading.length,
      leased,
      wanted: demands.length - leased,
      leases: this.leases.grantedCount,
      running: state.running,
      waiting: state.waiting,
      cache_used: state.cacheUsed,
      tokens_per_ms: this.leases.prefillRate.toFixed(1),
    });
  }

  private async readState(): Promise<void> {
    this.readAtMs = this.monotonicMs();
    const result = await this.engine.state();
    if (result.isErr()) {
      this.handleReadFailure(result.error);
      return;
    }
    const previousState = this.state;
    if (this.failedReads >= MAX_FAILED_READS) {
      this.context.log.info('engine_regained');
    }
    this.failedReads = 0;
    this.state = result.value;
    this.crashWatch.recordIncarnation(result.value.incarnationMs);
    if (previousState?.incarnationMs !== result.value.incarnationMs) {
      this.adoptIncarnation(result.value);
    }
    this.trackModelLoad(result.value);
    this.updateLeases();
    this.logState();
  }

  /** Clears a finished model load, and records one that an earlier process ordered. */
  private trackModelLoad({models, isBusy}: EngineState): void {
    const model = this.shape()?.models[0]?.name;
    if (models.length > 0) this.modelLoad = undefined;
    else if (isBusy && model !== undefined) {
      this.modelLoad ??= {model, startedAtMs: this.monotonicMs()};
    }
  }

  private handleReadFailure({kind, message}: EngineFailure): void {
    this.failedReads += 1;
    if (
      kind === ENGINE_FAILURE.unreachable &&
      this.failedReads === CRASH_FAILED_READS
    ) {
      this.crashWatch.recordUnreachable();
    }
    if (this.failedReads !== MAX_FAILED_READS) return;
    this.context.log.warn('engine_lost', {kind, message});
    this.context.metrics.count('engine_lost', kind);
    this.leases.refuseWaiting(LEASE_REFUSAL.engineUnreachable);
  }

  private adoptIncarnation(state: EngineState): void {
    const {incarnationMs, acceptedOrders} = state;
    this.modelLoad = undefined;
    this.limit.reset();
    this.fence = orderFence(incarnationMs, acceptedOrders);
    this.context.log.info('engine_incarnation', {
      incarnation_ms: incarnationMs,
      accepted_orders: acceptedOrders,
      fence: this.fence,
    });
  }

  private updateLeases(): void {
    if (this.state === undefined) return;
    this.leases.grantAndExpire(this.holdsAdapter, this.monotonicMs());
  }

  private readonly holdsAdapter: HoldsAdapter = (model, adapter, version) =>
    this.isHeld({model, adapter, version});

  private isHeld(needed: NeededAdapter): boolean {
    return holdsAdapter(this.state?.models ?? [], needed);
  }

  private nextOrder(): PlannedOrder | undefined {
    const {state, context} = this;
    const shape = this.shape();
    if (state === undefined || shape === undefined || state.leaving) {
      return undefined;
    }
    const {adapterVersions} = context.directory.current();
    return planOrder({
      state,
      shape,
      demands: this.leases.demands(),
      newestVersion: (model, adapter) =>
        adapterVersions.get(modelAdapterKey(model, adapter)) ?? 0,
      frequency: this.frequency,
      nowMs: this.monotonicMs(),
    });
  }

  /** Sends orders one at a time and reads the engine state again after each. */
  private async sendOrders(): Promise<void> {
    if (this.failedReads > 0) return;
    while (this.monotonicMs() >= this.backoffUntilMs) {
      // After a pause of this process its copy of the state may be outdated, so
      // it reads again before ordering.
      if (this.context.pauses.pauseMs() > 0) return;
      const order = this.nextOrder();
      if (order === undefined || this.isClosed) return;
      const isAccepted = await this.sendOrder(order);
      if (!isAccepted) return;
      await this.readState();
    }
  }

  private async sendOrder(order: PlannedOrder): Promise<boolean> {
    const {context, state} = this;
    if (state === undefined) return false;
    const result = await this.engine.order({
      ...order,
      holder: context.name,
      fence: this.fence,
      expectedOrders: state.acceptedOrders,
    });
    const logFields = {
      order: order.kind,
      model: order.model,
      adapter: order.adapter ?? '',
      version: order.version,
      fence: this.fence,
      accepted_orders: state.acceptedOrders,
    };
    if (result.isOk()) {
      if (order.kind === 'load' && order.adapter === undefined) {
        this.modelLoad = {model: order.model, startedAtMs: this.monotonicMs()};
      }
      context.metrics.count('order', order.kind);
      context.log.info('order', logFields);
      return true;
    }
    const {kind, message} = result.error;
    context.metrics.count('order_failed', kind);
    context.log.warn('order_failed', {...logFields, kind, message});
    // Only this VM sends orders to the engine, so a higher number comes from an
    // earlier process on it.
    if (kind === ENGINE_FAILURE.fenced) this.fence += FENCE_STEP;
    this.backoffUntilMs = this.monotonicMs() + ORDER_BACKOFF_MS;
    return false;
  }
}
