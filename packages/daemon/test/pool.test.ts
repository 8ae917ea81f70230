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
  up: boolean;
}

/** Targets of one pool on a virtual clock, with messages that arrive at once. */
class Fleet {
  nowMs = 1_000_000;
  readonly loads: number[] = [];
  readonly nodes: PoolNode[] = [];
  private readonly clock: Clock = {
    monotonicMs: () => this.nowMs,
    wallMs: () => this.nowMs,
  };

  constructor(private readonly targets: number) {
    for (let i = 0; i < targets; i++) this.nodes.push(this.node(i));
  }

  private node(ordinal: number): PoolNode {
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
    const node = {name, up: true, need: {waitingRequests: 0, loadsWanted: 0}};
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
      granted: () => undefined,
      blocked: () => undefined,
    });
    const controller = new PoolController({
      context,
      share,
      need,
      lend: async (address, request) => {
        const receiver = this.reach(address, request.coordinator);
        receiver.controller.heard(request.coordinator);
        return receiver.share.lend(request);
      },
      demand: async (address, request) => {
        const message = {
          ...request,
          $typeName: 'balsamnotch.v1.DemandRequest' as const,
        };
        this.reach(address, request.node).controller.takeDemand(message);
      },
      targets: () =>
        this.nodes.map(each => ({name: each.name, address: each.name})),
    });
    return Object.assign(node, {share, controller});
  }

  private reach(address: string, sender: string): PoolNode {
    const receiver = this.nodes.find(node => node.name === address);
    const from = this.nodes.find(node => node.name === sender);
    if (!receiver?.up || !from?.up) throw new Error('unreachable');
    return receiver;
  }

  coordinators(): readonly PoolNode[] {
    return this.nodes.filter(node => node.up && node.controller.isCoordinator);
  }

  /** Runs in steps of 10 ms; a node that may load does so while it wants to. */
  async run(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 10;
      for (const node of this.nodes) {
        if (!node.up) continue;
        node.controller.tick();
        this.load(node);
      }
      // Answers of lend requests are promises.
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  private load(node: PoolNode): void {
    while (node.need.loadsWanted > 0 && node.share.mayLoad()) {
      node.share.loadStarted();
      this.loads.push(this.nowMs);
      const loadsWanted = node.need.loadsWanted - 1;
      node.need = {waitingRequests: loadsWanted, loadsWanted};
    }
  }

  checkLimit(): void {
    this.loads.forEach((startMs, i) => {
      this.loads.slice(i).forEach((endMs, after) => {
        const allowed = (LOADS_PER_SECOND * (endMs - startMs)) / 1_000 + BURST;
        assert.ok(
          after + 1 <= allowed,
          `${after + 1} loads in ${endMs - startMs} ms`,
        );
      });
    });
  }
}

const STARTUP_MS = PERMIT_TIMING.leaseMs + 3_000;

describe('pool of targets', () => {
  it('has one coordinator, which grants two loads at once to a single target', async () => {
    const fleet = new Fleet(6);
    await fleet.run(STARTUP_MS);
    assert.equal(fleet.coordinators().length, 1);
    const other = fleet.nodes.find(node => !node.controller.isCoordinator)!;
    other.need = {waitingRequests: 2, loadsWanted: 2};
    const askedMs = fleet.nowMs;
    await fleet.run(1_000);
    // Alone, its share would allow one load every two seconds.
    assert.ok(fleet.loads.filter(ms => ms - askedMs <= 200).length >= 1);
    assert.equal(fleet.loads.length, 2);
    fleet.checkLimit();
  });

  it('uses nearly the whole limit when one target wants all loads', async () => {
    const fleet = new Fleet(6);
    await fleet.run(STARTUP_MS);
    fleet.nodes[3].need = {waitingRequests: 100, loadsWanted: 100};
    await fleet.run(20_000);
    assert.ok(
      fleet.loads.length >= 0.9 * 20 * LOADS_PER_SECOND,
      `${fleet.loads.length}`,
    );
    fleet.checkLimit();
  });

  it('keeps the limit and goes on loading when the coordinator dies', async () => {
    const fleet = new Fleet(6);
    await fleet.run(STARTUP_MS);
    for (const node of fleet.nodes) {
      node.need = {waitingRequests: 50, loadsWanted: 50};
    }
    await fleet.run(3_000);
    fleet.coordinators()[0].up = false;
    const before = fleet.loads.length;
    await fleet.run(12_000);
    assert.equal(fleet.coordinators().length, 1);
    // Five of six shares are left: 2.5 loads/s, less the change of coordinator.
    assert.ok(
      fleet.loads.length - before >= 15,
      `${fleet.loads.length - before}`,
    );
    fleet.checkLimit();
  });

  it('divides the limit over all model targets, so that no partition exceeds it', () => {
    const limit = poolLimit(configuration(40), 'assistant', 35)!;
    assert.equal(limit.targets, 8);
    assert.ok(
      Math.abs(limit.loadsPerSecond - (LOADS_PER_SECOND * 8) / 40) < 1e-9,
    );
    assert.equal(poolLimit(configuration(4), 'assistant', 4), undefined);
  });
});
