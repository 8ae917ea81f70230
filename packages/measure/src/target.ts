/** Simulated target process with its engine: queue, slots, loads and reports. */
import {
  AgedFrequency,
  NODE_STATE,
  TICK_INTERVAL_MS,
  emptySlots,
  enqueue,
  isLoadedOrLoading,
  nextWork,
  splitExpired,
  type AdapterVersion,
  type LoadPlan,
  type QueuedWork,
  type SlotTable,
  type TargetReport,
  type WaitingLoad,
  type WorkQueue,
} from '@balsamnotch/core';
import type {Engine, WeightStore} from './engine.js';
import type {EventQueue} from './events.js';
import type {Limiter, LoadingTarget} from './limiter.js';
import type {Policy} from './policies.js';
import type {Deployment, Request} from './trace.js';

/** A request at a target, with callbacks to the entry that sent it. */
export interface Work extends QueuedWork {
  readonly request: Request;
  readonly key: AdapterVersion;
  /** Arrival at the target, in virtual milliseconds. */
  readonly sinceMs: number;
  /** Whether the request waits, or has waited, for a load. */
  isStalled: boolean;
  onStart(isStalled: boolean): void;
  onEnd(): void;
  onRefuse(reason: string, isStalled: boolean): void;
  /** Called when the target has lost the request, which may then run elsewhere. */
  onLost(): void;
}

/** Collaborators and settings of a target. */
export interface TargetDependencies {
  readonly events: EventQueue;
  readonly engine: Engine;
  readonly store: WeightStore;
  readonly limiter: () => Limiter;
  readonly policy: Policy;
  readonly deployment: Deployment;
}

/** A simulated target process. */
export class Target implements LoadingTarget {
  private queue: WorkQueue<Work> = [];
  private running: Work[] = [];
  private table: SlotTable;
  private lastUsedMs = new Map<string, number>();
  private frequency = new AgedFrequency();
  /** The last list of waiting loads, with the queue and table from which it was computed. */
  private cache?: {
    readonly queue: WorkQueue<Work>;
    readonly table: SlotTable;
    readonly waiting: readonly WaitingLoad[];
  };
  private isTickScheduled = false;
  private incarnation = 0;
  private batchWaitEndMs = 0;
  /** Moving average of the time that a request spends in the engine. */
  private serviceMs = 1_000;

  constructor(
    readonly index: number,
    private readonly deps: TargetDependencies,
  ) {
    this.table = emptySlots('e0', deps.deployment.slotsPerTarget);
  }

  get name(): string {
    return `t${this.index}`;
  }

  /** Queues a request, or refuses it when the queue is full. */
  receive(work: Work): void {
    const {queueLimit} = this.deps.deployment;
    this.frequency.record(work.key.adapter + '@v1', this.nowMs);
    const queued = enqueue(this.queue, work, queueLimit);
    if (queued.isErr()) {
      work.onRefuse(queued.error.reason, false);
      return;
    }
    work.isStalled = !this.isLoaded(work.key);
    this.queue = queued.value;
    this.deps.events.at(work.deadlineMs + 1, () => {
      if (this.queue.includes(work)) this.step();
    });
    this.step();
  }

  /** Restarts the process and its engine: queue, running requests and loaded adapters are lost. */
  restart(): void {
    const lost = [...this.queue, ...this.running];
    this.queue = [];
    this.running = [];
    this.incarnation += 1;
    this.table = emptySlots(`e${this.incarnation}`, this.table.capacity);
    this.frequency = new AgedFrequency();
    this.deps.engine.restart();
    this.deps.limiter().reset(this);
    for (const work of lost) work.onLost();
  }

  /** Refuses expired requests, then starts the requests and loads that are possible now. */
  step(): void {
    this.expire();
    this.startReady();
    for (;;) {
      const plan = this.nextLoad(this.tableWithPins(), this.waitingLoads());
      if (plan === undefined || !this.deps.limiter().tryAcquire(this)) break;
      this.startLoad(plan);
    }
    this.deps.limiter().updateDemand(this);
    this.scheduleTick();
  }

  /** Schedules another step while requests wait for loads, as the timer of a target process does. */
  private scheduleTick(): void {
    if (this.isTickScheduled || this.waitingLoads().length === 0) return;
    this.isTickScheduled = true;
    this.deps.events.after(TICK_INTERVAL_MS, () => {
      this.isTickScheduled = false;
      this.step();
    });
  }

  demand(maxLoads: number = Infinity) {
    let table = this.tableWithPins();
    const waiting = this.waitingLoads();
    const planned: WaitingLoad[] = [];
    while (planned.length < maxLoads) {
      const plan = this.nextLoad(table, waiting);
      if (plan === undefined) break;
      table = applyPlan(table, plan);
      const {load} = plan;
      const waitingLoad = waiting.find(each => each.adapter === load.adapter);
      if (waitingLoad === undefined) break;
      planned.push(waitingLoad);
    }
    return {
      index: this.index,
      loadsWanted: planned.length,
      waitingRequests: planned.reduce((sum, each) => sum + each.requests, 0),
      sinceMs: Math.min(Infinity, ...planned.map(each => each.sinceMs)),
    };
  }

  report(): TargetReport {
    const {batchSize} = this.deps.deployment;
    const waiting = this.waitingLoads();
    const held = [...this.table.slots, ...this.table.loading, ...waiting];
    return {
      node: this.name,
      incarnation: `${this.incarnation}`,
      engineIncarnation: this.table.engineIncarnation,
      nodeClockMs: this.nowMs,
      revision: 1,
      state: NODE_STATE.serving,
      queued: this.queue.length,
      active: this.running.length,
      batchSize,
      slots: this.table.capacity,
      loaded: held.map(({adapter, version}) => ({
        adapter,
        version,
        active: this.running.filter(work => work.key.adapter === adapter)
          .length,
        queued: this.queue.filter(work => work.key.adapter === adapter).length,
      })),
      loadsPending: waiting.length + this.table.loading.length,
      serviceMs: this.serviceMs,
    };
  }

  private get nowMs(): number {
    return this.deps.events.nowMs;
  }

  private isLoaded(key: AdapterVersion): boolean {
    return this.table.slots.some(slot => slot.adapter === key.adapter);
  }

  private expire(): void {
    const {kept, expired: late} = splitExpired(this.queue, this.nowMs);
    if (late.length === 0) return;
    this.queue = kept;
    for (const work of late) work.onRefuse('deadline_exceeded', work.isStalled);
  }

  private startReady(): void {
    const {batchSize} = this.deps.deployment;
    while (this.running.length < batchSize) {
      const isReady = (work: Work) => this.isLoaded(work.key);
      const next = nextWork(this.queue, isReady);
      if (next === undefined || this.defers(this.queue.filter(isReady))) return;
      this.queue = this.queue.filter(work => work !== next);
      this.start(next);
    }
  }

  /**
   * Returns true if the ready requests have to wait for a fuller batch, and schedules a
   * step for the end of that wait.
   */
  private defers(ready: readonly Work[]): boolean {
    const {policy, deployment, events} = this.deps;
    const sinceMs = Math.min(...ready.map(work => work.sinceMs));
    const work = {
      requests: ready.length,
      active: this.running.length,
      sinceMs,
    };
    const delayMs = policy.batchDelayMs(work, this.nowMs, deployment);
    if (delayMs > 0 && this.batchWaitEndMs < this.nowMs + delayMs) {
      this.batchWaitEndMs = this.nowMs + delayMs;
      events.at(this.batchWaitEndMs, () => this.step());
    }
    return delayMs > 0;
  }

  private start(work: Work): void {
    const startedAtMs = this.nowMs;
    this.running.push(work);
    this.lastUsedMs.set(work.key.adapter, startedAtMs);
    work.onStart(work.isStalled);
    this.deps.engine.start(work.request.tokens, () => {
      this.running = this.running.filter(each => each !== work);
      this.lastUsedMs.set(work.key.adapter, this.nowMs);
      this.serviceMs += 0.05 * (this.nowMs - startedAtMs - this.serviceMs);
      work.onEnd();
      this.step();
    });
  }

  /** Returns the slot table with the current pins and times of last use. */
  private tableWithPins(): SlotTable {
    const pins = new Map<string, number>();
    for (const requests of [this.queue, this.running]) {
      for (const {key} of requests) {
        pins.set(key.adapter, (pins.get(key.adapter) ?? 0) + 1);
      }
    }
    const slots = this.table.slots.map(slot => ({
      ...slot,
      pins: pins.get(slot.adapter) ?? 0,
      lastUsedMs: this.lastUsedMs.get(slot.adapter) ?? 0,
    }));
    return {...this.table, slots};
  }

  private waitingLoads(): readonly WaitingLoad[] {
    const {cache, queue, table} = this;
    if (cache?.queue === queue && cache.table === table) return cache.waiting;
    const waiting = this.collectWaitingLoads();
    this.cache = {queue, table, waiting};
    return waiting;
  }

  private collectWaitingLoads(): readonly WaitingLoad[] {
    const loads = new Map<string, WaitingLoad | undefined>();
    for (const {key, sinceMs} of this.queue) {
      if (!loads.has(key.adapter)) {
        const first = {...key, requests: 0, sinceMs};
        loads.set(
          key.adapter,
          isLoadedOrLoading(this.table, key) ? undefined : first,
        );
      }
      const load = loads.get(key.adapter);
      if (load === undefined) continue;
      loads.set(key.adapter, {...load, requests: load.requests + 1});
    }
    return [...loads.values()].filter(load => load !== undefined);
  }

  private nextLoad(
    table: SlotTable,
    waiting: readonly WaitingLoad[],
  ): LoadPlan | undefined {
    const missing = waiting.filter(load => !isLoadedOrLoading(table, load));
    const {frequency, nowMs} = this;
    return this.deps.policy.plan({
      table,
      waiting: missing,
      frequency,
      nowMs,
    });
  }

  private startLoad(plan: LoadPlan): void {
    const {incarnation} = this;
    this.table = applyPlan(this.table, plan);
    this.deps.store.fetch(() => {
      if (incarnation !== this.incarnation) return;
      const {adapter, version} = plan.load;
      const loading = this.table.loading.filter(
        each => each.adapter !== adapter,
      );
      const slot = {adapter, version, pins: 0, lastUsedMs: this.nowMs};
      this.lastUsedMs.set(adapter, this.nowMs);
      this.table = {...this.table, loading, slots: [...this.table.slots, slot]};
      this.step();
    });
  }
}

/** Returns the table with the eviction done and the load in progress. */
function applyPlan(table: SlotTable, {load, evict}: LoadPlan): SlotTable {
  const slots = table.slots.filter(slot => slot.adapter !== evict?.adapter);
  const {adapter, version} = load;
  return {...table, slots, loading: [...table.loading, {adapter, version}]};
}
