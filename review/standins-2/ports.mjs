/** Free ports below those that the system gives to outgoing connections, so that a server can start again at its own. */
import net from 'node:net';

const FIRST_PORT = 15_000;
const PORTS = 15_000;

/** Resolves to a port at which a server can listen at `host`. */
export async function freePort(host) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    const server = net.createServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}
