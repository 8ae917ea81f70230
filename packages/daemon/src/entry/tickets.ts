/** Issues tickets for targets whose report this entry has. */
import {encodeTicket, type RequestTicket} from '@balsamnotch/core';
import type {EntryComponents} from './parts.js';

/**
 * Issues a ticket that is bound to the last reported incarnation of a target. Returns
 * undefined if there is no report from the target.
 */
export function issueTicket(
  entry: EntryComponents,
  caller: string,
  target: string,
): Omit<RequestTicket, 'issuedHere'> | undefined {
  const status = entry.targets.status(target);
  if (status?.report === undefined) return undefined;
  const {incarnation} = status.report;
  const text = encodeTicket({
    service: status.listed.service,
    target,
    incarnation,
    nonce: entry.context.randomId(),
    caller,
    issuedNodeClockMs: entry.targets.deadlineInTargetClockMs(status, 0),
  });
  return {text, target, incarnation};
}
