/** Nodes of a deployment as child processes. */
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {killChild, startChild, type Child} from './child.js';
import {startRelay, type Relay} from './relay.js';
import type {StandInHandle} from './standin.js';

/** The daemon of this workspace. */
export const DAEMON = fileURLToPath(
  new URL('../../../daemon/dist/src/main.js', import.meta.url),
);

const ANY_PORT = '127.0.0.1:0';

/** What a node is started with. */
export interface NodePlan {
  readonly name: string;
  readonly role: 'entry' | 'target';
  /** Service of a target; empty for an entry. */
  readonly service: string;
  /** Index of a target within its service; -1 for an entry. */
  readonly ordinal: number;
  readonly failureDomain: string;
  /** Engine or plain service beside a target. */
  readonly beside?: StandInHandle;
  readonly configService: string;
  readonly vmList: string;
  readonly logLevel: string;
  /** Places a relay before the node's connect server. */
  readonly relay: boolean;
  /** Path of the daemon program. */
  readonly daemon: string;
  readonly directory: string;
}

/** A node of a deployment. */
export interface NodeHandle extends Omit<NodePlan, 'relay'> {
  /** `ip:port` of the connect server itself. */
  readonly address: string;
  /** `ip:port` that other nodes use: that of the relay, if there is one. */
  readonly listedAddress: string;
  /** `ip:port` for callers; empty for a target. */
  readonly callerAddress: string;
  readonly relay?: Relay;
  /** The running process, or the last one. */
  process(): Child;
  /** Ends the process if it runs and starts another under the same name and addresses. */
  restart(): Promise<void>;
}

/** Starts a node and resolves when it listens. */
export async function startNode(plan: NodePlan): Promise<NodeHandle> {
  const file = join(plan.directory, `${plan.name}.json`);
  const start = async (listen: string, callerListen: string) => {
    await writeFile(file, settingsText(plan, listen, callerListen));
    return startChild(plan.name, [plan.daemon, '--settings', file]);
  };
  let child = await start(ANY_PORT, ANY_PORT);
  const address = String(child.first.listen);
  const callerAddress =
    plan.role === 'entry' ? String(child.first.callerListen) : '';
  const relay = plan.relay ? await startRelay(() => address) : undefined;
  return {
    ...plan,
    address,
    listedAddress: relay?.address ?? address,
    callerAddress,
    relay,
    process: () => child,
    async restart() {
      await killChild(child);
      child = await start(address, callerAddress);
    },
  };
}

/** Settings file of a node. */
function settingsText(
  plan: NodePlan,
  listen: string,
  callerListen: string,
): string {
  const {name, role, failureDomain, configService, vmList, logLevel} = plan;
  const common = {name, role, failureDomain, listen, configService, vmList};
  const {service, ordinal, beside} = plan;
  const special =
    beside === undefined
      ? {callerListen}
      : {service, ordinal, [beside.kind]: beside.url};
  return JSON.stringify({...common, ...special, logLevel}, null, 2);
}
