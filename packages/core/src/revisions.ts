/** Which configuration revision is in force, and which peers a node asks about it. */
import {rankTargets} from './rendezvous.js';

/** Identity of a published configuration. */
export interface RevisionIdentity {
  /** Number given by the operator; 1 or more. */
  readonly revision: number;
  /** SHA-256 of the manifest, hexadecimal. */
  readonly hash: string;
  /** Version that the configuration service counts for the manifest. */
  readonly version: number;
}

/** What to do with an offered revision. */
export const ADOPTION = {
  adopt: 'adopt',
  same: 'same',
  older: 'older',
  /** Same number, other content, published later: refused. */
  conflict: 'conflict',
} as const;

/** One of the values of {@link ADOPTION}. */
export type Adoption = (typeof ADOPTION)[keyof typeof ADOPTION];

/**
 * Decides about an offered revision. The highest number wins. When two
 * operators publish different contents under one number, the content that was
 * published first wins at every node, so that the fleet agrees and the later
 * operator's change is reported instead of replacing the earlier one.
 */
export function adoption(
  inForce: RevisionIdentity | undefined,
  offered: RevisionIdentity,
): Adoption {
  if (inForce === undefined || offered.revision > inForce.revision) {
    return ADOPTION.adopt;
  }
  if (offered.revision < inForce.revision) return ADOPTION.older;
  if (offered.hash === inForce.hash) return ADOPTION.same;
  const offeredFirst =
    offered.version !== inForce.version
      ? offered.version < inForce.version
      : offered.hash < inForce.hash;
  return offeredFirst ? ADOPTION.adopt : ADOPTION.conflict;
}

/** A node that can be asked about its revision. */
export interface Peer {
  readonly name: string;
  readonly failureDomain: string;
}

/** Peers that a fresh node asks in each failure domain. */
export const STARTUP_PEERS_PER_DOMAIN = 2;

/** Peers among which a node exchanges revisions while it runs. */
export const EXCHANGE_PEERS = 8;

/** Nodes of each failure domain that watch the configuration service. */
export const WATCHERS_PER_DOMAIN = 4;

function ranked<P extends Peer>(key: string, peers: readonly P[]): P[] {
  return rankTargets(
    key,
    peers.map(peer => ({name: peer.name, weight: 1, peer})),
  ).map(entry => entry.peer);
}

function byDomain<P extends Peer>(peers: readonly P[]): P[][] {
  const domains = new Map<string, P[]>();
  for (const peer of peers) {
    const members = domains.get(peer.failureDomain) ?? [];
    members.push(peer);
    domains.set(peer.failureDomain, members);
  }
  return [...domains.values()];
}

/** Peers that a fresh node asks before it serves: some in each failure domain. */
export function startupPeers<P extends Peer>(
  self: string,
  peers: readonly P[],
): readonly P[] {
  const others = peers.filter(peer => peer.name !== self);
  return byDomain(others).flatMap(members =>
    ranked(self, members).slice(0, STARTUP_PEERS_PER_DOMAIN),
  );
}

/**
 * Peers among which a node exchanges revisions. The set depends on the node's
 * name only, so connections stay open, and a graph of random edges reaches all
 * nodes in a number of rounds that grows with the logarithm of their number.
 */
export function exchangePeers<P extends Peer>(
  self: string,
  peers: readonly P[],
): readonly P[] {
  const others = peers.filter(peer => peer.name !== self);
  return ranked(self, others).slice(0, EXCHANGE_PEERS);
}

/** Tells whether a node watches the configuration service itself. */
export function isWatcher(self: Peer, peers: readonly Peer[]): boolean {
  const domain = peers.filter(
    peer =>
      peer.failureDomain === self.failureDomain && peer.name !== self.name,
  );
  return ranked('watcher', [...domain, self])
    .slice(0, WATCHERS_PER_DOMAIN)
    .some(peer => peer.name === self.name);
}
