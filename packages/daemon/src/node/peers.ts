/** Connect clients of the Node service of other processes. */
import {createClient, type Client} from '@connectrpc/connect';
import {Node} from '@balsamnotch/wire';
import {transportTo} from './session.js';

/** Client of one peer. */
export type PeerClient = Client<typeof Node>;

/** Time for one exchange with a peer, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_000;

/** Time for the contents of a configuration from a peer, in milliseconds. */
const CONTENTS_TIMEOUT_MS = 3_000;

/** Time after which an unused connection to a peer is closed, in milliseconds. */
const IDLE_CONNECTION_MS = 60_000;

/** Creates a client; its connection is opened with the first exchange. */
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

/** Texts of the given content hashes that a peer has, not checked; others are left out. */
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

/** Clients by address; those of addresses that went away are dropped. */
export class ClientsByAddress<C> {
  private readonly clients = new Map<string, C>();

  constructor(private readonly connect: (address: string) => C) {}

  get(address: string): C {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = this.connect(address);
    this.clients.set(address, client);
    return client;
  }

  /** Forgets all clients but those of the given addresses. */
  retain(addresses: ReadonlySet<string>): void {
    for (const address of this.clients.keys()) {
      if (!addresses.has(address)) this.clients.delete(address);
    }
  }
}
