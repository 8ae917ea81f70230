/**
 * What an entry remembers of refused leases. The reason for which a target node refuses one request
 * mostly holds for the next ones too. An entry that asks anew for each of them sends requests times
 * targets messages, most when the targets have least room.
 */

/** Requests that the reason of a refusal holds for. */
export const REFUSAL_SCOPE = {
  /** All requests. */
  all: 'all',
  /** Those for the same base model. */
  model: 'model',
  /** Those of the same client account for adapters that the engine does not hold. */
  absent: 'absent',
  /** Those of the same client account for adapters that the engine holds. */
  held: 'held',
  /** Those for the same adapter. */
  adapter: 'adapter',
} as const;

/** One of the values of {@link REFUSAL_SCOPE}. */
export type RefusalScope = (typeof REFUSAL_SCOPE)[keyof typeof REFUSAL_SCOPE];

/** A request for a lease, as far as refusals depend on it. */
export interface RefusableRequest {
  readonly model: string;
  readonly adapter: string;
  /** Whether the engine holds the adapter, as the entry knows it. */
  readonly isHeld: boolean;
  /** Rank among the requests that compete for an engine; 0 is served first. */
  readonly rank: number;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number;
  /**
   * Name of the caller's account; empty or absent if it has none. The room of one account says
   * nothing about that of another.
   */
  readonly account?: string;
}

/** A lease that a target node has refused. */
export interface RefusedLease {
  readonly scope: RefusalScope;
  readonly request: RefusableRequest;
  readonly reason: string;
  /** Monotonic time at which the node expects room, in milliseconds. */
  readonly untilMs: number;
}

/** Refusals of one target node that still hold, at most one for each scope and adapter. */
export type LeaseRefusals = readonly RefusedLease[];

/** Refusals of a node that has refused nothing. */
export const NO_REFUSALS: LeaseRefusals = [];

/** Shortest time for which a refusal holds, in milliseconds: a lease takes about as long to end. */
const MIN_REFUSED_MS = 100;

/**
 * Longest time for which a refusal holds, in milliseconds. Nodes estimate when they have room from
 * what they have seen lately, and room may come sooner.
 */
const MAX_REFUSED_MS = 1_000;

/** Time for which a refusal holds that states none, in milliseconds. */
const DEFAULT_REFUSED_MS = 250;

/** Number of refusals of one node that are kept; the latest stay. */
const MAX_REFUSALS = 16;

/** Returns until when a refusal holds that a node has just stated; 0 stands for an unknown time. */
export function refusedUntilMs(retryAfterMs: number, nowMs: number): number {
  const statedMs = retryAfterMs > 0 ? retryAfterMs : DEFAULT_REFUSED_MS;
  return nowMs + Math.min(MAX_REFUSED_MS, Math.max(MIN_REFUSED_MS, statedMs));
}

/** Returns whether two requests are of the same account, or both of none. */
function isSameAccount(a: RefusableRequest, b: RefusableRequest): boolean {
  return (a.account ?? '') === (b.account ?? '');
}

/** Scopes that hold for the requests of one account. */
const ACCOUNT_SCOPES: ReadonlySet<RefusalScope> = new Set([
  REFUSAL_SCOPE.absent,
  REFUSAL_SCOPE.held,
]);

function isSameScope(a: RefusedLease, b: RefusedLease): boolean {
  if (a.scope !== b.scope) return false;
  if (ACCOUNT_SCOPES.has(a.scope)) return isSameAccount(a.request, b.request);
  if (a.scope === REFUSAL_SCOPE.model) {
    return a.request.model === b.request.model;
  }
  if (a.scope !== REFUSAL_SCOPE.adapter) return true;
  return (
    a.request.model === b.request.model &&
    a.request.adapter === b.request.adapter
  );
}

/** Adds a refusal in place of the one of the same scope before it. */
export function withRefusal(
  refusals: LeaseRefusals,
  refused: RefusedLease,
  nowMs: number,
): LeaseRefusals {
  const others = refusals.filter(
    other => other.untilMs > nowMs && !isSameScope(other, refused),
  );
  return [...others, refused].slice(-MAX_REFUSALS);
}

/** Returns whether the reason of a refusal holds for a request. */
function covers(
  {scope, request: refused}: RefusedLease,
  request: RefusableRequest,
): boolean {
  if (ACCOUNT_SCOPES.has(scope) && !isSameAccount(refused, request)) {
    return false;
  }
  const isSameModel = refused.model === request.model;
  // Queues have more room for requests that are served first, and for those that can wait longer.
  const hasNoMoreRoom =
    request.rank >= refused.rank && request.objectiveMs <= refused.objectiveMs;
  switch (scope) {
    case REFUSAL_SCOPE.all:
      return true;
    case REFUSAL_SCOPE.model:
      return isSameModel;
    case REFUSAL_SCOPE.adapter:
      return isSameModel && refused.adapter === request.adapter;
    case REFUSAL_SCOPE.absent:
      return !request.isHeld && hasNoMoreRoom;
    case REFUSAL_SCOPE.held:
      return request.isHeld && hasNoMoreRoom;
  }
}

/** Returns the refusal that holds longest for a request now; undefined if none does. */
export function refusalOf(
  refusals: LeaseRefusals,
  request: RefusableRequest,
  nowMs: number,
): RefusedLease | undefined {
  return refusals
    .filter(refused => refused.untilMs > nowMs && covers(refused, request))
    .sort((a, b) => b.untilMs - a.untilMs)[0];
}

/** Returns the refusals that still hold after the node has granted a request. */
export function withoutRefusalsOf(
  refusals: LeaseRefusals,
  granted: RefusableRequest,
): LeaseRefusals {
  return refusals.filter(refused => !covers(refused, granted));
}

/** What a report says of an engine's room. */
export interface StatedRoom {
  /** Whether the engine has a base model. */
  readonly hasModel: boolean;
  /** Whether adapters are waited for that are not loaded. */
  readonly hasLoads: boolean;
}

/** Returns the refusals that still hold after a report of the node. */
export function withStatedRoom(
  refusals: LeaseRefusals,
  {hasModel, hasLoads}: StatedRoom,
): LeaseRefusals {
  const isOver = ({scope}: RefusedLease) =>
    (scope === REFUSAL_SCOPE.model && hasModel) ||
    (scope === REFUSAL_SCOPE.absent && !hasLoads);
  return refusals.filter(refused => !isOver(refused));
}

/** Number of target nodes that one attempt of a request asks for a lease at most. */
export const MAX_QUESTIONS = 4;

/** Questions beyond the first of each request that an entry may ask for each of its requests. */
const FURTHER_QUESTIONS_SHARE = 1;

/** Upper limit of further questions that an entry has saved. */
const MAX_SAVED_QUESTIONS = 32;

/** Further questions that an entry has saved: those of its requests without refusals. */
export interface QuestionBudget {
  readonly saved: number;
}

/** Budget of an entry that has just started. */
export const INITIAL_QUESTIONS: QuestionBudget = {saved: MAX_SAVED_QUESTIONS};

/** Returns the budget after a request that asks for leases has begun. */
export function withQuestioningRequest({
  saved,
}: QuestionBudget): QuestionBudget {
  return {
    saved: Math.min(MAX_SAVED_QUESTIONS, saved + FURTHER_QUESTIONS_SHARE),
  };
}

/**
 * Returns the budget after one more question of a request that has asked `asked` nodes; undefined
 * if it may ask none.
 */
export function withQuestion(
  {saved}: QuestionBudget,
  asked: number,
): QuestionBudget | undefined {
  if (asked === 0) return {saved};
  if (asked >= MAX_QUESTIONS || saved < 1) return undefined;
  return {saved: saved - 1};
}
