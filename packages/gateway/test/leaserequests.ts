/** Requests of tests for leases. */
import type {Leases, LeaseHandle, LeaseRequest} from '../src/agent/leases.js';

/** A lease that a test has asked for. */
export interface RequestedLease {
  readonly lease: LeaseHandle;
  readonly answers: string[];
  /** Expected time until a retry can succeed, with each answer. */
  readonly retryAfterMsList: number[];
}

/** Asks for a lease on an adapter of an engine that holds `held`. */
export function requestLease(
  leases: Leases,
  adapter: string,
  held: ReadonlySet<string>,
  overrides: Partial<LeaseRequest> = {},
): RequestedLease {
  const answers: string[] = [];
  const retryAfterMsList: number[] = [];
  const lease = leases.add(
    {
      requestId: 'r',
      model: 'm',
      adapter,
      version: 0,
      rank: 0,
      objectiveMs: 600,
      promptTokens: 100,
      promptParts: [],
      gapObjectiveMs: 0,
      requestedAtMs: 0,
      waitDeadlineMs: 1_000,
      answer: (reason, retryAfterMs) => {
        answers.push(reason);
        retryAfterMsList.push(retryAfterMs);
      },
      ...overrides,
    },
    (_, name) => held.has(name),
  );
  return {lease, answers, retryAfterMsList};
}
