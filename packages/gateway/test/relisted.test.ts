import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {Ok} from 'ts-results-es';
import type {RegisteredTarget, Registry, RouteTable} from '@balsamnotch/core';
import {createPauseMonitor, systemClock} from '@balsamnotch/daemon';
import {startTargetNode} from '../src/agent/index.js';
import {Targets} from '../src/entry/targets.js';
import type {GatewayContext} from '../src/node/context.js';
import {createCrashEvidence} from '../src/node/crashevidence.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {
  QUIET_LOG,
  createSilentDirectory,
  engineState,
  tableOf,
} from './support.js';

const pauses = createPauseMonitor(systemClock);
after(() => pauses.close());

const directory = createSilentDirectory(systemClock);
after(() => directory.close());

const NODE_ADDRESS = '127.0.0.1';

function createContext(name: string): GatewayContext {
  const metrics = createGatewayMetrics();
  return {
    name,
    failureDomain: 'd1',
    clock: systemClock,
    random: Math.random,
    log: QUIET_LOG,
    metrics,
    directory,
    evidence: createCrashEvidence({
      clock: systemClock,
      log: QUIET_LOG,
      metrics,
    }),
    pauses,
  };
}

function engineTable(): RouteTable {
  const engine = {
    batchSlots: 64,
    adapterSlots: 16,
    weightsMb: 100,
    models: [],
  };
  const services = new Map([['s', {name: 's', engine}]]);
  return {...tableOf(1), services};
}

describe('an engine that is listed again after a crash', () => {
  // Guards against lease ids that start again with a new link: the target node ignored each
  // lease whose id had been used before the crash, and counted as lost for ten seconds.
  it('gets leases at once from an entry that had used it before', async () => {
    const port = 20_000 + Math.floor(Math.random() * 20_000);
    const node = await startTargetNode(
      createContext('node'),
      {listen: `${NODE_ADDRESS}:${port}`, service: 's'},
      {
        state: async () => Ok(engineState(['a1'])),
        order: async () => Ok(undefined),
      },
    );
    const targets = new Targets(createContext('entry'), {
      nodeListen: `${NODE_ADDRESS}:${port + 1}`,
      nodePort: port,
    });
    await targets.open();
    const table = engineTable();
    const list = (id: string, incarnationMs: number): Registry => {
      const target: RegisteredTarget = {
        id,
        service: 's',
        address: `${NODE_ADDRESS}:1`,
        failureDomain: 'd1',
        softwareVersion: 'v1',
        slots: 64,
        leaving: false,
        incarnationMs,
        models: [],
      };
      return new Map([[id, {target, missingUntilMs: 0}]]);
    };
    const useLease = async (id: string): Promise<string> => {
      const target = targets.get(id);
      const lease =
        target &&
        targets.linkOf(target)?.acquire({
          requestId: 'r',
          model: 'm',
          adapter: 'a1',
          version: 0,
          isHeld: false,
          rank: 0,
          objectiveMs: 600,
          gapObjectiveMs: 300,
          promptTokens: 5,
          promptParts: [],
          waitMs: 1_500,
          holdMs: 5_000,
        });
      const reason = (await lease?.answer)?.reason ?? 'no_link';
      lease?.release();
      return reason;
    };
    const useLeases = async (id: string): Promise<readonly string[]> => {
      const reasons: string[] = [];
      for (let n = 0; n < 3; n++) reasons.push(await useLease(id));
      return reasons;
    };
    try {
      targets.update(list('t1', 1), table);
      assert.deepEqual(await useLeases('t1'), ['', '', '']);
      targets.update(new Map(), table);
      targets.update(list('t2', 2), table);
      assert.deepEqual(await useLeases('t2'), ['', '', '']);
    } finally {
      targets.close();
      await node.stop();
    }
  });
});
