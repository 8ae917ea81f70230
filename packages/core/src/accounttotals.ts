/**
 * Use of client accounts' allotments over all entries, as a target node adds it up from the
 * entries' statements.
 */

/** Use of one account at one entry since its process started. */
export interface AccountUse {
  /** Hash of the account's name, see {@link accountId}. */
  readonly account: number;
  /** Amount that callers have asked for. */
  readonly asked: number;
  /** Amount that was admitted, without what was given back. */
  readonly admitted: number;
  /** See {@link Allotment}, as the entry's configuration has it. */
  readonly perSecond: number;
  readonly burst: number;
}

/** Use of one account over all entries that state it to one target node. */
export interface AccountTotal {
  readonly account: number;
  /**
   * Amount that the allotment still holds, up to the burst; below 0 if more was admitted than
   * it allows.
   */
  readonly level: number;
  /** Amount that callers ask for in each second. */
  readonly askedPerSecond: number;
}

/**
 * Time constant with which the rate that is asked for follows the statements, in statement
 * intervals. It covers the gap between two statements of one entry.
 */
const RATE_TIME_INTERVALS = 2;

/**
 * Returns what an amount that was asked for evenly over `overMs` adds to the rate, per second. As
 * if it were asked for at once, the first statements of entries that state rarely would double
 * the rate.
 */
function addedRate(amount: number, overMs: number, rateTimeMs: number): number {
  const spreadMs = Math.max(1, overMs);
  return (amount * 1_000 * (1 - Math.exp(-spreadMs / rateTimeMs))) / spreadMs;
}

/**
 * Part of the burst that an allotment holds when a node first hears of the account. A full one
 * would grant a second burst when all target nodes restart.
 */
const INITIAL_BURST_SHARE = 0.25;

/**
 * Least burst, in seconds of the rate. Statements come in steps of up to that time, so that a
 * smaller burst would be used up below the rate.
 */
const MIN_BURST_S = 0.5;

/**
 * Limit on what must be paid back, in seconds of the allotment's rate. Without it, entries
 * that were cut off would block the account's other callers for as long as they were away.
 */
const MAX_DEBT_S = 2;

/** Time without a statement after which an account is forgotten, in milliseconds. */
const KEPT_MS = 60_000;

/** Limit on the accounts that are remembered; the one stated longest ago is dropped first. */
const MAX_ACCOUNTS = 4_096;

/** Times of one statement, in milliseconds. */
export interface StatementTimes {
  /** Least time between two statements of the entry; above 0. */
  readonly intervalMs: number;
  /** Monotonic. */
  readonly nowMs: number;
}

/** A statement with the monotonic time of its arrival, in milliseconds. */
interface TimedUse {
  readonly use: AccountUse;
  readonly atMs: number;
}

/** What is known of one account. */
interface CountedAccount {
  level: number;
  askedPerSecond: number;
  perSecond: number;
  burst: number;
  /** Monotonic time of the last statement, in milliseconds. */
  atMs: number;
  /** Last statement of each process, by session. */
  readonly uses: Map<number, TimedUse>;
}

/** Returns whether a use that was received from another process can be added up. */
export function isUsableUse(use: AccountUse): boolean {
  return (
    use.perSecond > 0 &&
    use.burst >= 0 &&
    Object.values(use).every(value => Number.isFinite(value))
  );
}

/** Mutable totals of one target node. Times are monotonic, in milliseconds. */
export class AccountTotals {
  /** By id; the account stated last comes last. */
  private readonly accounts = new Map<number, CountedAccount>();

  /** Number of accounts that are remembered. */
  get size(): number {
    return this.accounts.size;
  }

  /**
   * Adds the statement of the entry process with this session, and returns the total. The
   * amounts are those since the process started, so that the next statement makes up for a lost
   * one. The first one of a process only sets the base: the process may be older than this node.
   */
  record(
    session: number,
    use: AccountUse,
    {intervalMs, nowMs}: StatementTimes,
  ): AccountTotal {
    this.forgetIdle(nowMs);
    const {account, perSecond} = use;
    const burst = Math.max(use.burst, MIN_BURST_S * perSecond);
    const counted = this.accounts.get(account) ?? {
      level: burst * INITIAL_BURST_SHARE,
      askedPerSecond: 0,
      perSecond,
      burst,
      atMs: nowMs,
      uses: new Map<number, TimedUse>(),
    };
    this.accounts.delete(account);
    this.accounts.set(account, counted);
    const base = counted.uses.get(session) ?? {use, atMs: nowMs};
    counted.uses.set(session, {use, atMs: nowMs});
    const elapsedMs = Math.max(0, nowMs - counted.atMs);
    const rateTimeMs = RATE_TIME_INTERVALS * intervalMs;
    const refill = (counted.perSecond * elapsedMs) / 1_000;
    const refilled = Math.min(counted.burst, counted.level + refill);
    const level = refilled - (use.admitted - base.use.admitted);
    counted.level = Math.min(burst, Math.max(-MAX_DEBT_S * perSecond, level));
    counted.askedPerSecond = Math.max(
      0,
      counted.askedPerSecond * Math.exp(-elapsedMs / rateTimeMs) +
        addedRate(use.asked - base.use.asked, nowMs - base.atMs, rateTimeMs),
    );
    counted.perSecond = perSecond;
    counted.burst = burst;
    counted.atMs = nowMs;
    return {
      account,
      level: counted.level,
      askedPerSecond: counted.askedPerSecond,
    };
  }

  /** Forgets the base of a process that has ended; what it used still counts. */
  endSession(session: number): void {
    for (const {uses} of this.accounts.values()) uses.delete(session);
  }

  private forgetIdle(nowMs: number): void {
    for (const [account, {atMs}] of this.accounts) {
      const isIdle = nowMs - atMs > KEPT_MS;
      if (!isIdle && this.accounts.size <= MAX_ACCOUNTS) return;
      this.accounts.delete(account);
    }
  }
}
