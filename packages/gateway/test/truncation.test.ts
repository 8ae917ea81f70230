import assert from 'node:assert/strict';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {createAnswerMemory} from '../src/entry/answermemory.js';
import type {TargetAnswer} from '../src/entry/attempt.js';
import {createReply, type Reply} from '../src/entry/reply.js';

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\n\n'];

/** Returns whether an answer on a connection that has ended regularly is complete by HTTP/1.1. */
function looksComplete(received: string): boolean {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) return false;
  const head = received.slice(0, headEnd);
  const body = received.slice(headEnd + 4);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (length !== undefined) return body.length >= Number(length);
  if (!/^transfer-encoding: *chunked/im.test(head)) return true;
  return /(^|\r\n)0\r\n\r\n$/.test(body);
}

/** Returns the body of an answer without the framing of chunks. */
function bodyOf(received: string): string {
  const body = received.slice(received.indexOf('\r\n\r\n') + 4);
  if (!/^transfer-encoding: *chunked/im.test(received)) return body;
  return body.replace(/(?:^|\r\n)[0-9a-f]+\r\n/g, '').replace(/\r\n$/, '');
}

/** Ways to write the answer. */
const WRITERS = {
  whole: (reply: Reply, head: TargetAnswer) =>
    reply.send({...head, body: [Buffer.from(EVENTS.join(''))]}),
  streamed: (reply: Reply, head: TargetAnswer) => {
    reply.startStream(head);
    for (const event of EVENTS) reply.write(Buffer.from(event));
    reply.end();
  },
} as const;

describe('an answer to a caller', () => {
  let server: http.Server;
  let write: (reply: Reply) => void = () => undefined;
  const memory = createAnswerMemory({limitBytes: () => 200});
  before(async () => {
    server = http.createServer((_request, response) =>
      write(createReply(response, {memory})),
    );
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });
  after(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Resolves to what a caller receives until its connection is closed, or the answer is complete. */
  const receive = (version: string) =>
    new Promise<string>(resolve => {
      const {port} = server.address() as AddressInfo;
      const socket = net.connect(port, '127.0.0.1');
      let received = '';
      socket.on('error', () => undefined);
      socket.on('data', data => {
        received += String(data);
        if (version === '1.1' && looksComplete(received)) socket.end();
      });
      socket.on('close', () => resolve(received));
      socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
    });
  const headOf = (isFramed: boolean): TargetAnswer => ({
    status: 200,
    rawHeaders: ['Content-Type', 'text/event-stream'],
    body: [],
    isFramed,
  });

  // Failure: the system closes the connections of a process that dies, however it dies, in order. What
  // callers had received of an answer without a length or chunks then looked like the whole answer.
  for (const [name, writeAnswer] of Object.entries(WRITERS)) {
    for (const isFramed of [true, false]) {
      for (const version of ['1.1', '1.0']) {
        const target = isFramed ? 'framed' : 'unframed';
        it(`never looks complete before its end (${name}, ${target} by the target, HTTP/${version})`, async () => {
          write = reply => writeAnswer(reply, headOf(isFramed));
          const received = await receive(version);
          assert.equal(bodyOf(received), EVENTS.join(''));
          assert.ok(looksComplete(received));
          for (let end = 0; end < received.length; end++) {
            const prefix = received.slice(0, end);
            assert.ok(!looksComplete(prefix), `complete after: ${prefix}`);
          }
          assert.equal(memory.bufferedBytes(), 0);
        });
      }
    }
  }

  // Failure: a stream without end for a caller that cannot read chunks would fill the memory.
  it('is given up if it is held for an HTTP/1.0 caller and exceeds the memory', async () => {
    write = reply => {
      reply.startStream(headOf(true));
      for (let n = 0; n < 20; n++) reply.write(Buffer.from(EVENTS[0] ?? ''));
      reply.end();
    };
    assert.equal(await receive('1.0'), '');
    assert.equal(memory.bufferedBytes(), 0);
  });
});
