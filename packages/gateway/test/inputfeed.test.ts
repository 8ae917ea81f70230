import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import fc from 'fast-check';
import {allowHalfClosed} from '../src/entry/callerserver.js';
import {createInputFeed, type InputFeed} from '../src/entry/inputfeed.js';
import {waitUntil} from './support.js';

/** Seed of the property test. */
const SEED = 53;

const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\n';

/** Returns a request with a body of `bytes` bytes, in chunks of `chunkBytes`, or with a length if that is 0. */
function requestText(bytes: number, chunkBytes: number): string {
  const body = 'abcdefghij'.repeat(Math.ceil(bytes / 10)).slice(0, bytes);
  if (chunkBytes === 0) {
    return `${HEAD}content-length: ${bytes}\r\n\r\n${body}`;
  }
  const chunks: string[] = [];
  for (let at = 0; at < bytes; at += chunkBytes) {
    const chunk = body.slice(at, at + chunkBytes);
    chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  }
  return `${HEAD}transfer-encoding: chunked\r\n\r\n${chunks.join('')}0\r\n\r\n`;
}

describe('input that is parsed in slices', () => {
  let server: http.Server;
  let feeds: InputFeed[];
  let socket: Socket;
  let received: string;
  let requests: number;
  let errors: number;
  let handleSlice: (feed: InputFeed) => void;
  let answer: string;

  beforeEach(async () => {
    feeds = [];
    requests = 0;
    errors = 0;
    received = '';
    answer = '';
    handleSlice = () => undefined;
    server = http.createServer((incoming, response) => {
      requests += 1;
      let bytes = 0;
      incoming.on('data', (piece: Buffer) => {
        bytes += piece.length;
      });
      incoming.on('end', () => response.end(answer || `<${bytes}>`));
      incoming.read(0);
    });
    allowHalfClosed(server);
    server.on('clientError', () => {
      errors += 1;
    });
    server.on('connection', (accepted: Socket) => {
      const feed = createInputFeed(accepted, {
        parts: () => requests,
        onSlice: () => handleSlice(feed),
      });
      feeds.push(feed);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
    socket.on('data', data => {
      received += String(data);
    });
    socket.on('error', () => undefined);
    await waitUntil(() => feeds.length === 1, 'the connection is accepted');
  });
  afterEach(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });
  const bodies = () => [...received.matchAll(/<(\d+)>/g)].map(([, n]) => n);

  // Guards against bytes that are lost or parsed twice where slices, writes and waits meet.
  it('is what was sent, whatever the sizes, writes and waits', async () => {
    const shapes = fc.array(
      fc.record({
        bytes: fc.oneof(fc.nat(40), fc.nat(60_000)),
        chunkBytes: fc.constantFrom(0, 1, 7, 1_000, 20_000),
      }),
      {minLength: 1, maxLength: 6},
    );
    const plays = fc.record({
      shapes,
      writeBytes: fc.integer({min: 300, max: 100_000}),
      holdEvery: fc.integer({min: 1, max: 9}),
    });
    await fc.assert(
      fc.asyncProperty(plays, async play => {
        received = '';
        let slices = 0;
        handleSlice = feed => {
          slices += 1;
          if (slices % play.holdEvery > 0) return;
          feed.hold();
          setImmediate(feed.resume);
        };
        const text = play.shapes
          .map(({bytes, chunkBytes}) => requestText(bytes, chunkBytes))
          .join('');
        for (let at = 0; at < text.length; at += play.writeBytes) {
          socket.write(text.slice(at, at + play.writeBytes));
          await new Promise(resolve => setImmediate(resolve));
        }
        const expected = play.shapes.map(({bytes}) => String(bytes));
        await waitUntil(
          () => bodies().length === expected.length,
          'all are answered',
        );
        assert.deepEqual(bodies(), expected);
      }),
      {seed: SEED, numRuns: 40},
    );
    assert.equal(errors, 0);
  });

  // Guards against the end of a caller's half that overtakes what the caller sent before it.
  it('is parsed before the end of the connection that followed it', async () => {
    handleSlice = feed => feed.hold();
    socket.end(requestText(5_000, 1));
    await waitUntil(() => requests === 1, 'the first slice is parsed');
    await new Promise(resolve => setTimeout(resolve, 50));
    handleSlice = () => undefined;
    feeds[0]?.resume();
    await waitUntil(() => received !== '', 'an answer');
    assert.deepEqual(bodies(), ['5000']);
    assert.equal(errors, 0);
  });

  // Load: 600 requests in one read. Guards against parsing the rest of a read that is to wait, or to be dropped.
  it('waits while it is held, and is not parsed once it is dropped', async () => {
    handleSlice = feed => feed.hold();
    socket.write(requestText(0, 0).repeat(600));
    await waitUntil(() => requests > 0, 'the first slice is parsed');
    await new Promise(resolve => setTimeout(resolve, 50));
    const parsedRequests = requests;
    assert.ok(parsedRequests < 60, `${parsedRequests} of 600 are parsed`);
    assert.ok((feeds[0]?.unparsedBytes() ?? 0) > 10_000);
    assert.ok((feeds[0]?.waitedMs() ?? 0) >= 40);
    feeds[0]?.drop();
    feeds[0]?.resume();
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.equal(requests, parsedRequests);
    assert.equal(feeds[0]?.unparsedBytes(), 0);
  });

  // Guards against a wait within a head, which the server ends with 408 after some seconds.
  it('is cut after whole heads', async () => {
    handleSlice = feed => feed.hold();
    const request = requestText(0, 0);
    socket.write(request.repeat(600));
    await waitUntil(() => requests > 0, 'the first slice is parsed');
    const parsedBytes = 600 * request.length - (feeds[0]?.unparsedBytes() ?? 0);
    assert.equal(parsedBytes % request.length, 0);
  });

  // Load: answers of 2 MB that nobody reads. Guards against parsing on while Node.js waits for its caller.
  it('waits with the connection that Node.js has paused, and goes on after it', async () => {
    answer = 'x'.repeat(2_000_000);
    handleSlice = feed => {
      feed.hold();
      setTimeout(feed.resume, 1);
    };
    socket.pause();
    socket.write(requestText(0, 0).repeat(600));
    await waitUntil(() => requests > 0, 'the first slice is parsed');
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.ok(requests < 600, `${requests} of 600 are parsed`);
    answer = '<0>';
    socket.resume();
    await waitUntil(() => requests === 600, 'all are parsed');
    assert.equal(errors, 0);
  });

  // Failure: the end of a connection after CONNECT ended the input of another one, which had got its parser.
  it('does not reach the server any more after CONNECT', async () => {
    server.on('connect', (_request, stream) => stream.resume());
    socket.write('CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n');
    await new Promise(resolve => setTimeout(resolve, 50));
    const {port} = server.address() as AddressInfo;
    const other = net.connect(port, '127.0.0.1');
    other.on('data', data => {
      received += String(data);
    });
    other.on('error', () => undefined);
    const request = requestText(100, 0);
    other.write(request.slice(0, 80));
    await waitUntil(() => requests === 1, 'its head is parsed');
    socket.end('x');
    await new Promise(resolve => setTimeout(resolve, 50));
    other.write(request.slice(80));
    await waitUntil(() => received !== '' || errors > 0, 'an answer');
    other.destroy();
    assert.deepEqual(bodies(), ['100']);
    assert.equal(errors, 0);
  });
});
