/** A client that writes the bytes of its requests itself. */
import net from 'node:net';

/**
 * Sends one request on a new connection and reads its answer until the connection ends or is quiet.
 * Resolves to the status, 0 if there is no answer, and the text of the answer.
 */
export function sendBytes(address, bytes, quietMs = 1_500) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    let text = '';
    const socket = net.connect(Number(port), host, () => socket.write(bytes));
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve({status: Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0), text});
    };
    const timer = setTimeout(finish, quietMs);
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.on('error', finish);
    socket.on('close', finish);
  });
}
