/** Reasons for which target nodes refuse leases, and the requests that each of them holds for. */
import {REFUSAL_SCOPE, type RefusalScope} from '@balsamnotch/core';
import {QUARANTINED} from './crashevidence.js';
import {LIMIT_REACHED} from './statedlimit.js';

/** Reasons for refusing a lease. */
export const LEASE_REFUSAL = {
  /** The lease could not be granted in the time for which the request could wait. */
  timeout: 'adapter_not_in_time',
  /** More adapters are queued than can be loaded in time. */
  loadQueueFull: 'load_queue_full',
  /** More requests wait for a batch slot than can start in time. */
  engineFull: 'engine_full',
  /** As many requests of the caller's account wait as may while others do. */
  accountFull: 'account_full',
  /** The base model will not be loaded within the time that the request can wait. */
  modelNotInTime: 'model_not_in_time',
  /** The engine does not answer its target node. */
  engineUnreachable: 'engine_unreachable',
  /** The engine's limit allows no further request in time. */
  limited: LIMIT_REACHED,
  /** A part of the prompt crashes engines. */
  quarantined: QUARANTINED,
} as const;

/** Scopes of the reasons that hold for other requests; reports state the limit of an engine. */
const SCOPES: Readonly<Record<string, RefusalScope>> = {
  [LEASE_REFUSAL.timeout]: REFUSAL_SCOPE.adapter,
  [LEASE_REFUSAL.loadQueueFull]: REFUSAL_SCOPE.absent,
  [LEASE_REFUSAL.engineFull]: REFUSAL_SCOPE.held,
  [LEASE_REFUSAL.accountFull]: REFUSAL_SCOPE.held,
  [LEASE_REFUSAL.modelNotInTime]: REFUSAL_SCOPE.model,
  [LEASE_REFUSAL.engineUnreachable]: REFUSAL_SCOPE.all,
};

/** Returns the requests that a refusal holds for; undefined if only for the refused one. */
export function refusalScope(reason: string): RefusalScope | undefined {
  return SCOPES[reason];
}
