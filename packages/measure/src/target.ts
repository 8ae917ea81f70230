/** A target process with its engine: queue, slots, loads and reports. */
import {
  AgedFrequency,
  NODE_STATE,
  TICK_INTERVAL_MS,
  emptySlots,
  enqueue,
  holds,
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
import type {Events} from './events.js';
import type {Limiter, Loader} from './limiter.js';
import type {Policy} from './policies.js';
import type {Deployment, Request} from './trace.js';

/** A request at a target. */
export interface Work extends QueuedWork {
  readonly request: Request;
  readonly key: AdapterVersion;
  readonly sinceMs: number;
  stalled: boolean;
  started(stalled: boolean): void;
  ended(): void;
  refused(reason: string, stalled: boolean): void;
  /** The target lost the request; it may run elsewhere. */
  lost(): void;
}

/** Parts of a target. */
export interface TargetParts {
  readonly events: Events;
  readonly engine: Engine;
  readonly store: WeightStore;
  readonly limiter: () => Limiter;
  readonly policy: Policy;
  readonly deployment: Deployment;
}

/** One target process. */
export class Target implements Loader {
  private queue: WorkQueue<Work> = [];
  private running: Work[] = [];
  private table: SlotTable;
  private lastUsedMs = new Map<string, number>();
  private frequency = new AgedFrequency();
  /** The last list of waiting loads, and the values it was made from. */
  private known?: {
    readonly queue: WorkQueue<Work>;
    readonly table: SlotTable;
    readonly waiting: readonly WaitingLoad[];
  };
  private hasTick = false;
  private incarnation = 0;
  private wakeMs = 0;
  private serviceMs = 1_000;

  constructor(
    readonly index: number,
    private readonly parts: TargetParts,
  ) {
    this.table = emptySlots('e0', parts.deployment.slots);
  }

  get name(): string {
    return `t${this.index}`;
  }

  receive(work: Work): void {
    const {queueLimit} = this.parts.deployment;
    this.frequency.record(work.key.adapter + '@v1', this.nowMs);
    const queued = enqueue(this.queue, work, queueLimit);
    if (queued.isErr()) {
      work.refused(queued.error.reason, false);
      return;
    }
    work.stalled = !this.isLoaded(work.key);
    this.queue = queued.value;
    this.parts.events.at(work.deadlineMs + 1, () => {
      if (this.queue.includes(work)) this.step();
    });
    this.step();
  }

  /** Process and engine lose everything. */
  restart(): void {
    const lost = [...this.queue, ...this.running];
    this.queue = [];
    this.running = [];
    this.incarnation += 1;
    this.table = emptySlots(`e${this.incarnation}`, this.table.capacity);
    this.frequency = new AgedFrequency();
    this.parts.engine.restart();
    this.parts.limiter().restart(this);
    for (const work of lost) work.lost();
  }

  step(): void {
    this.expire();
    this.startReady();
    for (;;) {
      const plan = this.plan(this.pinned(), this.waiting());
      if (plan === undefined || !this.parts.limiter().take(this)) break;
      this.load(plan);
    }
    this.parts.limiter().changed(this);
    this.tick();
  }

  /** Looks again for loads while requests wait, as the timer of a target process does. */
  private tick(): void {
    if (this.hasTick || this.waiting().length === 0) return;
    this.hasTick = true;
    this.parts.events.after(TICK_INTERVAL_MS, () => {
      this.hasTick = false;
      this.step();
    });
  }

  demand(most: number = Infinity) {
    let table = this.pinned();
    const waiting = this.waiting();
    const planned: WaitingLoad[] = [];
    while (planned.length < most) {
      const plan = this.plan(table, waiting);
      if (plan === undefined) break;
      table = afterPlan(table, plan);
      const {load} = plan;
      const wanted = waiting.find(each => each.adapter === load.adapter);
      if (wanted === undefined) break;
      planned.push(wanted);
    }
    return {
      index: this.index,
      loadsWanted: planned.length,
      waitingRequests: planned.reduce((sum, each) => sum + each.requests, 0),
      sinceMs: Math.min(Infinity, ...planned.map(each => each.sinceMs)),
    };
  }

  report(): TargetReport {
    const {batchSize} = this.parts.deployment;
    const waiting = this.waiting();
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
    return this.parts.events.nowMs;
  }

  private isLoaded(key: AdapterVersion): boolean {
    return this.table.slots.some(slot => slot.adapter === key.adapter);
  }

  private expire(): void {
    const {kept, expired} = splitExpired(this.queue, this.nowMs);
    if (expired.length === 0) return;
    this.queue = kept;
    for (const work of expired) work.refused('deadline_exceeded', work.stalled);
  }

  private startReady(): void {
    const {batchSize} = this.parts.deployment;
    while (this.running.length < batchSize) {
      const isReady = (work: Work) => this.isLoaded(work.key);
      const next = nextWork(this.queue, isReady);
      if (next === undefined || this.waits(this.queue.filter(isReady))) return;
      this.queue = this.queue.filter(work => work !== next);
      this.start(next);
    }
  }

  /** Tells whether the ready requests wait for a fuller batch, and wakes the target when they end. */
  private waits(ready: readonly Work[]): boolean {
    const {policy, deployment, events} = this.parts;
    const sinceMs = Math.min(...ready.map(work => work.sinceMs));
    const work = {
      requests: ready.length,
      active: this.running.length,
      sinceMs,
    };
    const delayMs = policy.batchDelayMs(work, this.nowMs, deployment);
    if (delayMs > 0 && this.wakeMs < this.nowMs + delayMs) {
      this.wakeMs = this.nowMs + delayMs;
      events.at(this.wakeMs, () => this.step());
    }
    return delayMs > 0;
  }

  private start(work: Work): void {
    const startedMs = this.nowMs;
    this.running.push(work);
    this.lastUsedMs.set(work.key.adapter, startedMs);
    work.started(work.stalled);
    this.parts.engine.start(work.request.tokens, () => {
      this.running = this.running.filter(each => each !== work);
      this.lastUsedMs.set(work.key.adapter, this.nowMs);
      this.serviceMs += 0.05 * (this.nowMs - startedMs - this.serviceMs);
      work.ended();
      this.step();
    });
  }

  private pinned(): SlotTable {
    const pins = new Map<string, number>();
    for (const works of [this.queue, this.running]) {
      for (const {key} of works) {
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

  private waiting(): readonly WaitingLoad[] {
    const {known, queue, table} = this;
    if (known?.queue === queue && known.table === table) return known.waiting;
    const waiting = this.listWaiting();
    this.known = {queue, table, waiting};
    return waiting;
  }

  private listWaiting(): readonly WaitingLoad[] {
    const loads = new Map<string, WaitingLoad | undefined>();
    for (const {key, sinceMs} of this.queue) {
      if (!loads.has(key.adapter)) {
        const first = {...key, requests: 0, sinceMs};
        loads.set(key.adapter, holds(this.table, key) ? undefined : first);
      }
      const load = loads.get(key.adapter);
      if (load === undefined) continue;
      loads.set(key.adapter, {...load, requests: load.requests + 1});
    }
    return [...loads.values()].filter(load => load !== undefined);
  }

  private plan(
    table: SlotTable,
    waiting: readonly WaitingLoad[],
  ): LoadPlan | undefined {
    const wanted = waiting.filter(load => !holds(table, load));
    const {frequency, nowMs} = this;
    return this.parts.policy.plan({table, waiting: wanted, frequency, nowMs});
  }

  private load(plan: LoadPlan): void {
    const {incarnation} = this;
    this.table = afterPlan(this.table, plan);
    this.parts.store.fetch(() => {
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

function afterPlan(table: SlotTable, {load, evict}: LoadPlan): SlotTable {
  const slots = table.slots.filter(slot => slot.adapter !== evict?.adapter);
  const {adapter, version} = load;
  return {...table, slots, loading: [...table.loading, {adapter, version}]};
}
