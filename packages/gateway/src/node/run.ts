/** Runs a gateway node until its planned stop has finished. */
import {
  createEventLog,
  createPauseMonitor,
  systemClock,
} from '@balsamnotch/daemon';
import type {Result} from 'ts-results-es';
import type {FollowTiming} from '@balsamnotch/core';
import type {GatewayContext, GatewayRole} from './context.js';
import {createCrashEvidence} from './crashevidence.js';
import {createDirectory} from './directory.js';
import type {DirectorySource} from './directorysource.js';
import {createGatewayMetrics, serveMetrics} from './metrics.js';
import {createLineWriter} from './output.js';
import {createSnapshotFetcher, servePeers} from './peers.js';

/** Exit code after an uncaught exception. */
const EXIT_CODE_UNCAUGHT = 3;

/** Settings common to all gateway nodes. */
export interface GatewaySettings {
  readonly name: string;
  readonly failureDomain: string;
  /** Time within which a published change must be in force, in milliseconds. */
  readonly changeBoundMs: number;
  /** Timing of the calls that follow published changes. */
  readonly timing: FollowTiming;
  /** `ip:port` of the metrics endpoint; absent to serve no metrics. */
  readonly metricsListen?: string;
  /** `ip:port` of the server for peers; absent to serve no peers. */
  readonly peerListen?: string;
  /**
   * Reads the current addresses of the peers, `ip:port`, from the settings; the
   * error states why reading failed.
   */
  readonly peers: () => Result<readonly string[], string>;
}

/** Starts the role; resolves when it has stopped after SIGTERM or SIGINT. */
export async function runGateway(
  settings: GatewaySettings,
  source: DirectorySource,
  start: (context: GatewayContext) => Promise<GatewayRole>,
): Promise<void> {
  const {name, failureDomain, metricsListen, peerListen, peers} = settings;
  const output = createLineWriter();
  const log = createEventLog(name, 'info', output.write);
  const metrics = createGatewayMetrics();
  const clock = systemClock;
  const pauses = createPauseMonitor(clock);
  let lastReadPeers: readonly string[] = [];
  const currentPeers = () => {
    const read = peers();
    if (read.isErr()) log.warn('settings_unreadable', {message: read.error});
    else lastReadPeers = read.value;
    return lastReadPeers;
  };
  const directory = createDirectory({
    source,
    clock,
    log,
    metrics,
    fetchPeerSnapshot: createSnapshotFetcher(currentPeers, name, log),
    changeBoundMs: settings.changeBoundMs,
    timing: settings.timing,
  });
  const context: GatewayContext = {
    name,
    failureDomain,
    clock,
    random: Math.random,
    log,
    metrics,
    directory,
    evidence: createCrashEvidence({clock, log, metrics}),
    pauses,
  };
  process.on('uncaughtException', (error: Error) => {
    log.error('uncaught', {message: error.message, stack: error.stack ?? ''});
    // The state of the process is undefined after an uncaught exception. It
    // exits, and the platform restarts it.
    output
      .flush()
      .finally(() => process.exit(EXIT_CODE_UNCAUGHT))
      .catch(() => undefined);
  });
  // A reload applies changed peers only; other settings are read at the start.
  process.on('SIGHUP', () =>
    log.info('reload', {peers: currentPeers().length}),
  );
  const peerServer =
    peerListen === undefined
      ? undefined
      : await servePeers(peerListen, directory, metrics);
  const role = await start(context);
  const setGauges = () => {
    const values = {
      loop_delay_max_ms: Math.round(pauses.takeMaxDelayMs()),
      ...directory.status(),
      ...context.evidence.status(),
      ...role.status(),
    };
    for (const [name, value] of Object.entries(values)) {
      metrics.gauge(name, Number(value));
    }
  };
  const closeMetrics =
    metricsListen === undefined
      ? () => undefined
      : serveMetrics(
          metricsListen,
          metrics,
          error => log.warn('metrics_failed', {message: error.message}),
          setGauges,
        );
  log.info('started', {failure_domain: failureDomain});
  await new Promise<void>(resolve => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
  await role.stop();
  peerServer
    ?.close()
    .catch((error: Error) =>
      log.warn('close_failed', {message: error.message}),
    );
  directory.close();
  pauses.close();
  closeMetrics();
  log.info('exit', {});
  await output.flush();
}
