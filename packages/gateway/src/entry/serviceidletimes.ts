/** Idle times of connections, by service. */
import type {GatewayContext} from '../node/context.js';
import {IdleTimes} from './connections.js';

/** Idle times that the connections to the targets of a service have in common. */
export class ServiceIdleTimes {
  private readonly idleTimes = new Map<string, IdleTimes>();

  constructor(private readonly context: GatewayContext) {}

  /** Returns the idle times of a service; resets are counted and logged. */
  of(service: string): IdleTimes {
    const {clock, log, metrics} = this.context;
    const idleTimes =
      this.idleTimes.get(service) ??
      new IdleTimes(
        () => clock.monotonicMs(),
        idleMs => {
          metrics.count('idle_reset', service);
          log.warn('idle_connection_reset', {
            service,
            idle_ms: Math.round(idleMs),
          });
        },
      );
    this.idleTimes.set(service, idleTimes);
    return idleTimes;
  }
}
