/** Runs the nodes of a deployment as child processes. */
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {killChild, startChild, type Child} from './child.js';
import {startRelay, type Relay} from './relay.js';
import type {StandInHandle} from './standin.js';

/** Path of the daemon program of this workspace. */
export const DAEMON_FILE = fileURLToPath(
  new URL('../../../daemon/dist/src/main.js', import.meta.url),
);

/** Listen address that lets the system choose a port. */
const ANY_PORT = '127.0.0.1:0';

/** Options of {@link startNode}. */
export interface NodeOptions {
  readonly name: string;
  readonly role: 'entry' | 'target';
  /** Service of a target; empty for an entry. */
  readonly service: string;
  /** Index of a target within its service; -1 for an entry. */
  readonly ordinal: number;
  readonly failureDomain: string;
  /** Engine or plain service that a target serves; undefined for an entry. */
  readonly standIn?: StandInHandle;
  /** Base URL of the configuration service. */
  readonly configService: string;
  /** Base URL of the VM list. */
  readonly vmList: string;
  readonly logLevel: string;
  /** Puts a relay in front of the node's Connect server. */
  readonly hasRelay: boolean;
  /** Path of the daemon program. */
  readonly daemonFile: string;
  /** Directory for the settings file. */
  readonly directory: string;
}

/** A started node of a deployment. */
export interface NodeHandle extends Omit<NodeOptions, 'hasRelay'> {
  /** `ip:port` of the node's Connect server itself, bypassing any relay. */
  readonly address: string;
  /** `ip:port` in the VM list, used by other nodes: that of the relay if there is one. */
  readonly listedAddress: string;
  /** `ip:port` for callers; empty for a target. */
  readonly callerAddress: string;
  readonly relay?: Relay;
  /** The current process, or the last one if none is running. */
  process(): Child;
  /** Kills the process if it is running and starts a new one with the same name and addresses. */
  restart(): Promise<void>;
}

/** Starts a node and resolves once it listens. */
export async function startNode(options: NodeOptions): Promise<NodeHandle> {
  const settingsFile = join(options.directory, `${options.name}.json`);
  const startProcess = async (listen: string, callerListen: string) => {
    await writeFile(
      settingsFile,
      formatSettings(options, listen, callerListen),
    );
    return startChild(options.name, [
      options.daemonFile,
      '--settings',
      settingsFile,
    ]);
  };
  let current = await startProcess(ANY_PORT, ANY_PORT);
  const address = String(current.startMessage.listen);
  const callerAddress =
    options.role === 'entry' ? String(current.startMessage.callerListen) : '';
  const relay = options.hasRelay ? await startRelay(() => address) : undefined;
  return {
    ...options,
    address,
    listedAddress: relay?.address ?? address,
    callerAddress,
    relay,
    process: () => current,
    async restart() {
      await killChild(current);
      current = await startProcess(address, callerAddress);
    },
  };
}

/** Formats the settings file of a node. */
function formatSettings(
  options: NodeOptions,
  listen: string,
  callerListen: string,
): string {
  const {name, role, failureDomain, configService, vmList, logLevel} = options;
  const commonSettings = {
    name,
    role,
    failureDomain,
    listen,
    configService,
    vmList,
  };
  const {service, ordinal, standIn} = options;
  const roleSettings =
    standIn === undefined
      ? {callerListen}
      : {service, ordinal, [standIn.kind]: standIn.url};
  return JSON.stringify(
    {...commonSettings, ...roleSettings, logLevel},
    null,
    2,
  );
}
