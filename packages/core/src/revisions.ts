/** Decides which configuration revision a node adopts and which peers it asks for revisions. */
import {rankTargets} from './rendezvous.js';

/** Identity of a published configuration. */
export interface RevisionIdentity {
  /** Number assigned by the operator; 1 or more. */
  readonly revision: number;
  /** SHA-256 of the manifest in hexadecimal. */
  readonly hash: string;
  /** Version of the manifest, counted by the configuration service. */
  readonly version: number;
}

/** Decisions about an offered revision. */
export const ADOPTION = {
  adopt: 'adopt',
  same: 'same',
  older: 'older',
  /** Same number but different content that was published later; refused. */
  conflict: 'conflict',
} as const;

/** One of the values of {@link ADOPTION}. */
export type Adoption = (typeof ADOPTION)[keyof typeof ADOPTION];

/**
 * Decides whether to adopt an offered revision. The highest number wins. If two
 * operators publish different contents under the same number, the content published
 * first wins at every node: all nodes agree, and the later change is reported as a
 * conflict instead of replacing the earlier one.
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
  const isOfferedFirst =
    offered.version !== inForce.version
      ? offered.version < inForce.version
      : offered.hash < inForce.hash;
  return isOfferedFirst ? ADOPTION.adopt : ADOPTION.conflict;
}

/** A node that other nodes can ask for its revision. */
export interface Peer {
  readonly name: string;
  readonly failureDomain: string;
}

/** Number of peers that a starting node asks in each failure domain. */
export const STARTUP_PEERS_PER_DOMAIN = 2;

/** Number of peers with which a running node exchanges revisions. */
export const EXCHANGE_PEERS = 8;

/** Number of nodes in each failure domain that watch the configuration service. */
export const WATCHERS_PER_DOMAIN = 4;

function rankPeers<P extends Peer>(key: string, peers: readonly P[]): P[] {
  return rankTargets(
    key,
    peers.map(peer => ({name: peer.name, weight: 1, peer})),
  ).map(entry => entry.peer);
}

function groupByDomain<P extends Peer>(peers: readonly P[]): P[][] {
  const domains = new Map<string, P[]>();
  for (const peer of peers) {
    const members = domains.get(peer.failureDomain) ?? [];
    members.push(peer);
    domains.set(peer.failureDomain, members);
  }
  return [...domains.values()];
}

/** Returns the peers that a starting node asks before it serves, some in each failure domain. */
export function startupPeers<P extends Peer>(
  self: string,
  peers: readonly P[],
): readonly P[] {
  const others = peers.filter(peer => peer.name !== self);
  return groupByDomain(others).flatMap(members =>
    rankPeers(self, members).slice(0, STARTUP_PEERS_PER_DOMAIN),
  );
}

/**
 * Returns the peers with which a node exchanges revisions. For a given list of
 * nodes the set depends only on the node's name, so connections stay open. The
 * exchanges form a random graph, in which a revision reaches all nodes in a number
 * of rounds that grows with the logarithm of the number of nodes.
 */
export function exchangePeers<P extends Peer>(
  self: string,
  peers: readonly P[],
): readonly P[] {
  const others = peers.filter(peer => peer.name !== self);
  return rankPeers(self, others).slice(0, EXCHANGE_PEERS);
}

/**
 * Returns whether a node watches the configuration service. Other nodes rely on exchanges with
 * peers.
 */
export function isWatcher(self: Peer, peers: readonly Peer[]): boolean {
  const domainPeers = peers.filter(
    peer =>
      peer.failureDomain === self.failureDomain && peer.name !== self.name,
  );
  return rankPeers('watcher', [...domainPeers, self])
    .slice(0, WATCHERS_PER_DOMAIN)
    .some(peer => peer.name === self.name);
}
