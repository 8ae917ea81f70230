/** What an entry and a target node both know of a request that needs a lease. */
import type {PacedRequest} from '@balsamnotch/core';

/** The request that a lease is for. */
export interface LeaseTerms extends Omit<PacedRequest, 'requestedAtMs'> {
  readonly requestId: string;
  readonly model: string;
  readonly adapter: string;
  /** Minimum version of the adapter; 0 for any. */
  readonly version: number;
  /**
   * Parts of the prompt, in order; the last belongs to the request or its session alone.
   */
  readonly promptParts: readonly string[];
  /** Rank among the requests that compete for the engine; 0 is served first. */
  readonly rank: number;
  /** Key of the stream that the request begins or goes on with; empty or absent if it is none. */
  readonly stream?: string;
  /** Software version of the server; empty or absent if its record has none. */
  readonly softwareVersion?: string;
  /**
   * Whether the request goes on with a stream that no other server can continue, because of their
   * software versions. It goes before all others, and no queue is too long for it.
   */
  readonly continues?: boolean;
  /** Name of the caller's account; empty or absent if it has none. */
  readonly account?: string;
  /** Number of tokens that the answer may have; 0 or absent if the caller stated none. */
  readonly outputTokens?: number;
}
