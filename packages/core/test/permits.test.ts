import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  grantPermits,
  lendShare,
  permitRules,
  receiveGrant,
  recordLease,
  startCoordinator,
  startShare,
  takePermit,
  takeTimeSlot,
  type Coordinator,
  type Grant,
  type HeldPermits,
  type LoadDemand,
  type PermitRules,
  type RateShare,
  type Tick,
} from '@balsamnotch/core';

const SEED = Number(process.env.BALSAMNOTCH_SEED ?? 1);
const STEP_MS = 10;

/** A fault at one process of the pool. */
interface Fault {
  /**
   * `partition`: cuts the pool in two. `oneWay`: messages that the process sends are
   * lost. `pause`: the process takes no steps and receives no messages. `restart`: the
   * process restarts at `atMs`. `coordinator`: the process acts as a second coordinator.
   */
  readonly kind: 'partition' | 'oneWay' | 'pause' | 'restart' | 'coordinator';
  readonly node: number;
  readonly atMs: number;
  readonly durationMs: number;
}

/** Network conditions and faults of one run. */
interface Schedule {
  readonly seed: number;
  readonly lossShare: number;
  readonly duplicateShare: number;
  readonly delayMs: number;
  /** Probability that a process tries to start a load in one step. */
  readonly useShare: number;
  readonly faults: readonly Fault[];
}

/** One target node: owner of a share, receiver of grants and possible coordinator. */
interface Process {
  readonly index: number;
  readonly incarnation: string;
  readonly monotonicOffsetMs: number;
  share: RateShare;
  held: HeldPermits;
  coordinator: Coordinator;
  demands: Map<number, LoadDemand>;
  clocks: Map<number, {incarnation: string; nodeMs: number; atMs: number}>;
}

/** Returns a generator (mulberry32) of pseudo-random numbers from 0 up to but not including 1. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Simulation of one pool on virtual time; records when loads start at the weight store. */
class Pool {
  /** Start times of loads, in milliseconds of true time. */
  readonly loads: number[] = [];
  private readonly random: () => number;
  private readonly processes: Process[];
  private messages: Array<{atMs: number; to: number; run: () => void}> = [];
  private nowMs = 0;
  private incarnations = 0;

  constructor(
    private readonly rules: PermitRules,
    private readonly schedule: Schedule,
  ) {
    this.random = seededRandom(schedule.seed);
    this.processes = Array.from({length: rules.limit.targets}, (_, index) =>
      this.start(index),
    );
  }

  run(endMs: number): readonly number[] {
    for (; this.nowMs < endMs; this.nowMs += STEP_MS) {
      for (const fault of this.schedule.faults) this.restartIfDue(fault);
      this.deliver();
      for (const process of this.processes) {
        if (!this.isFaulty('pause', process.index)) this.step(process);
      }
    }
    return this.loads.sort((a, b) => a - b);
  }

  private start(index: number): Process {
    const incarnation = `i${this.incarnations++}`;
    const monotonicOffsetMs = this.random() * 1e6;
    const nowMs = this.nowMs + monotonicOffsetMs;
    return {
      index,
      incarnation,
      monotonicOffsetMs,
      share: startShare(index, nowMs, this.rules),
      held: {incarnation, grants: []},
      coordinator: startCoordinator(nowMs),
      demands: new Map(),
      clocks: new Map(),
    };
  }

  private restartIfDue({kind, node, atMs}: Fault): void {
    const isNow = atMs >= this.nowMs && atMs < this.nowMs + STEP_MS;
    const index = node % this.processes.length;
    if (kind === 'restart' && isNow) this.processes[index] = this.start(index);
  }

  private activeFaults(kind: Fault['kind']): readonly Fault[] {
    return this.schedule.faults.filter(
      fault =>
        fault.kind === kind &&
        this.nowMs >= fault.atMs &&
        this.nowMs < fault.atMs + fault.durationMs,
    );
  }

  private isFaulty(kind: Fault['kind'], index: number): boolean {
    return this.activeFaults(kind).some(
      fault => fault.node % this.processes.length === index,
    );
  }

  /**
   * Returns whether messages from one process to another are lost. A partition separates
   * the indexes below its node from the others.
   */
  private isCut(from: number, to: number): boolean {
    const isSplit = this.activeFaults('partition').some(
      ({node}) =>
        from < node % this.processes.length !==
        to < node % this.processes.length,
    );
    return isSplit || (from !== to && this.isFaulty('oneWay', from));
  }

  private tick(process: Process): Tick {
    const errorMs = (this.random() * 2 - 1) * this.rules.timing.clockErrorMs;
    return {
      monotonicMs: this.nowMs + process.monotonicOffsetMs,
      wallMs: 1e9 + this.nowMs + errorMs,
    };
  }

  private send(from: number, to: number, run: () => void): void {
    if (this.isCut(from, to)) return;
    const {lossShare, duplicateShare, delayMs} = this.schedule;
    if (from !== to && this.random() < lossShare) return;
    const copies = this.random() < duplicateShare ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      const slowdown = this.random() < 0.1 ? 20 : 1;
      const atMs = this.nowMs + this.random() * delayMs * slowdown;
      this.messages.push({atMs, to, run});
    }
  }

  private deliver(): void {
    const due = this.messages.filter(
      message =>
        message.atMs <= this.nowMs && !this.isFaulty('pause', message.to),
    );
    this.messages = this.messages.filter(message => !due.includes(message));
    for (const message of due) message.run();
  }

  private step(process: Process): void {
    const firstReachable = this.processes.find(
      ({index}) => !this.isCut(process.index, index),
    );
    const isCoordinator =
      firstReachable === process || this.isFaulty('coordinator', process.index);
    if (isCoordinator && this.random() < 0.3) this.coordinate(process);
    if (this.random() < this.schedule.useShare) this.startLoad(process);
  }

  private coordinate(process: Process): void {
    const now = this.tick(process);
    const result = grantPermits(
      process.coordinator,
      [...process.demands.values()],
      now,
      this.rules,
    );
    process.coordinator = result.coordinator;
    for (const {index} of this.processes) {
      const granted = result.granted.find(grant => grant.index === index);
      const clock = process.clocks.get(index);
      const grant = granted &&
        clock && {
          coordinator: `n${process.index}`,
          grant: granted.grant,
          permits: granted.permits,
          permitMs: this.rules.timing.permitMs,
          incarnation: clock.incarnation,
          deadlineNodeClockMs:
            clock.nodeMs +
            now.monotonicMs -
            clock.atMs +
            this.rules.timing.permitMs,
        };
      this.send(process.index, index, () =>
        this.onLend(index, process, now, grant),
      );
    }
  }

  /** Handles a lend request, with a grant if there is one, and sends the response. */
  private onLend(
    index: number,
    sender: Process,
    requestedAt: Tick,
    grant: Grant | undefined,
  ): void {
    const process = this.processes[index];
    if (process === undefined) return;
    const now = this.tick(process);
    if (grant !== undefined) {
      process.held = receiveGrant(process.held, grant, now);
    }
    const lent = lendShare(
      process.share,
      `n${sender.index}`,
      now.monotonicMs,
      this.rules,
    );
    if (lent !== undefined) process.share = lent;
    const {incarnation} = process;
    this.send(index, sender.index, () => {
      if (lent !== undefined) {
        sender.coordinator = recordLease(
          sender.coordinator,
          index,
          requestedAt,
          this.rules,
        );
      }
      const atMs = this.tick(sender).monotonicMs;
      const nodeMs = now.monotonicMs;
      sender.clocks.set(index, {incarnation, nodeMs, atMs});
      sender.demands.set(index, {
        index,
        waitingRequests: 5,
        loadsWanted: 2,
      });
    });
  }

  private startLoad(process: Process): void {
    const now = this.tick(process);
    const held = takePermit(process.held, now);
    const share = held
      ? undefined
      : takeTimeSlot(process.share, now, this.rules);
    if (held !== undefined) process.held = held;
    if (share !== undefined) process.share = share;
    if (held === undefined && share === undefined) return;
    this.loads.push(this.nowMs + this.random() * this.rules.timing.orderMs);
  }
}

/** Returns the largest excess over `loadsPerSecond * W` loads in any window of W seconds. */
function largestExcess(
  starts: readonly number[],
  loadsPerSecond: number,
): number {
  let earliest = Number.NEGATIVE_INFINITY;
  let largest = 0;
  starts.forEach((atMs, i) => {
    const level = i - (loadsPerSecond * atMs) / 1_000;
    earliest = Math.max(earliest, -level);
    largest = Math.max(largest, level + earliest + 1);
  });
  return largest;
}

const faults: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(
    'partition',
    'oneWay',
    'pause',
    'restart',
    'coordinator',
  ),
  node: fc.nat(15),
  atMs: fc.nat(30_000),
  durationMs: fc.integer({min: 50, max: 12_000}),
});

const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer(),
  lossShare: fc.double({min: 0, max: 0.3, noNaN: true}),
  duplicateShare: fc.double({min: 0, max: 0.3, noNaN: true}),
  delayMs: fc.double({min: 1, max: 120, noNaN: true}),
  useShare: fc.double({min: 0.05, max: 1, noNaN: true}),
  faults: fc.array(faults, {maxLength: 12}),
});

const limits = fc.record({
  loadsPerSecond: fc.integer({min: 1, max: 6}),
  burst: fc.integer({min: 1, max: 4}),
  targets: fc.integer({min: 1, max: 9}),
});

const FAULT_FREE: Schedule = {
  seed: 7,
  lossShare: 0,
  duplicateShare: 0,
  delayMs: 5,
  useShare: 1,
  faults: [],
};

describe('permits', () => {
  describe('weight store limit', () => {
    it('is not exceeded in any window under partitions, loss, duplication, delay, pauses, restarts and competing coordinators', () => {
      fc.assert(
        fc.property(limits, schedules, (limit, schedule) => {
          const rules = permitRules(limit);
          const loads = new Pool(rules, schedule).run(32_000);
          const excess = largestExcess(loads, limit.loadsPerSecond);
          assert.ok(
            excess <= limit.burst + 1e-6,
            `${excess} loads above the rate, burst ${limit.burst}`,
          );
        }),
        {seed: SEED, numRuns: 300},
      );
    });
  });

  describe('utilization of the limit', () => {
    const rules = permitRules({loadsPerSecond: 3, burst: 2, targets: 6});

    // 54 loads in 20 s are 90% of the rate.
    it('is at least 90% when one coordinator leases every share', () => {
      const loads = new Pool(rules, FAULT_FREE).run(30_000);
      assert.ok(loads.filter(atMs => atMs > 10_000).length >= 54);
    });

    it('is at least 90% when no process can reach another one', () => {
      const isolated = Array.from({length: 6}, (_, node) => ({
        kind: 'oneWay' as const,
        node,
        atMs: 0,
        durationMs: 30_000,
      }));
      const loads = new Pool(rules, {...FAULT_FREE, faults: isolated}).run(
        30_000,
      );
      assert.ok(loads.filter(atMs => atMs > 10_000).length >= 54);
    });
  });

  describe('receiveGrant', () => {
    const now = {monotonicMs: 1_000, wallMs: 5_000};
    const grant: Grant = {
      coordinator: 'n0',
      grant: 4,
      permits: 1,
      permitMs: 130,
      incarnation: 'i0',
      deadlineNodeClockMs: 1_100,
    };
    const empty: HeldPermits = {incarnation: 'i0', grants: []};

    it('ignores a duplicate of a grant whose permit has been used', () => {
      const used = takePermit(receiveGrant(empty, grant, now), now);
      assert.ok(used);
      assert.equal(takePermit(receiveGrant(used, grant, now), now), undefined);
    });

    it('ignores a duplicate when the wall clock has jumped past the deadline', () => {
      const used = takePermit(receiveGrant(empty, grant, now), now);
      assert.ok(used);
      const jumped = {monotonicMs: 1_010, wallMs: 5_200};
      const again = receiveGrant(used, grant, jumped);
      assert.equal(takePermit(again, jumped), undefined);
    });

    it('ignores a grant that was sent to an earlier incarnation', () => {
      const misdirected = {...grant, incarnation: 'i9'};
      assert.equal(
        takePermit(receiveGrant(empty, misdirected, now), now),
        undefined,
      );
    });

    it('expires a permit by the wall clock when the monotonic clock stopped', () => {
      const held = receiveGrant(empty, grant, now);
      const later = {monotonicMs: 1_001, wallMs: 6_000};
      assert.equal(takePermit(held, later), undefined);
    });
  });
});
