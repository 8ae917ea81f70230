/** TCP relay on loopback that cuts or silences the connections to one node. */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** What a relay does with its connections. */
export const RELAY_MODE = {
  pass: 'pass',
  /** Resets open connections and each new one. */
  cut: 'cut',
  /** Accepts and discards in both directions. */
  silent: 'silent',
  /** Discards what is sent to the node; its answers pass. */
  silentToNode: 'silent_to_node',
  /** Discards what the node sends; requests reach it. */
  silentFromNode: 'silent_from_node',
} as const;

/** One of the values of {@link RELAY_MODE}. */
export type RelayMode = (typeof RELAY_MODE)[keyof typeof RELAY_MODE];

/** A relay that listens. */
export interface Relay {
  /** `ip:port` to connect to. */
  readonly address: string;
  mode(): RelayMode;
  /**
   * Changes the mode. A connection that lost bytes stays silent for good, as
   * a half-open one does; `pass` applies to new connections.
   */
  set(mode: RelayMode): void;
  close(): Promise<void>;
}

/** The two sockets of one connection, and the directions that lost bytes. */
interface Link {
  readonly outer: Socket;
  readonly inner: Socket;
  toNode: boolean;
  fromNode: boolean;
}

/** Starts a relay to the address that `target` gives at each new connection. */
export async function startRelay(target: () => string): Promise<Relay> {
  const links = new Set<Link>();
  let current: RelayMode = RELAY_MODE.pass;

  const server = createServer({allowHalfOpen: true}, outer => {
    outer.on('error', () => {});
    if (current === RELAY_MODE.cut) {
      outer.resetAndDestroy();
      return;
    }
    const separator = target().lastIndexOf(':');
    const host = target().slice(0, separator);
    const port = Number(target().slice(separator + 1));
    const inner = connect({host, port, allowHalfOpen: true});
    inner.on('error', () => {});
    const link: Link = {outer, inner, toNode: true, fromNode: true};
    links.add(link);
    silence(link);
    forward(link, 'toNode');
    forward(link, 'fromNode');
  });

  /** Marks the directions that the mode discards. */
  function silence(link: Link): void {
    const {pass, silentFromNode, silentToNode} = RELAY_MODE;
    if (current !== pass && current !== silentFromNode) link.toNode = false;
    if (current !== pass && current !== silentToNode) link.fromNode = false;
  }

  function forward(link: Link, direction: 'toNode' | 'fromNode'): void {
    const from = direction === 'toNode' ? link.outer : link.inner;
    const to = direction === 'toNode' ? link.inner : link.outer;
    from.on('data', part => {
      if (!link[direction] || to.destroyed) return;
      if (to.write(part)) return;
      from.pause();
      to.once('drain', () => from.resume());
    });
    from.on('end', () => {
      if (link[direction]) to.end();
    });
    from.on('close', hadError => {
      if (!link[direction]) return;
      links.delete(link);
      if (hadError) reset(to);
      else to.destroySoon();
    });
  }

  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    mode: () => current,
    set(mode) {
      current = mode;
      for (const link of [...links]) {
        if (mode === RELAY_MODE.cut) drop(links, link);
        else silence(link);
      }
    },
    close() {
      for (const link of [...links]) drop(links, link);
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
}

function drop(links: Set<Link>, link: Link): void {
  links.delete(link);
  reset(link.outer);
  reset(link.inner);
}

function reset(socket: Socket): void {
  // Node 20 spins when a socket is reset whose both directions have ended.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
