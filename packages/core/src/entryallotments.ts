/** The allotments of all accounts at one entry, and when their use is stated to target nodes. */
import type {AccountTotal, AccountUse} from './accounttotals.js';
import {
  NO_USE,
  accountId,
  accountIntervalMs,
  admittedFraction,
  decideAllotment,
  knownUse,
  statementUrgency,
  stateUse,
  withTotal,
  withoutUse,
  type AllotmentDecision,
  type AllotmentState,
  type AllotmentTerms,
  type KnownUse,
} from './allotments.js';
import type {Allotment} from './routetable.js';

/** Accounts in one statement: at about 40 bytes each, they take two thirds of a datagram. */
const MAX_STATED_ACCOUNTS = 24;

/** Time without a request after which an account is forgotten, in milliseconds. */
const KEPT_MS = 60_000;

/** Limit on the accounts that are remembered; the one asked for longest ago is dropped first. */
const MAX_ACCOUNTS = 4_096;

/** An account with an allotment. */
export interface AllottedAccount {
  readonly name: string;
  readonly allotment: Allotment;
}

/** What the decision about one request depends on besides its account. */
export interface AllotmentRequest {
  /** See {@link allotmentAmount}. */
  readonly amount: number;
  /** Number of entries of the deployment, above 0. */
  readonly entries: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Random number from 0 up to but not including 1. */
  readonly draw: number;
}

/** What an entry knows of one account, for logs and metrics. */
export interface AllotmentStatus {
  readonly name: string;
  /** Undefined if no target node has stated a total recently. */
  readonly known: KnownUse | undefined;
  /** Fraction of all requests that is admitted; undefined without a total. */
  readonly fraction: number | undefined;
  /** Amounts at this entry, since the account was first seen. */
  readonly asked: number;
  readonly admitted: number;
}

interface TrackedAccount extends AllottedAccount {
  state: AllotmentState;
}

/** Mutable allotments of one entry. Times are monotonic, in milliseconds. */
export class EntryAllotments {
  /** By account id; the account asked for last comes last. */
  private readonly accounts = new Map<number, TrackedAccount>();
  private statedAtMs = -Infinity;
  /** Time of the next statement; infinite if none is due. */
  private dueAtMs = Infinity;
  /** Number of entries at the last request. */
  private entries = 1;

  /** Decides about a request of an account, whose configuration may have changed. */
  decide(
    {name, allotment}: AllottedAccount,
    {amount, entries, nowMs, draw}: AllotmentRequest,
  ): Omit<AllotmentDecision, 'state'> {
    const id = accountId(name);
    const tracked = this.accounts.get(id) ?? {name, allotment, state: NO_USE};
    this.accounts.delete(id);
    this.forgetIdle(nowMs);
    this.entries = entries;
    const terms = {allotment, entries, nowMs};
    const {state, ...decision} = decideAllotment(
      tracked.state,
      amount,
      terms,
      draw,
    );
    this.accounts.set(id, {name, allotment, state});
    if (statementUrgency(state, terms) >= 1) {
      const dueAtMs = this.statedAtMs + accountIntervalMs(state, terms);
      this.dueAtMs = Math.min(this.dueAtMs, dueAtMs);
    }
    return decision;
  }

  /** Gives back the amount of an admitted request that was not sent to any target. */
  giveBack(name: string, amount: number): void {
    const tracked = this.accounts.get(accountId(name));
    if (tracked !== undefined) {
      tracked.state = withoutUse(tracked.state, amount);
    }
  }

  /** Returns the time until a statement is due, in milliseconds; undefined if none is. */
  statementDelayMs(nowMs: number): number | undefined {
    return this.dueAtMs === Infinity
      ? undefined
      : Math.max(0, this.dueAtMs - nowMs);
  }

  /** Returns the statement, of the accounts whose use is most urgent to state. */
  takeStatement(nowMs: number): readonly AccountUse[] {
    this.statedAtMs = nowMs;
    this.dueAtMs = Infinity;
    return [...this.accounts]
      .map(([id, tracked]) => {
        const terms = this.terms(tracked.allotment, nowMs);
        return {id, tracked, urgency: statementUrgency(tracked.state, terms)};
      })
      .filter(({urgency}) => urgency > 0)
      .sort((a, b) => b.urgency - a.urgency)
      .slice(0, MAX_STATED_ACCOUNTS)
      .map(({id, tracked}) => {
        const {state, use} = stateUse(tracked.state, id, tracked.allotment);
        tracked.state = state;
        return use;
      });
  }

  /** Records the totals that a target node states. */
  recordTotals(
    node: string,
    totals: readonly AccountTotal[],
    nowMs: number,
  ): void {
    for (const total of totals) {
      const tracked = this.accounts.get(total.account);
      if (tracked === undefined) continue;
      tracked.state = withTotal(tracked.state, node, total, nowMs);
    }
  }

  /** Returns what is known of up to `limit` accounts, those that were admitted most first. */
  largest(limit: number, nowMs: number): readonly AllotmentStatus[] {
    return [...this.accounts.values()]
      .sort((a, b) => b.state.admitted - a.state.admitted)
      .slice(0, limit)
      .flatMap(({name}) => this.statusOf(name, nowMs) ?? []);
  }

  /** Returns what is known of the account; undefined if it has sent nothing for a while. */
  statusOf(name: string, nowMs: number): AllotmentStatus | undefined {
    const tracked = this.accounts.get(accountId(name));
    if (tracked === undefined) return undefined;
    const {allotment, state} = tracked;
    const terms = this.terms(allotment, nowMs);
    const known = knownUse(state, terms);
    const fraction = known && admittedFraction(known, allotment, this.entries);
    const {asked, admitted} = state;
    return {name, known, fraction, asked, admitted};
  }

  private terms(allotment: Allotment, nowMs: number): AllotmentTerms {
    return {allotment, entries: this.entries, nowMs};
  }

  private forgetIdle(nowMs: number): void {
    for (const [id, {state}] of this.accounts) {
      const isIdle = nowMs - state.atMs > KEPT_MS;
      if (!isIdle && this.accounts.size < MAX_ACCOUNTS) return;
      this.accounts.delete(id);
    }
  }
}
