/** Issues tickets for targets that this entry has heard from. */
import {encodeTicket, type HeldTicket} from '@balsamnotch/core';
import type {Parts} from './parts.js';

/** A ticket that is bound to the present incarnation of a target; undefined without its report. */
export function issueTicket(
  parts: Parts,
  caller: string,
  target: string,
): Omit<HeldTicket, 'issuedHere'> | undefined {
  const status = parts.targets.status(target);
  if (status?.report === undefined) return undefined;
  const {incarnation} = status.report;
  const text = encodeTicket({
    service: status.listed.service,
    target,
    incarnation,
    nonce: parts.context.randomId(),
    caller,
    issuedNodeClockMs: parts.targets.nodeDeadline(status, 0),
  });
  return {text, target, incarnation};
}
