/** Issues tickets for targets that this entry has heard from. */
import {
  NODE_STATE,
  encodeTicket,
  type HeldTicket,
  type Standing,
} from '@balsamnotch/core';
import type {Parts} from './parts.js';

/** Names of a service's targets that take new work, the least busy first. */
export function plainCandidates(
  parts: Parts,
  service: string,
): readonly string[] {
  const load = ({report, sentSince}: Standing) =>
    (report?.queued ?? 0) + (report?.active ?? 0) + sentSince;
  return parts.targets
    .usable(service)
    .filter(({report}) => report?.state === NODE_STATE.serving)
    .map(standing => ({
      name: standing.listed.name,
      load: load(standing),
      tie: parts.context.random(),
    }))
    .sort((a, b) => a.load - b.load || a.tie - b.tie)
    .map(({name}) => name);
}

/** A ticket that is bound to the present incarnation of a target; undefined without its report. */
export function issueTicket(
  parts: Parts,
  caller: string,
  target: string,
): Omit<HeldTicket, 'issuedHere'> | undefined {
  const standing = parts.targets.standing(target);
  if (standing?.report === undefined) return undefined;
  const {incarnation} = standing.report;
  const text = encodeTicket({
    service: standing.listed.service,
    target,
    incarnation,
    nonce: parts.context.randomId(),
    caller,
    issuedNodeClockMs: parts.targets.nodeDeadline(standing, 0),
  });
  return {text, target, incarnation};
}
