/**
 * TCP relay on the loopback interface that can reset connections to a node or discard their
 * data.
 */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** What a relay does with connections and the data on them. */
export const RELAY_MODE = {
  pass: 'pass',
  /** Resets open connections and every new one. */
  cut: 'cut',
  /** Keeps connections open and discards the data in both directions. */
  silent: 'silent',
  /** Discards data sent to the node; data from the node passes. */
  silentToNode: 'silent_to_node',
  /** Discards data that the node sends; data to the node passes. */
  silentFromNode: 'silent_from_node',
} as const;

/** One of the values of {@link RELAY_MODE}. */
export type RelayMode = (typeof RELAY_MODE)[keyof typeof RELAY_MODE];

/** A listening relay. */
export interface Relay {
  /** `ip:port` to connect to. */
  readonly address: string;
  mode(): RelayMode;
  /**
   * Changes the mode. A direction of a connection on which data was discarded never carries data
   * again, as on a half-open connection, so `pass` helps only new connections.
   */
  set(newMode: RelayMode): void;
  /** Resets all connections and stops listening. */
  close(): Promise<void>;
}

/** The two sockets of a relayed connection and the directions that still carry data. */
interface Connection {
  readonly clientSocket: Socket;
  readonly nodeSocket: Socket;
  /** True while data to the node is forwarded. */
  toNode: boolean;
  /** True while data from the node is forwarded. */
  fromNode: boolean;
}

/**
 * Starts a relay. It calls `targetAddress` for the `ip:port` to connect to at each new
 * connection.
 */
export async function startRelay(targetAddress: () => string): Promise<Relay> {
  const connections = new Set<Connection>();
  let mode: RelayMode = RELAY_MODE.pass;

  const server = createServer({allowHalfOpen: true}, clientSocket => {
    clientSocket.on('error', () => {});
    if (mode === RELAY_MODE.cut) {
      clientSocket.resetAndDestroy();
      return;
    }
    const separator = targetAddress().lastIndexOf(':');
    const host = targetAddress().slice(0, separator);
    const port = Number(targetAddress().slice(separator + 1));
    const nodeSocket = connect({host, port, allowHalfOpen: true});
    nodeSocket.on('error', () => {});
    const connection: Connection = {
      clientSocket,
      nodeSocket,
      toNode: true,
      fromNode: true,
    };
    connections.add(connection);
    markDiscardedDirections(connection);
    forwardDirection(connection, 'toNode');
    forwardDirection(connection, 'fromNode');
  });

  /** Disables the directions in which the current mode discards data. */
  function markDiscardedDirections(connection: Connection): void {
    const {pass, silentFromNode, silentToNode} = RELAY_MODE;
    if (mode !== pass && mode !== silentFromNode) connection.toNode = false;
    if (mode !== pass && mode !== silentToNode) connection.fromNode = false;
  }

  function forwardDirection(
    connection: Connection,
    direction: 'toNode' | 'fromNode',
  ): void {
    const from =
      direction === 'toNode' ? connection.clientSocket : connection.nodeSocket;
    const to =
      direction === 'toNode' ? connection.nodeSocket : connection.clientSocket;
    from.on('data', chunk => {
      if (!connection[direction] || to.destroyed) return;
      if (to.write(chunk)) return;
      from.pause();
      to.once('drain', () => from.resume());
    });
    from.on('end', () => {
      if (connection[direction]) to.end();
    });
    from.on('close', hadError => {
      if (!connection[direction]) return;
      connections.delete(connection);
      if (hadError) resetSocket(to);
      else to.destroySoon();
    });
  }

  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    mode: () => mode,
    set(newMode) {
      mode = newMode;
      for (const connection of [...connections]) {
        if (newMode === RELAY_MODE.cut) reset(connections, connection);
        else markDiscardedDirections(connection);
      }
    },
    close() {
      for (const connection of [...connections]) reset(connections, connection);
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
}

function reset(connections: Set<Connection>, connection: Connection): void {
  connections.delete(connection);
  resetSocket(connection.clientSocket);
  resetSocket(connection.nodeSocket);
}

function resetSocket(socket: Socket): void {
  // Node.js 20 enters a busy loop if a socket is reset after both of its directions have ended.
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
