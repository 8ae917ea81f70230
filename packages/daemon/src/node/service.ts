/** The Connect service `Node` of all nodes: revision exchange, status and planned stop. */
import type {ConnectRouter} from '@connectrpc/connect';
import {Node} from '@balsamnotch/wire';
import type {ConfigurationController} from './configuration.js';
import type {NodeContext, Role} from './context.js';
import {reportToWire, stateToWire} from './convert.js';

/** Registers the Node service for this node. */
export function registerNodeService(
  router: ConnectRouter,
  context: NodeContext,
  configuration: ConfigurationController,
  role: Role,
): void {
  const {settings, incarnation, clock, metrics} = context;
  const startedMs = clock.monotonicMs();
  router.service(Node, {
    revision: request => {
      const offered = Number(request.revision);
      // The answer must not wait until the newer contents have been fetched.
      if (offered > configuration.revision()) {
        void configuration.catchUp(offered, request.sender);
      }
      const identity = configuration.identity();
      return {
        node: settings.name,
        incarnation,
        revision: BigInt(identity?.revision ?? 0),
        hash: identity?.hash ?? '',
        version: BigInt(identity?.version ?? 0),
      };
    },
    async *contents(request) {
      for (const hash of request.hashes) {
        const text = configuration.textByHash(hash);
        if (text === undefined) continue;
        yield {hash, content: new TextEncoder().encode(text)};
      }
    },
    status: () => {
      const report = role.report();
      return {
        node: settings.name,
        role: settings.role,
        service: settings.service,
        failureDomain: settings.failureDomain,
        incarnation,
        state: stateToWire(role.state()),
        revision: BigInt(configuration.revision()),
        revisionHash: configuration.identity()?.hash ?? '',
        revisionAgeMs: configuration.ageMs(),
        inProgress: role.inProgress(),
        report: report && reportToWire(report),
        uptimeMs: clock.monotonicMs() - startedMs,
        counters: metrics.totals(),
      };
    },
    stop: request => {
      if (request.cancel) role.cancelStop();
      else role.beginStop();
      return {state: stateToWire(role.state()), inProgress: role.inProgress()};
    },
  });
}
