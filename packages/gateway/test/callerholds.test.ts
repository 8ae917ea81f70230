import assert from 'node:assert/strict';
import http, {type ServerResponse} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {UNLIMITED_HOLDS, type HoldLimits} from '@balsamnotch/core';
import {systemClock} from '@balsamnotch/daemon';
import {createCallerHolds, type CallerHolds} from '../src/entry/callerholds.js';
import {closingAfterAnswers} from '../src/entry/closing.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {QUIET_LOG, waitUntil} from './support.js';

/** Longest body, in bytes. */
const MAX_BODY_BYTES = 1_000_000;

/** Requests sent ahead: as many as several reads of a connection bring. */
const SENT_AHEAD = 2_000;

describe('the budget of what callers hold of an entry', () => {
  let server: http.Server;
  let holds: CallerHolds;
  let port: number;
  let open: ServerResponse[];
  /** Pieces of bodies that have been parsed. */
  let pieces: number;
  const sockets: net.Socket[] = [];

  const start = async (limits: HoldLimits, maxBodyBytes = MAX_BODY_BYTES) => {
    holds = createCallerHolds({
      context: {
        clock: systemClock,
        log: QUIET_LOG,
        metrics: createGatewayMetrics(),
      },
      limits,
      maxBodyBytes: () => maxBodyBytes,
    });
    open = [];
    pieces = 0;
    server = http.createServer(
      closingAfterAnswers(
        (incoming, response) => {
          const held = holds.requestOf(incoming);
          if (incoming.url === '/answered') {
            incoming.resume();
            response.end('x');
            return;
          }
          open.push(response);
          incoming.on('data', () => {
            pieces += 1;
          });
          if (incoming.url === '/forwarded') held?.protect();
          held?.setRefusal(() => {
            response.writeHead(503, {connection: 'close'}).end();
          });
          held?.body.read(MAX_BODY_BYTES).catch(() => undefined);
        },
        () => false,
      ),
    );
    holds.follow(server);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    port = (server.address() as AddressInfo).port;
  };
  /** Opens a connection, sends `text`, and returns what has been received on it. */
  const send = (text: string) => {
    const connection = {received: '', isClosed: false};
    const socket = net.connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.on('data', data => {
      connection.received += data.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      connection.isClosed = true;
    });
    socket.write(text);
    return connection;
  };
  const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;
  /** Chunks of a byte without the last, and their head. */
  const chunks = (path: string, count: number) =>
    `POST ${path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(count)}`;
  const upload = (path: string, bytes: number) =>
    `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${bytes + 1}\r\n\r\n${'x'.repeat(bytes)}`;

  beforeEach(() => start(UNLIMITED_HOLDS));
  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.closeAllConnections();
    server.close();
    holds.close();
  });

  // Guards against a connection that is never read again once it has sent many requests ahead.
  it('answers all requests that one connection has sent ahead', async () => {
    const connection = send(get('/answered').repeat(SENT_AHEAD));
    const answers = () => connection.received.split('HTTP/1.1 200').length - 1;
    await waitUntil(() => answers() === SENT_AHEAD, 'all are answered');
    assert.equal(connection.isClosed, false);
  });

  // Guards against a connection that is not read on after a body in chunks.
  it('answers requests after bodies in chunks, whole or in parts', async () => {
    const head =
      'POST /answered HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
    const body = '1\r\nx\r\n1\r\ny\r\n0\r\n\r\n';
    const connection = send(`${head}${body}${head}${body}${head}1\r\n`);
    const answers = () => connection.received.split('HTTP/1.1 200').length - 1;
    await waitUntil(() => answers() === 3, 'three are answered');
    sockets.at(-1)?.write(`x\r\n0\r\n\r\n${get('/answered')}`);
    await waitUntil(() => answers() === 4, 'all are answered');
  });

  // Guards against a count that only rises, so that the budget closes connections in calm.
  it('holds nothing once the connections have closed', async () => {
    send(get('/answered').repeat(50));
    send(upload('/body', 5_000));
    await waitUntil(
      () => Number(holds.status()['caller_connections']) === 2,
      'two connections',
    );
    for (const socket of sockets) socket.destroy();
    await waitUntil(
      () => Number(holds.status()['caller_connections']) === 0,
      'no connection',
    );
    assert.equal(holds.status()['caller_bytes_held'], 0);
  });

  describe('above its limit', () => {
    beforeEach(async () => {
      server.close();
      holds.close();
      await start({
        ...UNLIMITED_HOLDS,
        maxBytes: 400_000,
        maxConnections: 10,
      });
    });

    // Load: bodies that stop a byte short; the refusal promises that the request has not run.
    it('refuses the largest unfinished body and keeps a small one', async () => {
      const small = send(upload('/body', 1_000));
      const large = send(upload('/body', 390_000));
      await waitUntil(() => large.isClosed, 'the large one is closed');
      assert.match(large.received, /^HTTP\/1\.1 503 /);
      assert.equal(small.isClosed, false);
    });

    // Guards against losing the outcome of a request that may run.
    it('keeps a forwarded request and closes others', async () => {
      const forwarded = send(upload('/forwarded', 300_000));
      await waitUntil(() => open.length === 1, 'it has been read');
      const other = send(upload('/body', 200_000));
      await waitUntil(() => other.isClosed, 'the other is closed');
      assert.equal(forwarded.isClosed, false);
    });

    // Load: silent connections; guards against a crowd that locks out later callers.
    it('closes the connection longest without progress for a new one', async () => {
      const silent = Array.from({length: 10}, () => send(''));
      await waitUntil(
        () => Number(holds.status()['caller_connections']) === 10,
        'all are connected',
      );
      const later = send(get('/answered'));
      await waitUntil(() => later.received !== '', 'the later one is answered');
      await waitUntil(
        () => silent.some(({isClosed}) => isClosed),
        'a silent one is closed',
      );
    });
  });

  // Load: bodies far over the limit that go on after their answer.
  it('closes a connection whose unneeded body goes on', async () => {
    server.close();
    holds.close();
    await start(UNLIMITED_HOLDS, 1_000);
    const connection = send(
      `POST /answered HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n${'x'.repeat(50_000)}`,
    );
    await waitUntil(() => connection.isClosed, 'it is closed');
    assert.match(connection.received, /^HTTP\/1\.1 200 /);
  });

  // Guards against parsing on what is already known to be too long, with all that is queued behind it.
  it('parses no more of a body that is too long', async () => {
    server.close();
    holds.close();
    await start(UNLIMITED_HOLDS, 1_000);
    send(chunks('/body', 50_000));
    await waitUntil(() => pieces > 1_000, 'it is too long');
    await new Promise(resolve => setTimeout(resolve, 200));
    assert.ok(pieces < 2_000, `${pieces} pieces of 50,000 are parsed`);
  });

  // Load: 60 bodies of 30,000 one-byte chunks that do not end; all their pieces take seconds to parse.
  it('refuses the costliest bodies in one-byte chunks while others wait, and not the last ones', async () => {
    const connections = Array.from({length: 60}, () =>
      send(chunks('/body', 30_000)),
    );
    const isRefused = ({received}: {received: string}) =>
      received.startsWith('HTTP/1.1 503 ');
    const refused = () => connections.filter(isRefused).length;
    await waitUntil(() => refused() >= 50, 'most are refused');
    await waitUntil(
      () => connections.filter(({isClosed}) => isClosed).length >= refused(),
      'they are closed',
    );
    assert.ok(refused() <= 52, `${refused()} of 60 are refused`);
    assert.ok(pieces < 60 * 2_000 + 8 * 30_000, `${pieces} pieces are parsed`);
  });

  // Load: uploads of legal size behind one that is at a target, which keeps their connection from being closed.
  it('receives few bodies of requests that wait behind a forwarded one', async () => {
    const whole = (path: string) =>
      `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n${'x'.repeat(60_000)}`;
    const connection = send(
      whole('/forwarded') + whole('/answered').repeat(12),
    );
    await waitUntil(() => open.length === 1, 'the first is forwarded');
    await new Promise(resolve => setTimeout(resolve, 200));
    const heldBytes = Number(holds.status()['caller_bytes_held']);
    assert.ok(heldBytes < 500_000, `${heldBytes} bytes are held`);
    open[0]?.end('x');
    const answers = () => connection.received.split('HTTP/1.1 200').length - 1;
    await waitUntil(() => answers() === 13, 'all are answered');
  });
});
