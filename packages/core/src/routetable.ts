/** Routes of forwarded requests: which one a request takes, and which service of a split. */

/** What the operator allows a forwarded request to do more than once. */
export const REQUEST_KIND = {
  /** May run more than once. */
  safe: 'safe',
  /** Runs at most once. */
  unsafe: 'unsafe',
  /** An event stream; runs at most once unless the route is resumable. */
  streaming: 'streaming',
} as const;

/** One of the values of {@link REQUEST_KIND}. */
export type RequestKind = (typeof REQUEST_KIND)[keyof typeof REQUEST_KIND];

/** Part of a route's traffic that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  /** Relative to the other shares, above 0. */
  readonly weight: number;
}

/** A route by host and path prefix. */
export interface Route {
  readonly name: string;
  /** Lower case, without port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time in which an answer is worth most, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Longest pause between events of a stream, in milliseconds; 0 without one. */
  readonly gapObjectiveMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Targets that one request may be sent to. */
  readonly maxAttempts: number;
  readonly resumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** A base model of a service. */
export interface ServedModel {
  readonly name: string;
  readonly weightsMb: number;
  readonly adapterMb: number;
  /** Stated time of a load from the weight store, in milliseconds. */
  readonly loadMs: number;
}

/** Room of the engines of a service. */
export interface EngineShape {
  readonly models: readonly ServedModel[];
  /** Memory for weights and adapters together, in MB. */
  readonly weightsMb: number;
  readonly adapterSlots: number;
  /** Requests in one batch. */
  readonly batchSlots: number;
}

/** A service that routes lead to. */
export interface RoutedService {
  readonly name: string;
  /** Absent for a plain service. */
  readonly engine?: EngineShape;
}

/** Limits of what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A published version of routes and services. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
}

/** Host of a `Host` header in the form that routes use. */
export function normalizedHost(header: string): string {
  return header.replace(/:\d*$/, '').toLowerCase();
}

/** The route with the longest prefix that begins the path; undefined when none does. */
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

/** Service for a request; `draw` is uniform in [0, 1). */
export function serviceFor({shares}: Route, draw: number): string {
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  let left = draw * total;
  for (const {service, weight} of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares.at(-1)?.service ?? '';
}

/** Tells whether a request on the route may run more than once. */
export function isIdempotent({kind, resumable}: Route): boolean {
  return (
    kind === REQUEST_KIND.safe || (kind === REQUEST_KIND.streaming && resumable)
  );
}
