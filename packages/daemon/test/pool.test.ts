import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {create} from '@bufbuild/protobuf';
import type {Configuration} from '@balsamnotch/config';
import {PERMIT_TIMING, type Clock} from '@balsamnotch/core';
import {ReportSchema} from '@balsamnotch/wire';
import type {NodeContext} from '../src/node/context.js';
import {PoolController} from '../src/target/coordinator.js';
import {LoadShare, poolLimit, type LoadNeed} from '../src/target/share.js';

const LOADS_PER_SECOND = 3;
const BURST = 2;

function configuration(targets: number): Configuration {
  return {
    services: [
      {
        name: 'assistant',
        kind: 'model',
        targets,
        baseModel: 'base',
        operations: [],
        queueLimit: 64,
      },
    ],
    weightStore: {
      loadsPerSecond: LOADS_PER_SECOND,
      burst: BURST,
      loadMs: 250,
      maxInFlight: 16,
    },
  } as unknown as Configuration;
}

interface PoolNode {
  readonly name: string;
  readonly share: LoadShare;
  readonly controller: PoolController;
  need: LoadNeed;
  isUp: boolean;
}

/** Targets of one pool on a virtual clock; messages between them arrive without delay. */
class SimulatedPool {
  nowMs = 1_000_000;
  readonly loadStartsMs: number[] = [];
  readonly nodes: PoolNode[] = [];
  private readonly clock: Clock = {
    monotonicMs: () => this.nowMs,
    wallMs: () => this.nowMs,
  };

  constructor(private readonly targets: number) {
    for (let i = 0; i < targets; i++) this.nodes.push(this.createNode(i));
  }

  private createNode(ordinal: number): PoolNode {
    const name = `assistant-${ordinal}`;
    const context = {
      clock: this.clock,
      settings: {name, service: 'assistant', ordinal},
      incarnation: `incarnation-${ordinal}`,
      random: () => 0.5,
      metrics: {count: () => undefined},
      log: {info: () => undefined},
      configuration: {current: () => configuration(this.targets)},
    } as unknown as NodeContext;
    const node = {name, isUp: true, need: {waitingRequests: 0, loadsWanted: 0}};
    const need = () => (node as PoolNode).need;
    const report = () =>
      create(ReportSchema, {
        node: name,
        incarnation: context.incarnation,
        nodeClockMs: this.nowMs,
      });
    const share = new LoadShare({
      context,
      need,
      report,
      onPermitsGranted: () => undefined,
      onLoadBlocked: () => undefined,
    });
    const controller = new PoolController({
      context,
      share,
      need,
      lend: async (address, request) => {
        const receiver = this.findReachable(address, request.coordinator);
        receiver.controller.recordLendRequest(request.coordinator);
        return receiver.share.lend(request);
      },
      demand: async (address, request) => {
        const message = {
          ...request,
          $typeName: 'balsamnotch.v1.DemandRequest' as const,
        };
        this.findReachable(address, request.node).controller.handleDemand(
          message,
        );
      },
      targets: () =>
        this.nodes.map(each => ({name: each.name, address: each.name})),
    });
    return Object.assign(node, {share, controller});
  }

  private findReachable(address: string, sender: string): PoolNode {
    const receiver = this.nodes.find(node => node.name === address);
    const from = this.nodes.find(node => node.name === sender);
    if (!receiver?.isUp || !from?.isUp) throw new Error('unreachable');
    return receiver;
  }

  coordinators(): readonly PoolNode[] {
    return this.nodes.filter(
      node => node.isUp && node.controller.isCoordinator,
    );
  }

  /** Advances the clock in steps of 10 ms; each node loads while it needs to and has permits. */
  async run(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 10;
      for (const node of this.nodes) {
        if (!node.isUp) continue;
        node.controller.tick();
        this.loadWhilePermitted(node);
      }
      // Lets pending lend requests settle.
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  private loadWhilePermitted(node: PoolNode): void {
    while (node.need.loadsWanted > 0 && node.share.mayLoad()) {
      node.share.recordLoadStart();
      this.loadStartsMs.push(this.nowMs);
      const loadsWanted = node.need.loadsWanted - 1;
      node.need = {waitingRequests: loadsWanted, loadsWanted};
    }
  }

  /** Checks the rate limit over each window from one load start to another. */
  assertRateLimit(): void {
    this.loadStartsMs.forEach((startMs, i) => {
      this.loadStartsMs.slice(i).forEach((endMs, index) => {
        const allowed = (LOADS_PER_SECOND * (endMs - startMs)) / 1_000 + BURST;
        assert.ok(
          index + 1 <= allowed,
          `${index + 1} loads in ${endMs - startMs} ms`,
        );
      });
    });
  }
}

const STARTUP_MS = PERMIT_TIMING.leaseMs + 3_000;

describe('target pool', () => {
  // Guards against a pool without a coordinator, where a target could only load
  // in the slots of its own share.
  it('elects one coordinator, which grants two loads to one target within 1 s', async () => {
    const pool = new SimulatedPool(6);
    await pool.run(STARTUP_MS);
    assert.equal(pool.coordinators().length, 1);
    const member = pool.nodes.find(node => !node.controller.isCoordinator)!;
    member.need = {waitingRequests: 2, loadsWanted: 2};
    const demandMs = pool.nowMs;
    await pool.run(1_000);
    // Its own share would allow only one load every two seconds.
    assert.ok(pool.loadStartsMs.filter(ms => ms - demandMs <= 200).length >= 1);
    assert.equal(pool.loadStartsMs.length, 2);
    pool.assertRateLimit();
  });

  // Guards against a part of the limit that stays unused in the shares of idle targets.
  it('lets one target use at least 90% of the limit when the others need no loads', async () => {
    const pool = new SimulatedPool(6);
    await pool.run(STARTUP_MS);
    pool.nodes[3].need = {waitingRequests: 100, loadsWanted: 100};
    await pool.run(20_000);
    assert.ok(
      pool.loadStartsMs.length >= 0.9 * 20 * LOADS_PER_SECOND,
      `${pool.loadStartsMs.length}`,
    );
    pool.assertRateLimit();
  });

  // Guards against a burst above the limit, or a stop of all loads, while the
  // next rank takes over.
  it('keeps the limit and continues loading when the coordinator fails', async () => {
    const pool = new SimulatedPool(6);
    await pool.run(STARTUP_MS);
    for (const node of pool.nodes) {
      node.need = {waitingRequests: 50, loadsWanted: 50};
    }
    await pool.run(3_000);
    pool.coordinators()[0].isUp = false;
    const loadsBefore = pool.loadStartsMs.length;
    await pool.run(12_000);
    assert.equal(pool.coordinators().length, 1);
    // Five of six shares remain: 2.5 loads/s, minus the time of the takeover.
    assert.ok(
      pool.loadStartsMs.length - loadsBefore >= 15,
      `${pool.loadStartsMs.length - loadsBefore}`,
    );
    pool.assertRateLimit();
  });

  // Guards against pools that exceed the limit together while a network partition
  // separates them.
  it('divides the limit among all model targets', () => {
    const limit = poolLimit(configuration(40), 'assistant', 35)!;
    assert.equal(limit.targets, 8);
    assert.ok(
      Math.abs(limit.loadsPerSecond - (LOADS_PER_SECOND * 8) / 40) < 1e-9,
    );
    assert.equal(poolLimit(configuration(4), 'assistant', 4), undefined);
  });
});
