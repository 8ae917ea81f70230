/** Connect clients for the Node service of other nodes. */
import {createClient, type Client} from '@connectrpc/connect';
import {Node} from '@balsamnotch/wire';
import {transportTo} from './session.js';

/** Client for the Node service of one peer. */
export type PeerClient = Client<typeof Node>;

/** Timeout of one `Revision` request to a peer, and of a ping, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_000;

/** Time limit for fetching the contents of a configuration from a peer, in milliseconds. */
const CONTENTS_TIMEOUT_MS = 3_000;

/** Time after which an unused connection to a peer is closed, in milliseconds. */
const IDLE_CONNECTION_MS = 60_000;

/** Creates a client, which opens its connection on the first request. */
export function connectPeer(address: string): PeerClient {
  return createClient(
    Node,
    transportTo(address, {
      idleConnectionTimeoutMs: IDLE_CONNECTION_MS,
      pingIntervalMs: PEER_TIMEOUT_MS * 5,
      pingTimeoutMs: PEER_TIMEOUT_MS,
    }),
  );
}

/**
 * Fetches the texts with the given content hashes from a peer. Texts that the
 * peer does not have are omitted. The content is not checked against the hashes.
 */
export async function fetchTexts(
  peer: PeerClient,
  hashes: readonly string[],
): Promise<readonly string[]> {
  const texts: string[] = [];
  const request = {hashes: [...hashes]};
  const timeoutMs = CONTENTS_TIMEOUT_MS;
  for await (const value of peer.contents(request, {timeoutMs})) {
    texts.push(new TextDecoder().decode(value.content));
  }
  return texts;
}

/** Clients by address, created on first use. */
export class ClientsByAddress<C> {
  private readonly clients = new Map<string, C>();

  constructor(private readonly connect: (address: string) => C) {}

  get(address: string): C {
    const existing = this.clients.get(address);
    if (existing !== undefined) return existing;
    const client = this.connect(address);
    this.clients.set(address, client);
    return client;
  }

  /** Removes all clients except those for the given addresses. */
  retain(addresses: ReadonlySet<string>): void {
    for (const address of this.clients.keys()) {
      if (!addresses.has(address)) this.clients.delete(address);
    }
  }
}
