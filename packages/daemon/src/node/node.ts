/** Runs one node: platform clients, configuration, the role, and its end. */
import {randomBytes} from 'node:crypto';
import {firstValueFrom} from 'rxjs';
import type {Settings} from '@balsamnotch/config';
import type {Clock} from '@balsamnotch/core';
import {
  httpConfigService,
  httpEngine,
  httpPlainService,
  httpVMList,
} from '@balsamnotch/systems';
import {startEntry} from '../entry/index.js';
import {startTarget, type TargetSystems} from '../target/index.js';
import {ConfigurationController} from './configuration.js';
import type {NodeContext} from './context.js';
import {createEventLog} from './log.js';
import {createMetrics} from './metrics.js';
import {createPauseMonitor} from './pauses.js';
import {serveConnect} from './server.js';
import {nodeRoutes} from './service.js';
import {readVMs} from './vms.js';

/** Time for which open sessions may end after a planned stop, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Clocks of this process. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

const randomId = () => randomBytes(16).toString('hex');

/** The engine or plain service beside a target node. */
function targetSystems({engine, plain}: Settings): TargetSystems {
  return {
    engine: engine === '' ? undefined : httpEngine(engine),
    plain: plain === '' ? undefined : httpPlainService(plain),
  };
}

/**
 * Runs a node until its planned stop has ended. Rejects when an address cannot
 * be bound. `write` takes lines of output: first the addresses, then events.
 */
export async function runNode(
  settings: Settings,
  write: (line: string) => void,
): Promise<void> {
  const metrics = createMetrics(settings);
  const log = createEventLog(settings.name, settings.logLevel, write);
  const pauses = createPauseMonitor(systemClock);
  const vms = readVMs(httpVMList(settings.vmList), metrics);
  const shared = {
    settings,
    clock: systemClock,
    random: Math.random,
    log,
    metrics,
    configService: httpConfigService(settings.configService),
  };
  const configuration = new ConfigurationController({
    ...shared,
    vms: vms.current,
  });
  const context: NodeContext = {
    ...shared,
    incarnation: randomId(),
    randomId,
    vms$: vms.vms$,
    configuration,
    pauseMs: pauses.pauseMs,
    pauses$: pauses.pauses$,
  };
  pauses.pauses$.subscribe(ms => {
    metrics.count('paused');
    log.warn('paused', {pause_ms: Math.round(ms)});
  });

  const role =
    settings.role === 'entry'
      ? startEntry(context)
      : startTarget(context, targetSystems(settings));
  const server = await serveConnect(settings.listen, metrics, router => {
    nodeRoutes(router, context, configuration, role);
    role.routes(router);
  });
  configuration.start();
  await role.start(server.address);
  write(
    JSON.stringify({
      listen: server.address,
      callerListen: role.callerAddress(),
    }),
  );
  const beginStop = () => role.beginStop();
  process.on('SIGTERM', beginStop);
  process.on('SIGINT', beginStop);

  await firstValueFrom(role.stopped$);
  log.info('stopped', {in_progress: role.inProgress()});
  configuration.close();
  vms.close();
  pauses.close();
  await Promise.race([
    server.close(),
    new Promise(resolve => setTimeout(resolve, CLOSE_TIMEOUT_MS)),
  ]);
}
