/** Allotments of client accounts at one entry: admits requests, and states their use to target nodes. */
import {
  EntryAllotments,
  TotalNodes,
  NO_TOLERANCE,
  allotmentAmount,
  spreadRetryAfter,
  statementIntervalMs,
  withTolerance,
  type AccountTotal,
  type AllotmentTolerance,
} from '@balsamnotch/core';
import type {GatewayContext} from '../../node/context.js';
import type {Rejection} from '../admission.js';
import type {AdmittedRequest} from '../admittedrequest.js';
import type {NodeLink} from '../nodelink.js';
import {HTTP_STATUS} from '../status.js';

/** Reason of refusals because of an account's allotment. */
const ALLOTMENT_REFUSAL = 'allotment';

/** Accounts whose use is shown as gauges; those with the most use are. */
const MAX_SHOWN_ACCOUNTS = 32;

/** Decision about a request of an account. */
export interface Allowance {
  /** Undefined if the request is admitted. */
  readonly refusal: Rejection | undefined;
  /** Returns the request's amount to its account, since it was not sent to any target. */
  readonly giveBack: () => void;
}

/** Admits a request that no allotment limits. */
const UNLIMITED: Allowance = {
  refusal: undefined,
  giveBack: () => undefined,
};

/** Options of {@link AccountAllotments}. */
export interface AccountAllotmentsOptions {
  readonly context: Pick<
    GatewayContext,
    'clock' | 'random' | 'log' | 'metrics'
  >;
  /** Returns the number of entries of the deployment, above 0. */
  readonly entries: () => number;
  /**
   * Returns the links to the target nodes that are reached, by address, in the order in which all
   * entries prefer them.
   */
  readonly links: () => ReadonlyMap<string, Pick<NodeLink, 'stateUses'>>;
  /** Default: none. */
  readonly tolerance?: AllotmentTolerance;
}

/** Use of the accounts' allotments at one entry. */
export class AccountAllotments {
  private readonly allotments = new EntryAllotments();
  private readonly nodes = new TotalNodes();
  private timer: NodeJS.Timeout | undefined;
  /** Monotonic time for which `timer` is set, in milliseconds. */
  private timerAtMs = Infinity;

  constructor(private readonly options: AccountAllotmentsOptions) {}

  /** Decides whether the allotment of the request's account admits it, and counts it. */
  admit({
    account,
    caller,
  }: Pick<AdmittedRequest, 'account' | 'caller'>): Allowance {
    if (account?.allotment === undefined) return UNLIMITED;
    const {name} = account;
    const {context, entries, tolerance = NO_TOLERANCE} = this.options;
    const allotment = withTolerance(account.allotment, tolerance);
    const {metrics} = context;
    const amount = allotmentAmount(allotment, caller);
    const {isAdmitted, retryAfterMs} = this.allotments.decide(
      {name, allotment},
      {
        amount,
        entries: entries(),
        nowMs: this.nowMs(),
        draw: context.random(),
      },
    );
    this.scheduleStatement();
    metrics.count('allotment_asked', name);
    metrics.count(isAdmitted ? 'allotment_allowed' : 'allotment_refused', name);
    if (isAdmitted) {
      return {
        refusal: undefined,
        giveBack: () => {
          metrics.count('allotment_given_back', name);
          this.allotments.giveBack(name, amount);
        },
      };
    }
    const retryMs = spreadRetryAfter(retryAfterMs, context.random());
    this.logRefusal(caller.requestId, name, amount, retryMs);
    return {
      refusal: {
        status: HTTP_STATUS.tooManyRequests,
        reason: ALLOTMENT_REFUSAL,
        retryAfterMs: retryMs,
      },
      giveBack: () => undefined,
    };
  }

  /** Records the totals that the target node with this address states. */
  recordTotals(address: string, totals: readonly AccountTotal[]): void {
    this.nodes.recordAnswer(address);
    this.allotments.recordTotals(address, totals, this.nowMs());
  }

  /** Returns the use of the largest accounts, by the name of a gauge. */
  status(): Readonly<Record<string, number>> {
    const gauges: Record<string, number> = {};
    for (const {name, asked, admitted, fraction} of this.allotments.largest(
      MAX_SHOWN_ACCOUNTS,
      this.nowMs(),
    )) {
      gauges[`allotment_asked_${name}`] = asked;
      gauges[`allotment_used_${name}`] = admitted;
      if (fraction !== undefined) gauges[`allotment_share_${name}`] = fraction;
    }
    return gauges;
  }

  /** Ends the statements. */
  close(): void {
    clearTimeout(this.timer);
  }

  private nowMs(): number {
    return this.options.context.clock.monotonicMs();
  }

  private logRefusal(
    request: string,
    account: string,
    amount: number,
    retryAfterMs: number,
  ): void {
    const status = this.allotments.statusOf(account, this.nowMs());
    const {known, fraction} = status ?? {};
    this.options.context.log.info('allotment_refused', {
      request,
      account,
      amount,
      retry_after_ms: Math.round(retryAfterMs),
      // Without a recent total, the entry uses its share of the allotment.
      ...(known !== undefined && {
        asked_per_s: Math.round(known.askedPerSecond),
        level: Math.round(known.level),
        share: Number((fraction ?? 1).toFixed(3)),
        total_age_ms: Math.round(known.ageMs),
      }),
    });
  }

  /** Schedules the next statement, if one is due; an earlier one replaces a later one. */
  private scheduleStatement(): void {
    const nowMs = this.nowMs();
    const delayMs = this.allotments.statementDelayMs(nowMs);
    if (delayMs === undefined || nowMs + delayMs >= this.timerAtMs) return;
    clearTimeout(this.timer);
    this.timerAtMs = nowMs + delayMs;
    if (delayMs === 0) this.state();
    else this.timer = setTimeout(() => this.state(), delayMs);
  }

  private state(): void {
    this.timerAtMs = Infinity;
    const {entries, links} = this.options;
    const nowMs = this.nowMs();
    const intervalMs = statementIntervalMs(entries());
    const uses = this.allotments.takeStatement(nowMs);
    const reached = links();
    for (const address of this.nodes.choose([...reached.keys()], nowMs)) {
      this.nodes.recordStatement(address, nowMs);
      reached.get(address)?.stateUses(uses, intervalMs);
    }
  }
}
