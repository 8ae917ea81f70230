/** What the choice of a request's target depends on. */
import type {
  ClientAccount,
  RankedRequest,
  RoutedService,
} from '@balsamnotch/core';
import type {CallerHeaders} from './protocol.js';
import type {ForwardingResources} from './resources.js';

/** Properties of a request that determine the choice of its target. */
export interface ChoiceRequest extends Omit<RankedRequest, 'account'> {
  readonly caller: CallerHeaders;
  /** Account of the caller; undefined if it has none. */
  readonly account?: ClientAccount;
  readonly service: RoutedService;
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events for which the answer is on time, in milliseconds. */
  readonly gapObjectiveMs: number;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: () => number;
  /** Returns whether the request no longer needs a target. */
  readonly isFinished: () => boolean;
  /** Key of the request's stream; empty if it is none. */
  readonly stream: string;
}

/** What the requests of an entry share for their choice. */
export type ChoiceResources = Pick<
  ForwardingResources,
  'context' | 'targets' | 'questions' | 'plainRoom'
>;
