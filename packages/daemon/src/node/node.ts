/** Runs one node: starts its clients, configuration and role, and shuts them down after a planned stop. */
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
import {registerNodeService} from './service.js';
import {pollVMList} from './vms.js';

/** How long open sessions may take to close after a planned stop, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Clock backed by `performance.now()` and `Date.now()`. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

const randomId = () => randomBytes(16).toString('hex');

/** Creates the client for the engine or plain service of a target node. */
function targetSystems({engine, plain}: Settings): TargetSystems {
  return {
    engine: engine === '' ? undefined : httpEngine(engine),
    plain: plain === '' ? undefined : httpPlainService(plain),
  };
}

/**
 * Runs a node until its planned stop is complete. Rejects when an address cannot
 * be bound. `write` receives the lines of output: log events, and one JSON line
 * with the bound addresses once the node listens.
 */
export async function runNode(
  settings: Settings,
  write: (line: string) => void,
): Promise<void> {
  const metrics = createMetrics(settings);
  const log = createEventLog(settings.name, settings.logLevel, write);
  const pauses = createPauseMonitor(systemClock);
  const vms = pollVMList(httpVMList(settings.vmList), metrics);
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
    registerNodeService(router, context, configuration, role);
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
