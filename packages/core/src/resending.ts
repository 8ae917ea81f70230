/** Repetition of datagrams that have not been answered. */

/**
 * Time until an unanswered message is sent again, in milliseconds; doubles with each
 * repetition. Twenty times the round trip between failure domains, so that a target
 * node that is late with its work seldom receives a message twice.
 */
const FIRST_RESEND_MS = 60;

/** Upper limit of the time between two repetitions, in milliseconds. */
const MAX_RESEND_MS = 480;

/**
 * Time until a request is sent again that the node has confirmed but not decided, in
 * milliseconds. Finds a decision whose datagram was lost.
 */
export const CONFIRMED_RESEND_MS = 480;

/**
 * Time for which a message stays unanswered until the node counts as lost, in
 * milliseconds. Three datagrams have been sent by then.
 */
const LOST_AFTER_MS = 420;

/** Time until a lost node is probed again, in milliseconds; doubles with each probe. */
const FIRST_LOST_PROBE_MS = 250;

/** Upper limit of the time between two probes of a lost node, in milliseconds. */
const MAX_LOST_PROBE_MS = 2_000;

/** Returns the time until the next repetition of a message that was sent `sends` times. */
export function resendDelayMs(sends: number): number {
  return Math.min(MAX_RESEND_MS, FIRST_RESEND_MS * 2 ** Math.max(0, sends - 1));
}

/** Returns the time until a lost node is probed again after `probes` unanswered probes. */
export function lostProbeDelayMs(probes: number): number {
  return Math.min(MAX_LOST_PROBE_MS, FIRST_LOST_PROBE_MS * 2 ** probes);
}

/**
 * Returns whether a node counts as lost that has had `silentMs` milliseconds for its answer. A wait
 * for the answer counts with its planned length, however late its end is noticed: a process that is
 * late has read nothing meanwhile, which says nothing of the node.
 */
export function isNodeLost(silentMs: number): boolean {
  return silentMs >= LOST_AFTER_MS;
}
