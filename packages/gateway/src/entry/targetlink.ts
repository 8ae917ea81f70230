/** Opens the links of an entry to target nodes. */
import {toBinary} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {
  MERGED_VERSION,
  announcementProbability,
  passingProbability,
  spreadingProbability,
} from '@balsamnotch/core';
import {transportTo} from '@balsamnotch/daemon';
import {HoldRequestSchema, Placement} from '@balsamnotch/wire';
import type {GatewayContext} from '../node/context.js';
import {openNodeLink, type NodeLink} from './nodelink.js';
import type {TargetState} from './targets.js';
import type {OwnVersions} from './originquestions.js';

/** Timeout of an exchange of operator changes, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 2_000;

/** Time after which the idle session of such an exchange closes, in milliseconds. */
const IDLE_SESSION_MS = 500;

/** Options of {@link openTargetLink}. */
export interface TargetLinkOptions {
  readonly context: GatewayContext;
  /** Number chosen at random when the process starts. */
  readonly session: number;
  /** Returns a number that no lease of this process has had. */
  readonly createLeaseId: () => number;
  /** `ip:port` of the target node. */
  readonly address: string;
  /** Returns the number of links of this entry. */
  readonly linkCount: () => number;
  /** Sends a datagram. */
  readonly send: (data: Uint8Array, address: string) => void;
  readonly versions: OwnVersions;
}

/** Opens the link to a target node. */
export function openTargetLink({
  context,
  session,
  createLeaseId,
  address,
  linkCount,
  send,
  versions,
}: TargetLinkOptions): NodeLink {
  return openNodeLink({
    context,
    address,
    session,
    createLeaseId,
    versions,
    send: request => send(toBinary(HoldRequestSchema, request), address),
    exchangeChanges: request =>
      createClient(
        Placement,
        transportTo(address, {idleConnectionTimeoutMs: IDLE_SESSION_MS}),
      ).exchange(request, {timeoutMs: EXCHANGE_TIMEOUT_MS}),
    isAnnounced: () => context.random() < announcementProbability(linkCount()),
    isPassedOn: ({version}) => {
      const probability =
        version === MERGED_VERSION ? spreadingProbability : passingProbability;
      return context.random() < probability(linkCount());
    },
  });
}

/** Returns the links to the target nodes beside those targets that belong to a service, by address. */
export function linksBeside(
  targets: Iterable<Pick<TargetState, 'listing' | 'nodeAddress'>>,
  links: ReadonlyMap<string, NodeLink>,
  service: string,
): ReadonlyMap<string, NodeLink> {
  const beside = new Map<string, NodeLink>();
  for (const {listing, nodeAddress} of targets) {
    if (listing.target.service !== service) continue;
    const link = links.get(nodeAddress);
    if (link !== undefined) beside.set(nodeAddress, link);
  }
  return beside;
}
