/**
 * Measures how the time of a routing decision, the memory for state and the size
 * of messages grow with the number of adapters and targets.
 */
import {
  AgedFrequency,
  MAX_ASKED_NODES,
  NODE_STATE,
  ORIGIN_STAGE,
  StreamOrigins,
  decideOrigin,
  keeperOf,
  nodesToAsk,
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
  return medianOf(durationsMicros);
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Median time of one of 1,000 calls over 21 rounds, in microseconds. */
function medianCallMicros(call: (index: number) => unknown): number {
  const rounds = Array.from({length: 21}, (_, round) => {
    const startedNs = process.hrtime.bigint();
    for (let i = 0; i < 1_000; i++) call(round * 1_000 + i);
    return Number(process.hrtime.bigint() - startedNs) / 1e6;
  });
  return medianOf(rounds);
}

/** Key of a stream, as long as those of the gateway. */
function streamKey(index: number): string {
  return String(index).padStart(16, 'k');
}

function createOrigins(records: number): StreamOrigins {
  const origins = new StreamOrigins({maxAgeMs: () => Infinity});
  for (let i = 0; i < records; i++) {
    origins.recordGranted(streamKey(i), 'v1.20.3', 0);
    origins.recordBegun(streamKey(i), 'v1.20.3', 0);
  }
  return origins;
}

function printOriginSlopes(): void {
  const records = 16_384;
  const bytes = heapBytes(() => createOrigins(records));
  console.log(
    `stream origins  ${records} records  ${(bytes / records).toFixed(0)} bytes each`,
  );
  const origins = createOrigins(records);
  const recordMicros = medianCallMicros(i =>
    origins.recordBegun(streamKey(i + records), 'v1.20.3', 0),
  );
  console.log(`stream origin  recorded in ${recordMicros.toFixed(2)} us`);
  const answers = Array.from({length: MAX_ASKED_NODES}, () => ({
    origin: {softwareVersion: 'v1.20.3', stage: ORIGIN_STAGE.granted},
    versions: {kind: 'several' as const},
  }));
  const decideMicros = medianCallMicros(() => decideOrigin(answers));
  console.log(
    `stream origin  decided from ${answers.length} answers in ${decideMicros.toFixed(2)} us`,
  );
  for (const count of [6, 60, 600]) {
    const nodes = Array.from({length: count}, (_, i) => `target-${i}`);
    const own = nodes[0] ?? '';
    const keeperMicros = medianCallMicros(i =>
      keeperOf(streamKey(i), nodes, own),
    );
    const askedMicros = medianCallMicros(i => nodesToAsk(streamKey(i), nodes));
    console.log(
      `stream origin  ${count} nodes  keeper ${keeperMicros.toFixed(1)} us, nodes to ask ${askedMicros.toFixed(1)} us`,
    );
  }
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
  printOriginSlopes();
  const totalBytes = heapBytes(() => [
    createFrequencies(150_000),
    createViews(600, 150_000),
  ]);
  console.log(
    `core state of a process  150000 adapters  600 targets  ${(totalBytes / 2 ** 20).toFixed(1)} MB over an empty one`,
  );
}

main();
