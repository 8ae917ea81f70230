/** Routes of forwarded requests: selects the route of a request and one of its services. */

/** Kinds of forwarded requests, by whether the operator allows them to run more than once. */
export const REQUEST_KIND = {
  /** May run more than once. */
  safe: 'safe',
  /** Runs at most once. */
  unsafe: 'unsafe',
  /** An event stream. Runs at most once unless the route is resumable. */
  streaming: 'streaming',
} as const;

/** One of the values of {@link REQUEST_KIND}. */
export type RequestKind = (typeof REQUEST_KIND)[keyof typeof REQUEST_KIND];

/** Share of a route's traffic that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  /** Weight relative to the other shares of the route; above 0. */
  readonly weight: number;
}

/** A route, selected by host and path prefix. */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without port. */
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Maximum time that a caller waits for the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: time within which an answer has its full value, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Objective for the gap between events of a stream, in milliseconds; 0 without an objective. */
  readonly gapObjectiveMs: number;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  /** Whether callers without a key may use the route; false if absent. */
  readonly isPublic?: boolean;
  /** Maximum number of targets that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether another target may continue an interrupted stream of the route. */
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** A base model of a service. */
export interface ServedModel {
  readonly name: string;
  readonly weightsMb: number;
  readonly adapterMb: number;
  /** Configured time to load it from the weight store, in milliseconds. */
  readonly loadMs: number;
}

/** Capacity of each engine of a service. */
export interface EngineShape {
  readonly models: readonly ServedModel[];
  /** Memory for model weights and adapters together, in MB. */
  readonly weightsMb: number;
  readonly adapterSlots: number;
  /** Maximum number of requests in one batch. */
  readonly batchSlots: number;
}

/** A service that routes send requests to. */
export interface RoutedService {
  readonly name: string;
  /** Absent for a plain service. */
  readonly engine?: EngineShape;
}

/** Limits for the requests of a caller. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** What the amounts of an {@link Allotment} count. */
export const ALLOTMENT_UNIT = {requests: 'requests', tokens: 'tokens'} as const;

/** One of the values of {@link ALLOTMENT_UNIT}. */
export type AllotmentUnit =
  (typeof ALLOTMENT_UNIT)[keyof typeof ALLOTMENT_UNIT];

/** Limit on what the callers of one account may use at all entries together. */
export interface Allotment {
  readonly unit: AllotmentUnit;
  /** Amount that becomes available in each second; above 0. */
  readonly perSecond: number;
  /** Amount that may be used at once, after a time without use. */
  readonly burst: number;
  /** Number of tokens that a request counts as that states none. */
  readonly defaultTokens: number;
}

/** A client account: callers that share keys, a priority and a limit. */
export interface ClientAccount {
  readonly name: string;
  /** Each identifies a caller as one of the account; secret. */
  readonly keys: readonly string[];
  /** Goes before the priority of a request's route; undefined to keep that. */
  readonly priority?: number;
  /** Undefined for no limit. */
  readonly allotment?: Allotment;
}

/** A published version of the routes and services. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /**
   * Accounts of callers; undefined if the deployment has none, so that all routes are open to
   * callers without a key.
   */
  readonly accounts?: readonly ClientAccount[];
  /**
   * Whether a node of the release before passed the table on, which leaves out the accounts. The
   * whole table of the same version replaces it.
   */
  readonly lacksAccounts?: boolean;
}

/** Returns whether an offered table goes before the one in force. */
export function replacesTable(
  offered: RouteTable,
  known: RouteTable | undefined,
): boolean {
  if (known === undefined || offered.version > known.version) return true;
  const isCompletion =
    known.lacksAccounts === true && offered.lacksAccounts !== true;
  return isCompletion && offered.version === known.version;
}

/** Returns the host of a `Host` header in lower case and without port, as used in routes. */
export function normalizedHost(header: string): string {
  return header.replace(/:\d*$/, '').toLowerCase();
}

/**
 * Returns the route of the host with the longest prefix of the path, or undefined without a
 * match.
 */
export function matchRoute(
  table: RouteTable,
  host: string,
  path: string,
): Route | undefined {
  let best: Route | undefined;
  for (const route of table.routes) {
    if (route.host !== host || !path.startsWith(route.prefix)) continue;
    if (best === undefined || route.prefix.length > best.prefix.length) {
      best = route;
    }
  }
  return best;
}

/** Selects the service for a request at random by weight; `draw` is uniform in [0, 1). */
export function pickService({shares}: Route, draw: number): string {
  const totalWeight = shares.reduce((sum, share) => sum + share.weight, 0);
  let remainingWeight = draw * totalWeight;
  for (const {service, weight} of shares) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return shares.at(-1)?.service ?? '';
}

/** Returns whether a request of the route may run more than once. */
export function isIdempotent({kind, resumable}: Route): boolean {
  return (
    kind === REQUEST_KIND.safe || (kind === REQUEST_KIND.streaming && resumable)
  );
}
