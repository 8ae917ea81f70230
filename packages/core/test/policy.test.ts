import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  AgedFrequency,
  batchDelayMs,
  planLoad,
  rankTargets,
  routeCandidates,
  type SlotTable,
  type TargetReport,
  type TargetView,
} from '@balsamnotch/core';

const TOLERANCES = {stallWeight: 4, batchWaitMs: 0};

function version(adapter: string) {
  return {adapter, version: 'v1'};
}

function table(
  slots: ReadonlyArray<{adapter: string; pins: number}>,
): SlotTable {
  return {
    engineIncarnation: 'e0',
    capacity: slots.length,
    slots: slots.map(slot => ({...slot, version: 'v1', lastUsedMs: 0})),
    loading: [],
  };
}

function frequencyOf(counts: Readonly<Record<string, number>>): AgedFrequency {
  const frequency = new AgedFrequency();
  for (const [adapter, count] of Object.entries(counts)) {
    for (let i = 0; i < count; i++) frequency.record(`${adapter}@v1`, 0);
  }
  return frequency;
}

function view(
  name: string,
  changes: Partial<TargetReport>,
  recentShare: number = 1,
): TargetView {
  const report: TargetReport = {
    node: name,
    incarnation: 'i0',
    engineIncarnation: 'e0',
    nodeClockMs: 0,
    revision: 1,
    state: 'serving',
    queued: 0,
    active: 1,
    batchSize: 16,
    slots: 8,
    loaded: [],
    loadsPending: 0,
    serviceMs: 1_000,
    ...changes,
  };
  return {
    name,
    weight: 1,
    report,
    reportAtMs: 0,
    sentSince: 0,
    avoidUntilMs: 0,
    recentShare,
  };
}

const LOADED = [{...version('a'), active: 1, queued: 0}];

describe('slots', () => {
  const load = {...version('new'), requests: 1, sinceMs: 0};

  it('evicts the idle adapter with the lowest request frequency, not the least recently used one', () => {
    const frequency = frequencyOf({often: 5, rare: 1, new: 9});
    const slots = table([
      {adapter: 'often', pins: 0},
      {adapter: 'rare', pins: 0},
    ]);
    const plan = planLoad(slots, [load], {frequency, nowMs: 0});
    assert.equal(plan?.evict?.adapter, 'rare');
  });

  it('never evicts a pinned adapter', () => {
    const slots = table([{adapter: 'rare', pins: 1}]);
    const frequency = frequencyOf({new: 9});
    const plan = planLoad(slots, [load], {frequency, nowMs: 0});
    assert.equal(plan, undefined);
  });

  // Otherwise rarely requested adapters would push popular ones out of all slots.
  it('makes a rare adapter wait for a second probation slot in proportion to the frequency of the evicted one', () => {
    const frequency = frequencyOf({often: 4, tail: 1, new: 1});
    const slots = table([
      {adapter: 'often', pins: 0},
      {adapter: 'tail', pins: 1},
    ]);
    const planAt = (nowMs: number) =>
      planLoad(slots, [load], {frequency, nowMs, probationDelayMs: 1_000});
    assert.equal(planAt(2_000), undefined);
    assert.equal(planAt(4_000)?.evict?.adapter, 'often');
  });
});

describe('frequency', () => {
  it('halves counts in each half-life', () => {
    const frequency = new AgedFrequency({halfLifeMs: 1_000});
    frequency.record('a', 0);
    assert.equal(frequency.count('a', 2_000), 0.25);
  });

  it('discounts earlier counts after a shift of popularity, but not under steady requests', () => {
    const frequency = new AgedFrequency();
    for (let i = 0; i < 600; i++) frequency.record(`a${i % 20}`, i);
    assert.ok(frequency.count('a0', 600) > 25);
    for (let i = 0; i < 60; i++) frequency.record(`b${i}`, 600);
    assert.ok(frequency.count('a0', 600) < 3);
  });
});

describe('routing', () => {
  const route = (views: readonly TargetView[], adapterShare = 1) =>
    routeCandidates(version('a'), views, 0, {
      tolerances: TOLERANCES,
      adapterShare,
    })[0]?.target;

  it('prefers the target that holds the adapter', () => {
    const views = ['t0', 't1', 't2'].map(name =>
      view(name, {loaded: name === 't1' ? LOADED : []}),
    );
    assert.equal(route(views), 't1');
  });

  it('adds a replica if the holder of a popular adapter is overloaded, but not for a rare adapter', () => {
    const views = [view('t0', {loaded: LOADED}, 2), view('t1', {}, 0.5)];
    assert.equal(route(views, 1), 't1');
    assert.equal(route(views, 0.05), 't0');
  });

  it('considers a holder even if it has the lowest rank of 600 targets', () => {
    const targets = Array.from({length: 600}, (_, i) => ({
      name: `t${i}`,
      weight: 1,
    }));
    const last = rankTargets('a@v1', targets).at(-1)?.name;
    const views = targets.map(({name}) =>
      view(name, {loaded: name === last ? LOADED : []}),
    );
    assert.equal(route(views), last);
  });
});

describe('batching', () => {
  const limits = {batchSize: 4, batchWaitMs: 100};

  it('delays the start of an idle engine, but not requests that join a running batch', () => {
    const ready = {requests: 1, sinceMs: 50};
    assert.equal(batchDelayMs({...ready, active: 0}, 60, limits), 90);
    assert.equal(batchDelayMs({...ready, active: 1}, 60, limits), 0);
  });

  it('starts a full batch at once', () => {
    const full = {requests: 4, active: 0, sinceMs: 50};
    assert.equal(batchDelayMs(full, 50, limits), 0);
  });
});
