/** Log lines and durations of one forwarded request. */
import type {LogFields} from '@balsamnotch/daemon';
import type {GatewayContext} from '../node/context.js';
import type {AdmittedRequest} from './admittedrequest.js';

/** Writes the log lines and metrics of one request. */
export class RequestRecord {
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'log' | 'metrics' | 'pauses'
    >,
    private readonly request: Pick<
      AdmittedRequest,
      'caller' | 'route' | 'arrivedAtMs'
    >,
  ) {}

  /** Time since the request arrived, in milliseconds. */
  elapsedMs(): number {
    return this.context.clock.monotonicMs() - this.request.arrivedAtMs;
  }

  /** Writes a line that names the request and its route. */
  log(event: string, fields: LogFields): void {
    this.context.log.info(event, {
      request: this.request.caller.requestId,
      route: this.request.route.name,
      ...fields,
    });
  }

  /** Records the outcome of the request. */
  finish(outcome: string, fields: LogFields): void {
    const ms = this.elapsedMs();
    this.context.metrics.timing(`request_${outcome}`, ms);
    this.context.metrics.count('request', outcome);
    const loopLateMs = this.context.pauses.latenessMs();
    this.log(outcome, {
      ...fields,
      ms: Math.round(ms),
      loop_late_ms: loopLateMs,
    });
  }
}
