/** A request that an entry forwards. */
import type {ClientAccount, Route, RoutedService} from '@balsamnotch/core';
import type {CallerHeaders} from './protocol.js';

/** A completely received request that has a route. */
export interface AdmittedRequest {
  readonly caller: CallerHeaders;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly hasBody: boolean;
  readonly route: Route;
  readonly service: RoutedService;
  /** Whether the deployment has accounts, so that the caller's key is not passed on. */
  readonly hasAccounts: boolean;
  /** Account of the caller; undefined without a known key, on a route that needs none. */
  readonly account?: ClientAccount;
  /** Priority of the account, or else of the route; 0 is the highest. */
  readonly priority: number;
  /** Monotonic time at which the head of the request arrived, in milliseconds. */
  readonly arrivedAtMs: number;
  /**
   * Monotonic time in milliseconds up to which all that the caller had sent was known when the
   * request was started, and the caller was present; -Infinity if that is not known.
   */
  readonly confirmedAtMs: number;
  /** Monotonic time by which the answer is due, in milliseconds. */
  readonly dueAtMs: number;
}
