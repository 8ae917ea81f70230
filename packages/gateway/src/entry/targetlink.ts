/** Opens the links of an entry to target nodes. */
import {toBinary} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import {
  MERGED_VERSION,
  announcementProbability,
  passingProbability,
  rankTargets,
  spreadingProbability,
} from '@balsamnotch/core';
import {transportTo} from '@balsamnotch/daemon';
import {
  HoldRequestSchema,
  Placement,
  type EngineReport,
} from '@balsamnotch/wire';
import type {GatewayContext} from '../node/context.js';
import {openNodeLink, type NodeLink, type NodeLinkOptions} from './nodelink.js';
import type {TargetState} from './targets.js';
import type {OwnVersions} from './originquestions.js';

/** Timeout of an exchange of operator changes, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 2_000;

/** Time after which the idle session of such an exchange closes, in milliseconds. */
const IDLE_SESSION_MS = 500;

/** Age up to which what a report estimates is used, in milliseconds. */
const MAX_COUNT_AGE_MS = 60_000;

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
  /** See {@link NodeLinkOptions.onTotals}. */
  readonly onTotals: NonNullable<NodeLinkOptions['onTotals']>;
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
  onTotals,
}: TargetLinkOptions): NodeLink {
  return openNodeLink({
    context,
    address,
    session,
    createLeaseId,
    versions,
    onTotals,
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

/** Key of the order in which entries choose the target nodes that add up the use of accounts. */
const TOTALS_KEY = 'account-totals';

/**
 * Returns the links to the target nodes that are reached, by address, in the order in which all
 * entries prefer them for adding up the use of accounts.
 */
export function totalLinks(
  links: ReadonlyMap<string, NodeLink>,
): ReadonlyMap<string, NodeLink> {
  const reached = [...links]
    .filter(([, link]) => !link.isLost())
    .map(([name, link]) => ({name, weight: 1, link}));
  const ranked = rankTargets(TOTALS_KEY, reached);
  return new Map(ranked.map(({name, link}) => [name, link]));
}

/** Returns the mean of a value that target nodes estimate; 0 if none of them has. */
export function meanOfReports(
  links: ReadonlyMap<string, NodeLink>,
  valueOf: (report: EngineReport) => number,
): number {
  const values = [...links.values()].flatMap(link => {
    const report = link.report(MAX_COUNT_AGE_MS);
    const value = report === undefined ? 0 : valueOf(report);
    return value > 0 ? [value] : [];
  });
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}
