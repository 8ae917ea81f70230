import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  LOAD_LIMITS,
  adapterKey,
  reconcileCopy,
  initialCopy,
  isAbandoned,
  nextLoad,
  withAbandonedLoad,
  withFailedLoad,
  withInheritedPins,
  withLoaded,
  withPins,
  withReservation,
  waitingLoads,
  withoutInheritedPins,
  type AdapterDemand,
  type EngineCopy,
} from '@balsamnotch/core';

const seed = Number(process.env.BALSAMNOTCH_SEED ?? 1);
const slots = 2;
const version = (adapter: string) => ({adapter, version: '1'});
const engineWith = (...adapters: string[]) => ({
  incarnation: 'e1',
  slots,
  loaded: adapters.map(version),
});
const demand = (
  adapter: string,
  {queued = 0, active = 0}: {queued?: number; active?: number},
): AdapterDemand => ({...version(adapter), queued, active, sinceMs: 0});

/** Generates one step of a random schedule over the adapters a to e. */
const steps = fc.record({
  kind: fc.constantFrom(
    'request',
    'request',
    'start',
    'start',
    'end',
    'end',
    'order',
    'order',
    'loaded',
    'loaded',
    'failed',
    'abandoned',
    'read',
  ),
  adapter: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
});

/** Runs steps against an engine that agrees with the copy, and checks every order. */
class Simulation {
  copy: EngineCopy = initialCopy(engineWith(), 0);
  nowMs = 0;
  readonly use = new Map<string, {queued: number; active: number}>();
  /** Adapters with a load order in progress. */
  readonly inFlight = new Set<string>();
  /** Adapters whose load order was abandoned; the engine may still carry it out. */
  readonly abandoned = new Set<string>();

  demands(): AdapterDemand[] {
    return [...this.use].map(([adapter, use]) => demand(adapter, use));
  }

  run({kind, adapter}: {kind: string; adapter: string}): void {
    this.nowMs += 50;
    const use = this.use.get(adapter) ?? {queued: 0, active: 0};
    const isLoaded = this.copy.table.slots.some(
      slot => slot.adapter === adapter,
    );
    const isLoading = this.inFlight.has(adapter);
    if (kind === 'request') use.queued += 1;
    if (kind === 'start' && isLoaded && use.queued > 0) {
      use.active += use.queued;
      use.queued = 0;
    }
    if (kind === 'end') use.active = 0;
    this.use.set(adapter, use);
    if (kind === 'order') this.order();
    if (kind === 'loaded' && (isLoading || this.abandoned.has(adapter))) {
      this.inFlight.delete(adapter);
      this.abandoned.delete(adapter);
      this.copy = withLoaded(this.copy, version(adapter), this.nowMs);
    }
    if (kind === 'failed' && isLoading) {
      this.inFlight.delete(adapter);
      const {nowMs} = this;
      const random = () => 0.5;
      this.copy = withFailedLoad(
        this.copy,
        version(adapter),
        nowMs,
        LOAD_LIMITS,
        random,
      ).copy;
    }
    if (kind === 'abandoned' && isLoading) {
      this.inFlight.delete(adapter);
      this.abandoned.add(adapter);
      const load = version(adapter);
      this.copy = withAbandonedLoad(this.copy, load, this.nowMs, LOAD_LIMITS);
    }
    if (kind === 'read') this.read();
    this.check();
  }

  private order(): void {
    const demands = this.demands();
    this.copy = withPins(this.copy, demands, this.nowMs);
    const plan = nextLoad(this.copy, demands, this.nowMs);
    if (plan === undefined) return;
    const victim = plan.evict;
    const use = victim && this.use.get(victim.adapter);
    assert.equal(
      use?.queued ?? 0,
      0,
      'evicts an adapter with a queued request',
    );
    assert.equal(use?.active ?? 0, 0, 'evicts an adapter with an open stream');
    assert.ok(
      !this.inFlight.has(victim?.adapter ?? ''),
      'evicts an adapter that is being loaded',
    );
    assert.ok(
      !this.inFlight.has(plan.load.adapter),
      'orders a load that is in progress',
    );
    this.inFlight.add(plan.load.adapter);
    this.copy = withReservation(this.copy, plan);
  }

  private read(): void {
    const busy = new Set(
      [...this.inFlight].map(name => adapterKey(version(name))),
    );
    const engine = engineWith(
      ...this.copy.table.slots.map(slot => slot.adapter),
    );
    const {copy, foreign} = reconcileCopy(
      this.copy,
      engine,
      busy,
      new Set(),
      this.nowMs,
    );
    assert.deepEqual(foreign, {appeared: [], vanished: []});
    this.copy = copy;
  }

  private check(): void {
    const {slots: occupied, loading, capacity} = this.copy.table;
    const used = occupied.length + loading.length + this.abandoned.size;
    assert.ok(used <= capacity, 'uses more slots than the engine has');
  }
}

describe('loads', () => {
  it('never evicts a pinned adapter or orders a load twice, under random schedules', () => {
    let evictions = 0;
    fc.assert(
      fc.property(
        fc.array(steps, {minLength: 50, maxLength: 200}),
        schedule => {
          const simulation = new Simulation();
          for (const step of schedule) {
            const before = simulation.copy.table.slots.length;
            simulation.run(step);
            if (simulation.copy.table.slots.length < before) evictions += 1;
          }
        },
      ),
      {seed, numRuns: 500},
    );
    // Without this check a node that never evicts would pass.
    assert.ok(evictions > 100, `${evictions} evictions`);
  });

  it('keeps adapters of an earlier process pinned until the engine is idle or the time limit has passed', () => {
    const waiting = [demand('c', {queued: 1})];
    const planAt = (copy: EngineCopy, nowMs: number) =>
      nextLoad(withPins(copy, waiting, nowMs), waiting, nowMs);
    const fresh = initialCopy(engineWith('a', 'b'), 0);
    const copy = withInheritedPins(fresh, 0, LOAD_LIMITS);
    assert.equal(planAt(copy, 1_000), undefined);
    assert.ok(planAt(copy, LOAD_LIMITS.inheritedMs));
    assert.ok(planAt(withoutInheritedPins(copy), 1_000));
  });

  it('backs off between failed loads and gives up after the last attempt, so a broken adapter does not use up permits', () => {
    const waiting = [demand('a', {queued: 1})];
    let copy = initialCopy(engineWith(), 0);
    const backoffsMs: number[] = [];
    for (let attempt = 1; attempt <= LOAD_LIMITS.attempts; attempt++) {
      const failed = withFailedLoad(
        copy,
        version('a'),
        0,
        LOAD_LIMITS,
        () => 0.5,
      );
      copy = failed.copy;
      backoffsMs.push(copy.failures.get('a@1')?.notBeforeMs ?? 0);
      assert.equal(failed.givenUp, attempt === LOAD_LIMITS.attempts);
      const isOrderable = waitingLoads(copy, waiting, 0).length > 0;
      assert.equal(isOrderable, failed.givenUp);
    }
    assert.deepEqual(backoffsMs, [200, 400, 0]);
  });

  it('blocks an abandoned load for a while, but records it if it completes late', () => {
    const plan = {load: version('a')};
    let copy = withReservation(initialCopy(engineWith(), 0), plan);
    copy = withAbandonedLoad(copy, plan.load, 0, LOAD_LIMITS);
    assert.ok(isAbandoned(copy, plan.load, 1_000));
    assert.equal(copy.table.loading.length, 0);
    const late = withLoaded(copy, plan.load, 2_000);
    assert.equal(late.table.slots.length, 1);
    assert.ok(!isAbandoned(late, plan.load, 2_000));
  });

  it('corrects the copy from a report, except for adapters with an order in progress during the read', () => {
    const copy = initialCopy(engineWith('a', 'b'), 0);
    const busy = new Set(['b@1', 'c@1']);
    const reported = engineWith('c', 'd');
    const corrected = reconcileCopy(copy, reported, busy, new Set(), 0);
    const names = corrected.copy.table.slots.map(slot => slot.adapter);
    assert.deepEqual(names, ['b', 'd']);
    const {appeared, vanished} = corrected.foreign;
    assert.deepEqual(appeared.map(adapterKey), ['d@1']);
    assert.deepEqual(vanished.map(adapterKey), ['a@1']);
  });
});
