/** Connects the share and the coordinator of this node to the other targets of its service. */
import {createClient, type Client} from '@connectrpc/connect';
import type {VM} from '@balsamnotch/systems';
import {Target, type Report} from '@balsamnotch/wire';
import type {NodeContext} from '../node/context.js';
import {ClientsByAddress} from '../node/peers.js';
import {transportTo} from '../node/session.js';
import {PoolController} from './coordinator.js';
import {LoadShare, type LoadNeed} from './share.js';

/** Timeout of one lend request or demand, in milliseconds. */
const POOL_TIMEOUT_MS = 500;

/** Options of {@link createPool}. */
export interface PoolOptions {
  readonly context: NodeContext;
  /** Current need of this node. */
  readonly need: () => LoadNeed;
  readonly report: () => Report;
  /** Called when a lend request has delivered permits. */
  readonly onPermitsGranted: () => void;
}

/** Share and pool controller of one node. */
export interface Pool {
  readonly share: LoadShare;
  readonly controller: PoolController;
}

function createTargetClient(address: string): Client<typeof Target> {
  return createClient(Target, transportTo(address));
}

/** Live targets of a service. */
function liveTargets(vms: readonly VM[], service: string): readonly VM[] {
  return vms.filter(
    vm => vm.role === 'target' && vm.service === service && vm.state === 'live',
  );
}

/** Creates the share and the pool controller of a target node that serves a model engine. */
export function createPool({
  context,
  need,
  report,
  onPermitsGranted,
}: PoolOptions): Pool {
  let vms: readonly VM[] = [];
  const clients = new ClientsByAddress(createTargetClient);
  context.vms$.subscribe(list => {
    vms = liveTargets(list, context.settings.service);
    clients.retain(new Set(vms.map(vm => vm.address)));
  });
  const callOptions = {timeoutMs: POOL_TIMEOUT_MS};
  const onLoadBlocked = () => queueMicrotask(() => controller.tick());
  const share = new LoadShare({
    context,
    need,
    report,
    onPermitsGranted,
    onLoadBlocked,
  });
  const controller: PoolController = new PoolController({
    context,
    share,
    need,
    lend: (address, request) => clients.get(address).lend(request, callOptions),
    demand: (address, request) =>
      clients.get(address).demand(request, callOptions),
    targets: () => vms,
  });
  return {share, controller};
}
