/** Log lines and durations of one forwarded request. */
import type {LogFields} from '@balsamnotch/daemon';
import type {GatewayContext} from '../node/context.js';
import {ACCOUNT_EVENT, type AccountEvent} from '../node/metrics.js';
import type {AdmittedRequest} from './admittedrequest.js';

/** Returns the field that names the account of a request; none if it has no account. */
function accountField({account}: Pick<AdmittedRequest, 'account'>): LogFields {
  return account === undefined ? {} : {account: account.name};
}

/** Writes the log lines and metrics of one request. */
export class RequestRecord {
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'log' | 'metrics' | 'pauses'
    >,
    private readonly request: Pick<
      AdmittedRequest,
      'caller' | 'route' | 'arrivedAtMs' | 'account'
    >,
  ) {
    this.countForAccount(ACCOUNT_EVENT.asked);
    this.countForAccount(ACCOUNT_EVENT.allowed);
  }

  private countForAccount(event: AccountEvent): void {
    const {account} = this.request;
    if (account === undefined) return;
    this.context.metrics.countAccount(event, account.name);
  }

  /** Time since the request arrived, in milliseconds. */
  elapsedMs(): number {
    return this.context.clock.monotonicMs() - this.request.arrivedAtMs;
  }

  /** Writes a line that names the request and its route. */
  log(event: string, fields: LogFields): void {
    this.context.log.info(event, {
      request: this.request.caller.requestId,
      route: this.request.route.name,
      ...accountField(this.request),
      ...fields,
    });
  }

  /** Records the outcome of the request. */
  finish(outcome: string, fields: LogFields): void {
    const ms = this.elapsedMs();
    this.context.metrics.timing(`request_${outcome}`, ms);
    this.context.metrics.count('request', outcome);
    if (outcome === 'refused') this.countForAccount(ACCOUNT_EVENT.refused);
    const loopLateMs = this.context.pauses.latenessMs();
    this.log(outcome, {
      ...fields,
      ms: Math.round(ms),
      loop_late_ms: loopLateMs,
    });
  }
}
