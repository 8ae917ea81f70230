/** Rank of a request among those that compete for an engine. */
import {
  EMPTY_PROFILE,
  admissionRank,
  withDeadline,
  type DeadlineProfile,
  type RankedRequest,
} from '@balsamnotch/core';
import type {AdmittedRequest} from './admittedrequest.js';

/**
 * Returns the rank of a request, 0 for the first, and adds its deadline to the profile of its
 * route. `profiles` holds the profiles by route name.
 */
export function requestRank(
  {route, priority, caller}: AdmittedRequest,
  profiles: Map<string, DeadlineProfile>,
): number {
  const profile = profiles.get(route.name) ?? EMPTY_PROFILE;
  profiles.set(route.name, withDeadline(profile, caller.deadlineMs));
  return admissionRank(priority, profile, caller.deadlineMs);
}

/** Returns the rank of a request as above, and the name of its account; empty without one. */
export function rankedRequest(
  request: AdmittedRequest,
  profiles: Map<string, DeadlineProfile>,
): RankedRequest {
  return {
    rank: requestRank(request, profiles),
    account: request.account?.name ?? '',
  };
}
