/** Minimal node for launcher tests: listens at the addresses in its settings and echoes bytes. */
import {readFileSync} from 'node:fs';
import http from 'node:http';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {parseSettings} from '@balsamnotch/config';

const file = process.argv[3] ?? '';
const settings = parseSettings(readFileSync(file, 'utf8'), file).unwrap();

function listen(server: Server, address: string): Promise<string> {
  const port = Number(address.split(':')[1]);
  return new Promise(resolve => {
    server.listen(port, '127.0.0.1', () =>
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`),
    );
  });
}

const echo = createServer(socket => socket.on('error', () => {}).pipe(socket));
const callers = http.createServer((_, response) => response.end('ready'));
const addresses = {
  listen: await listen(echo, settings.listen),
  callerListen:
    settings.role === 'entry'
      ? await listen(callers, settings.callerListen)
      : '',
};
console.log(JSON.stringify(addresses));
console.log(`event=started name=${settings.name}`);
