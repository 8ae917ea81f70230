/**
 * Decides at an entry which requests of a client account its allotment admits. The allotment
 * holds for all entries together. Target nodes add up what entries state (see
 * `accounttotals.ts`); each entry then admits the same fraction of what it is asked for, as in
 * global random drop (Raghavan et al., SIGCOMM 2007).
 */
import type {AccountTotal, AccountUse} from './accounttotals.js';
import {hash32} from './rendezvous.js';
import {ALLOTMENT_UNIT, type Allotment} from './routetable.js';

/** Returns the number by which processes name an account to each other. */
export function accountId(name: string): number {
  return hash32(name);
}

/** Returns the amount that a request counts as. Token counts are 0 if the caller stated none. */
export function allotmentAmount(
  {unit, defaultTokens}: Allotment,
  tokens: {readonly promptTokens: number; readonly outputTokens: number},
): number {
  if (unit === ALLOTMENT_UNIT.requests) return 1;
  return tokens.promptTokens + tokens.outputTokens || defaultTokens;
}

/** Use beyond allotments that the operators tolerate. */
export interface AllotmentTolerance {
  /** Length of the windows in which use is counted, in milliseconds. */
  readonly windowMs: number;
  /** Fraction of what the rate gives in a window by which use may exceed it. */
  readonly overShare: number;
}

/** Tolerance of deployments that state none. */
export const NO_TOLERANCE: AllotmentTolerance = {windowMs: 0, overShare: 0};

/**
 * Part of the tolerance that is granted after a time without use. The rest is for statements that
 * are late or lost, which take up to a tenth of the bound in plays of the model.
 */
const GRANTED_TOLERANCE = 0.35;

/**
 * Returns the allotment with the part of the tolerance that may be granted as further burst: use is
 * counted in windows, so that an account may for some seconds use more than its rate.
 */
export function withTolerance(
  allotment: Allotment,
  {windowMs, overShare}: AllotmentTolerance,
): Allotment {
  const toleratedS = (GRANTED_TOLERANCE * overShare * windowMs) / 1_000;
  const burst = allotment.burst + toleratedS * allotment.perSecond;
  return {...allotment, burst};
}

/**
 * Statements per second that one target node receives from all entries together at most; at
 * about 0.2 ms each, a twentieth of a core.
 */
const NODE_STATEMENTS_PER_SECOND = 240;

/** Least time between two statements of an entry, with few entries, in milliseconds. */
const MIN_STATEMENT_INTERVAL_MS = 200;

/** Returns the least time between two statements of one of `entries` entries, in milliseconds. */
export function statementIntervalMs(entries: number): number {
  return Math.max(
    MIN_STATEMENT_INTERVAL_MS,
    (1_000 * entries) / NODE_STATEMENTS_PER_SECOND,
  );
}

/**
 * Use that entries together may leave unstated, in seconds of the allotment's rate: `near`
 * while the account is near its allotment, `far` while it is not.
 */
const UNSTATED_S = {near: 0.25, far: 1} as const;

/**
 * Amount admitted by one entry since its last statement that makes the next one due after the least
 * interval, in seconds of an equal share of the rate. With 200 entries, an account that asks for
 * seven times its rate is otherwise found a second too late.
 */
const SURGE_S = 0.75;

/** An account that asks for less than this part of its rate, and has half its burst, is far from its allotment. */
const FAR_SHARE = 0.6;

/** Time for which a total decides, in milliseconds, and in statement intervals if that is longer. */
const TOTAL_VALID_MS = 1_500;
const TOTAL_VALID_INTERVALS = 3;

/**
 * Time over which the rest of the burst is granted and an excess is paid back, in
 * milliseconds, and in statement intervals if that is longer. Totals are about one interval old
 * when they decide; a shorter time would make the fraction swing.
 */
const LEVEL_TIME_MS = 500;
const LEVEL_TIME_INTERVALS = 2.5;

/** Part of the rate that is granted while an excess is paid back. */
const PAYING_SHARE = 0.5;

/** Time constant of the entry's own rate, in milliseconds. */
const OWN_RATE_TIME_MS = 1_000;

/**
 * Part of its share that an entry without totals uses if the account was at its limit before.
 * With two thirds of the entries cut off, all together then use about a quarter more than the
 * allotment.
 */
const CUT_OFF_SHARE = 0.4;

/**
 * What an entry without totals may admit at once, in its share of the burst. More than one, since
 * the first requests of an account at an entry come before the first answer of a target node.
 */
const RESERVE_BURSTS = 2;

/**
 * Requests of the current size that it may admit at once if that is more. An entry's share of a
 * small allotment is less than one request.
 */
const RESERVE_REQUESTS = 2;

/** Time for which an entry without totals keeps the share that it had, in milliseconds. */
const SHARE_KEPT_MS = 10_000;

/** A total as the entry received it. */
interface ReceivedTotal extends AccountTotal {
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
}

/** Use of one account at one entry, and what target nodes state about it. */
export interface AllotmentState {
  readonly asked: number;
  readonly admitted: number;
  /** Values of `asked` and `admitted` in the last statement. */
  readonly statedAsked: number;
  readonly statedAdmitted: number;
  /** Amount that callers ask this entry for in each second, at `atMs`. */
  readonly ownPerSecond: number;
  readonly atMs: number;
  /** Last totals by target node. */
  readonly totals: ReadonlyMap<string, ReceivedTotal>;
  /** Share of the use that came to this entry by the last total; 0 if unknown. */
  readonly share: number;
  /** Whether the last total left less than all requests admitted. */
  readonly isLimited: boolean;
  /** What the entry may still admit without a total; undefined before the first request. */
  readonly reserve?: number;
}

/** State of an account that has sent nothing yet. */
export const NO_USE: AllotmentState = {
  asked: 0,
  admitted: 0,
  statedAsked: 0,
  statedAdmitted: 0,
  ownPerSecond: 0,
  atMs: 0,
  totals: new Map(),
  share: 0,
  isLimited: false,
};

/** What decides about a request besides the state of its account. */
export interface AllotmentTerms {
  readonly allotment: Allotment;
  /** Number of entries of the deployment, above 0. */
  readonly entries: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Combined totals: the least level and the most demand, since a node may have heard of a part only. */
export interface KnownUse {
  readonly level: number;
  readonly askedPerSecond: number;
  /** Age of the newest total, in milliseconds. */
  readonly ageMs: number;
}

/** Returns what valid totals say; undefined if there are none. */
export function knownUse(
  {totals}: AllotmentState,
  {entries, nowMs}: Omit<AllotmentTerms, 'allotment'>,
): KnownUse | undefined {
  const validMs = Math.max(
    TOTAL_VALID_MS,
    TOTAL_VALID_INTERVALS * statementIntervalMs(entries),
  );
  let known: KnownUse | undefined;
  for (const {level, askedPerSecond, atMs} of totals.values()) {
    const ageMs = nowMs - atMs;
    if (ageMs > validMs) continue;
    known = {
      level: Math.min(level, known?.level ?? Infinity),
      askedPerSecond: Math.max(askedPerSecond, known?.askedPerSecond ?? 0),
      ageMs: Math.min(ageMs, known?.ageMs ?? Infinity),
    };
  }
  return known;
}

/** Returns the fraction of all requests that is admitted, 0 to 1. */
export function admittedFraction(
  {level, askedPerSecond}: Pick<KnownUse, 'level' | 'askedPerSecond'>,
  {perSecond}: Allotment,
  entries: number,
): number {
  const levelMs = Math.max(
    LEVEL_TIME_MS,
    LEVEL_TIME_INTERVALS * statementIntervalMs(entries),
  );
  const grantedPerSecond = Math.max(
    PAYING_SHARE * perSecond,
    perSecond + (level * 1_000) / levelMs,
  );
  return Math.min(1, grantedPerSecond / Math.max(askedPerSecond, 1e-9));
}

/**
 * Share of the allotment that the entry may use without totals: the one that it had, and at
 * least an equal one.
 */
function shareWithoutTotals(
  {share, totals, isLimited}: AllotmentState,
  {entries, nowMs}: AllotmentTerms,
): number {
  const isKept = [...totals.values()].some(
    ({atMs}) => nowMs - atMs <= SHARE_KEPT_MS,
  );
  const usable = Math.max(1 / entries, isKept ? share : 0);
  return isLimited ? CUT_OFF_SHARE * usable : usable;
}

/** Decision about one request. */
export interface AllotmentDecision {
  readonly state: AllotmentState;
  readonly isAdmitted: boolean;
  /** Time until the allotment is expected to admit it, in milliseconds; 0 if admitted. */
  readonly retryAfterMs: number;
}

/** Decides about a request of the amount. `draw` is random, from 0 up to but not including 1. */
export function decideAllotment(
  state: AllotmentState,
  amount: number,
  terms: AllotmentTerms,
  draw: number,
): AllotmentDecision {
  const {allotment, entries, nowMs} = terms;
  const elapsedMs = Math.max(0, nowMs - state.atMs);
  const share = shareWithoutTotals(state, terms);
  const reservePerSecond = share * allotment.perSecond;
  const fullReserve = Math.max(
    RESERVE_BURSTS * share * allotment.burst,
    RESERVE_REQUESTS * amount,
  );
  const reserve = Math.min(
    fullReserve,
    (state.reserve ?? fullReserve) + (reservePerSecond * elapsedMs) / 1_000,
  );
  const known = knownUse(state, terms);
  const fraction = known && admittedFraction(known, allotment, entries);
  // A request may be larger than the whole reserve, which then goes below 0.
  const isAdmitted = fraction === undefined ? reserve > 0 : draw < fraction;
  const isReserveUsed = isAdmitted && fraction === undefined;
  const isLimited = fraction === undefined ? state.isLimited : fraction < 1;
  const left = reserve - (isReserveUsed ? amount : 0);
  const asked: AllotmentState = {
    ...state,
    asked: state.asked + amount,
    admitted: state.admitted + (isAdmitted ? amount : 0),
    ownPerSecond:
      state.ownPerSecond * Math.exp(-elapsedMs / OWN_RATE_TIME_MS) +
      amount / (OWN_RATE_TIME_MS / 1_000),
    atMs: nowMs,
    isLimited,
    // An account at its limit has no reserve left when the totals end.
    reserve: fraction !== undefined && isLimited ? Math.min(left, 0) : left,
  };
  if (isAdmitted) return {state: asked, isAdmitted, retryAfterMs: 0};
  const waitS =
    known === undefined
      ? (amount - reserve) / reservePerSecond
      : Math.max(0, known.askedPerSecond / allotment.perSecond - 1) +
        Math.max(0, amount - known.level) / allotment.perSecond;
  return {state: asked, isAdmitted, retryAfterMs: Math.ceil(waitS * 1_000)};
}

/** Returns the state after an admitted request was not sent to any target. */
export function withoutUse(
  state: AllotmentState,
  amount: number,
): AllotmentState {
  return {...state, admitted: state.admitted - amount};
}

/** Returns the state after a target node has stated its total at `nowMs`. */
export function withTotal(
  state: AllotmentState,
  node: string,
  total: AccountTotal,
  nowMs: number,
): AllotmentState {
  const totals = new Map(state.totals);
  for (const [other, {atMs}] of totals) {
    if (nowMs - atMs > SHARE_KEPT_MS) totals.delete(other);
  }
  totals.set(node, {...total, atMs: nowMs});
  const elapsedMs = Math.max(0, nowMs - state.atMs);
  const own = state.ownPerSecond * Math.exp(-elapsedMs / OWN_RATE_TIME_MS);
  const all = Math.max(own, total.askedPerSecond);
  return {...state, totals, share: all === 0 ? 0 : own / all};
}

/**
 * Returns how much of what may be left unstated has been asked for since the last statement; a
 * statement is due from 1 on.
 */
export function statementUrgency(
  state: AllotmentState,
  terms: AllotmentTerms,
): number {
  const {allotment, entries} = terms;
  const unstated = state.asked - state.statedAsked;
  if (unstated <= 0) return 0;
  if (state.totals.size === 0) return 1;
  const known = knownUse(state, terms);
  const isLimited =
    known !== undefined && admittedFraction(known, allotment, entries) < 1;
  if (isLimited) return 1;
  const isFar =
    known !== undefined &&
    known.level >= allotment.burst / 2 &&
    known.askedPerSecond < FAR_SHARE * allotment.perSecond;
  const unstatedS = isFar ? UNSTATED_S.far : UNSTATED_S.near;
  return unstated / ((unstatedS * allotment.perSecond) / entries);
}

/**
 * Returns the least time between the last statement of the entry and the next one for this
 * account, in milliseconds.
 */
export function accountIntervalMs(
  state: AllotmentState,
  terms: AllotmentTerms,
): number {
  const {allotment, entries} = terms;
  const unstated = state.admitted - state.statedAdmitted;
  const isSurge = unstated >= (SURGE_S * allotment.perSecond) / entries;
  return isSurge ? MIN_STATEMENT_INTERVAL_MS : statementIntervalMs(entries);
}

/** Returns the state after a statement, and the statement. */
export function stateUse(
  state: AllotmentState,
  account: number,
  {perSecond, burst}: Allotment,
): {readonly state: AllotmentState; readonly use: AccountUse} {
  const {asked, admitted} = state;
  return {
    state: {...state, statedAsked: asked, statedAdmitted: admitted},
    use: {account, asked, admitted, perSecond, burst},
  };
}
