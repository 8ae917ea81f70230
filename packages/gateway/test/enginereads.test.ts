import assert from 'node:assert/strict';
import {after, afterEach, describe, it} from 'node:test';
import {Ok} from 'ts-results-es';
import {createPauseMonitor, systemClock} from '@balsamnotch/daemon';
import {EngineController} from '../src/agent/controller.js';
import {createCrashEvidence} from '../src/node/crashevidence.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {
  QUIET_LOG,
  createSilentDirectory,
  engineState,
  waitUntil,
} from './support.js';

/** Batch slots of the engine; leases are granted for a part of them. */
const BATCH_SLOTS = 4;

/** Time for which a lease waits, in milliseconds, and the reads that fit at one each 100 ms. */
const WAIT = {ms: 600, reads: 8} as const;

/** Load: requests for adapters that the engine holds wait for their turn. */
describe('reads of the engine state', () => {
  const pauses = createPauseMonitor(systemClock);
  after(() => pauses.close());
  const directory = createSilentDirectory(systemClock);
  after(() => directory.close());

  let controller: EngineController | undefined;
  afterEach(() => controller?.close());

  const startController = (held: readonly string[]) => {
    const counts = {reads: 0, granted: 0};
    const metrics = createGatewayMetrics();
    const started = new EngineController(
      {
        name: 'node',
        failureDomain: 'd1',
        clock: systemClock,
        random: () => 0.5,
        log: QUIET_LOG,
        metrics,
        directory,
        evidence: createCrashEvidence({
          clock: systemClock,
          log: QUIET_LOG,
          metrics,
        }),
        pauses,
      },
      {
        state: () => {
          counts.reads += 1;
          return Promise.resolve(Ok(engineState(held)));
        },
        order: () => Promise.resolve(Ok(undefined)),
      },
      () => ({
        models: [{name: 'm', weightsMb: 1, adapterMb: 1, loadMs: 1}],
        weightsMb: 10,
        adapterSlots: 4,
        batchSlots: BATCH_SLOTS,
      }),
      {recordUnreachable: () => undefined, recordIncarnation: () => undefined},
    );
    const acquire = (adapter: string) => {
      const requestedAtMs = systemClock.monotonicMs();
      return started.acquire({
        requestId: adapter,
        model: 'm',
        adapter,
        version: 0,
        promptParts: [],
        promptTokens: 100,
        rank: 0,
        objectiveMs: 1_000,
        gapObjectiveMs: 0,
        waitDeadlineMs: requestedAtMs + 5_000,
        requestedAtMs,
        answer: reason => {
          if (reason === '') counts.granted += 1;
        },
      });
    };
    controller = started;
    return {counts, acquire};
  };

  // Failure: while one lease on a loaded adapter waited for others to end, the engine was read each
  // 15 ms, which took more processor time than the requests.
  it('are no more frequent while a request for a loaded adapter waits', async () => {
    const {counts, acquire} = startController(['a1']);
    await waitUntil(() => counts.reads > 0, 'the first read');
    const leases = Array.from({length: BATCH_SLOTS}, () => acquire('a1'));
    await waitUntil(() => counts.granted > 0, 'a granted lease');
    assert.ok(counts.granted < BATCH_SLOTS);
    const before = counts.reads;
    await new Promise(resolve => setTimeout(resolve, WAIT.ms));
    assert.ok(counts.reads - before <= WAIT.reads, `${counts.reads - before}`);
    const {granted} = counts;
    leases[0]?.release();
    await waitUntil(() => counts.granted > granted, 'the waiting lease');
  });

  // Failure: the end of a load was noticed 100 ms late.
  it('are frequent while a request waits for a load', async () => {
    const {counts, acquire} = startController([]);
    await waitUntil(() => counts.reads > 0, 'the first read');
    acquire('a2');
    const before = counts.reads;
    await waitUntil(
      () => counts.reads - before > WAIT.reads,
      'more reads than one each 100 ms',
    );
  });
});
