/** Connects the share and the coordinator of this node to the other targets of its service. */
import {createClient, type Client} from '@connectrpc/connect';
import type {VM} from '@balsamnotch/systems';
import {Target, type Report} from '@balsamnotch/wire';
import type {NodeContext} from '../node/context.js';
import {ClientsByAddress} from '../node/peers.js';
import {transportTo} from '../node/session.js';
import {PoolController} from './coordinator.js';
import {LoadShare, type LoadNeed} from './share.js';

/** Time for one lend request or demand, in milliseconds. */
const POOL_TIMEOUT_MS = 500;

/** What the pool of a node needs of it. */
export interface PoolOptions {
  readonly context: NodeContext;
  readonly need: () => LoadNeed;
  readonly report: () => Report;
  /** Called when permits have arrived. */
  readonly granted: () => void;
}

/** Share and coordinator of one node. */
export interface Pool {
  readonly share: LoadShare;
  readonly controller: PoolController;
}

function connect(address: string): Client<typeof Target> {
  return createClient(Target, transportTo(address));
}

/** Live targets of this node's service. */
function liveTargets(vms: readonly VM[], service: string): readonly VM[] {
  return vms.filter(
    vm => vm.role === 'target' && vm.service === service && vm.state === 'live',
  );
}

/** Creates the pool part of a node beside a model engine. */
export function createPool({
  context,
  need,
  report,
  granted,
}: PoolOptions): Pool {
  let vms: readonly VM[] = [];
  const clients = new ClientsByAddress(connect);
  context.vms$.subscribe(list => {
    vms = liveTargets(list, context.settings.service);
    clients.retain(new Set(vms.map(vm => vm.address)));
  });
  const options = {timeoutMs: POOL_TIMEOUT_MS};
  const blocked = () => queueMicrotask(() => controller.tick());
  const share = new LoadShare({context, need, report, granted, blocked});
  const controller: PoolController = new PoolController({
    context,
    share,
    need,
    lend: (address, request) => clients.get(address).lend(request, options),
    demand: (address, request) => clients.get(address).demand(request, options),
    targets: () => vms,
  });
  return {share, controller};
}
