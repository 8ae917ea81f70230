/**
 * Measures how the time of a routing decision, the memory for state and the size
 * of messages grow with the number of adapters and targets.
 */
import {
  AgedFrequency,
  NODE_STATE,
  routeCandidates,
  type TargetReport,
  type TargetView,
} from '@balsamnotch/core';
import {
  LendRequestSchema,
  LendResponseSchema,
  ReportSchema,
} from '@balsamnotch/wire';
import {create, toBinary} from '@bufbuild/protobuf';
import {randomSource} from './trace.js';

const SLOTS_PER_TARGET = 8;
const DECISION_COUNT = 2_000;

function adapterName(index: number): string {
  return `adapter-${String(index).padStart(6, '0')}`;
}

function createReport(
  index: number,
  adapters: number,
  random: () => number,
): TargetReport {
  return {
    node: `target-${index}`,
    incarnation: index.toString(16).padStart(32, '0'),
    engineIncarnation: index.toString(16).padStart(32, '1'),
    nodeClockMs: 1e6,
    revision: 12,
    state: NODE_STATE.serving,
    queued: Math.floor(random() * 4),
    active: Math.floor(random() * 8),
    batchSize: 16,
    slots: SLOTS_PER_TARGET,
    loaded: Array.from({length: SLOTS_PER_TARGET}, () => ({
      adapter: adapterName(Math.floor(random() * adapters)),
      version: 'v1',
      active: Math.floor(random() * 2),
      queued: 0,
    })),
    loadsPending: Math.floor(random() * 2),
    serviceMs: 1_400,
  };
}

function createViews(targets: number, adapters: number): readonly TargetView[] {
  const random = randomSource(1);
  return Array.from({length: targets}, (_, i) => ({
    name: `target-${i}`,
    weight: 1,
    report: createReport(i, adapters, random),
    reportAtMs: 1_000,
    sentSince: 0,
    avoidUntilMs: 0,
    recentShare: 0.5 + random(),
  }));
}

function createFrequencies(adapters: number): AgedFrequency {
  const frequency = new AgedFrequency({capacity: 2 * adapters});
  for (let i = 0; i < adapters; i++) frequency.record(adapterName(i), i / 100);
  return frequency;
}

/** Median time of a routing decision, in microseconds. */
function medianDecisionMicros(targets: number, adapters: number): number {
  const views = createViews(targets, adapters);
  const frequency = createFrequencies(adapters);
  const random = randomSource(2);
  const options = {
    tolerances: {stallWeight: 4, batchWaitMs: 0},
    loadsPerSecond: 3,
    frequency: (key: string) => frequency.count(key, 2_000),
    adapterShare: 0.1,
  };
  const durationsMicros = Array.from({length: DECISION_COUNT}, () => {
    const adapter = adapterName(Math.floor(random() * adapters));
    const request = {adapter, version: 'v1'};
    const startedNs = process.hrtime.bigint();
    routeCandidates(request, views, 2_000, options);
    return Number(process.hrtime.bigint() - startedNs) / 1_000;
  });
  durationsMicros.sort((a, b) => a - b);
  return durationsMicros[Math.floor(durationsMicros.length / 2)] ?? 0;
}

/** Returns the heap that a value occupies, in bytes. */
function heapBytes(make: () => unknown): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = make();
  globalThis.gc?.();
  const growth = process.memoryUsage().heapUsed - before;
  // This use of the value keeps it from being collected before the heap is read.
  return kept === undefined ? 0 : growth;
}

/** Size of a report on the wire, in bytes. */
function encodedReportBytes(report: TargetReport): number {
  const message = create(ReportSchema, {
    ...report,
    state: 2,
    revision: BigInt(report.revision),
    loaded: [...report.loaded],
  });
  return toBinary(ReportSchema, message).length;
}

/** Sizes of a lend request and its response on the wire, in bytes. */
function encodedLendBytes(): {request: number; response: number} {
  const request = create(LendRequestSchema, {
    envelope: {
      sender: 'target-0',
      revision: 12n,
      expectedIncarnation: '0'.repeat(32),
      deadlineNodeClockMs: 1e6,
      budgetMs: 130,
      requestId: '0'.repeat(32),
    },
    coordinator: 'target-0',
    leaseMs: 3_000,
    permits: 1,
    permitMs: 130,
    grant: 4_711n,
  });
  const response = create(LendResponseSchema, {
    loadsPerSecond: 0.5,
    burst: 0.33,
    waitingRequests: 3,
    loadsWanted: 2,
  });
  return {
    request: toBinary(LendRequestSchema, request).length,
    response: toBinary(LendResponseSchema, response).length,
  };
}

function main(): void {
  if (globalThis.gc === undefined) {
    throw new Error('the heap cannot be measured: start node with --expose-gc');
  }
  // Warms up: the first decisions run before the JIT compiler has optimised the code.
  medianDecisionMicros(6, 3_000);
  for (const adapters of [3_000, 30_000, 150_000]) {
    for (const targets of [6, 60, 600]) {
      const micros = medianDecisionMicros(targets, adapters);
      console.log(
        `routing decision  ${adapters} adapters  ${targets} targets  median ${micros.toFixed(1)} us`,
      );
    }
  }
  for (const adapters of [3_000, 150_000]) {
    const bytes = heapBytes(() => createFrequencies(adapters));
    console.log(
      `frequency state  ${adapters} adapters  ${(bytes / adapters).toFixed(0)} bytes each`,
    );
  }
  for (const targets of [6, 600]) {
    const bytes = heapBytes(() => createViews(targets, 150_000));
    console.log(
      `view state  ${targets} targets  ${(bytes / targets).toFixed(0)} bytes each`,
    );
  }
  console.log(
    `report  ${SLOTS_PER_TARGET} slots  ${encodedReportBytes(createReport(0, 150_000, randomSource(3)))} bytes encoded`,
  );
  const {request, response} = encodedLendBytes();
  console.log(`lend  request ${request} bytes, response ${response} bytes`);
  const totalBytes = heapBytes(() => [
    createFrequencies(150_000),
    createViews(600, 150_000),
  ]);
  console.log(
    `core state of a process  150000 adapters  600 targets  ${(totalBytes / 2 ** 20).toFixed(1)} MB over an empty one`,
  );
}

main();
