import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {
  RAW_END,
  RAW_FRAMING,
  answerBytes,
  startRawServer,
  type AnswerParts,
  type RawEnd,
  type RawServer,
} from '@balsamnotch/standins';
import {
  httpConfigService,
  httpEngine,
  httpPlainService,
  httpVMList,
  send,
} from '../src/index.js';

/** A long upload, which the buffers of a connection on loopback hold. */
const LONG_BODY = Buffer.alloc(2_000_000, 'x');

/**
 * Longer than these buffers. Only so the client knows that a server which closes the connection in
 * order has not read the request.
 */
const LONGEST_BODY = Buffer.alloc(16_000_000, 'x');

/** Whether the end of a connection is seen before its last bytes differs from run to run. */
const RUNS = 8;

/** Status texts that no final answer has. */
const INVALID_STATUSES = ['000', '099', '0200', '00', '600', '999', '1000'];

const BODY = 'the part of the answer that arrives';

interface StartOptions {
  /** Bytes before the answer. */
  readonly before?: string;
  readonly endAfterMs?: number;
}

describe('broken answers', () => {
  const servers: RawServer[] = [];
  const start = async (
    parts: AnswerParts,
    end: RawEnd,
    {before = '', endAfterMs}: StartOptions = {},
  ) => {
    const bytes = before + answerBytes(parts);
    const server = await startRawServer(() => ({bytes, end, endAfterMs}));
    servers.push(server);
    return `http://127.0.0.1:${server.port}`;
  };
  afterEach(async () => {
    for (const server of servers.splice(0)) await server.close();
  });
  const post = (url: string, body: Uint8Array) =>
    send({
      method: 'POST',
      url: `${url}/x`,
      body,
      connectTimeoutMs: 1_000,
      timeoutMs: 2_000,
      maxAnswerBytes: 100_000,
    });

  describe('that arrive while the request is still being written', () => {
    for (const version of ['1.1', '1.0'] as const) {
      for (const framing of Object.values(RAW_FRAMING)) {
        for (const end of [RAW_END.reset, RAW_END.destroy, RAW_END.close]) {
          if (version === '1.0' && framing === RAW_FRAMING.chunks) continue;
          // Failure: a part of an answer was taken for a complete one.
          it(`fail if cut (HTTP/${version}, ${framing}, ${end})`, async () => {
            const parts = {version, framing, body: BODY, missingBytes: 9};
            for (const endAfterMs of [undefined, 0, 5, 30]) {
              const url = await start(parts, end, {endAfterMs});
              const isClosed = end === RAW_END.close;
              for (let run = 0; run < RUNS; run++) {
                const body = isClosed ? LONGEST_BODY : LONG_BODY;
                const answer = await post(url, body);
                const kind = answer.isErr() && answer.error.kind;
                assert.equal(kind, 'broken', `run ${run}, ${endAfterMs} ms`);
              }
            }
          });
        }
      }
    }

    // Failure: an early refusal that states its length was lost with the rest of the request.
    it('are taken if they state their length and are complete', async () => {
      const url = await start({status: '413', body: BODY}, RAW_END.none);
      const answer = await post(url, LONG_BODY);
      assert.equal(answer.isOk() && answer.value.status, 413);
    });
  });

  describe('to short requests', () => {
    // Failure: a part of an answer was taken for a complete one.
    it('fail if they are reset, in each framing', async () => {
      for (const framing of Object.values(RAW_FRAMING)) {
        const parts = {framing, body: BODY, missingBytes: 9};
        for (const endAfterMs of [undefined, 0, 5]) {
          const url = await start(parts, RAW_END.reset, {endAfterMs});
          for (let run = 0; run < RUNS; run++) {
            const answer = await post(url, Buffer.from('x'));
            const kind = answer.isErr() && answer.error.kind;
            assert.equal(kind, 'broken', framing);
          }
        }
      }
    });

    // Failure: services that answer without a length could not be used any more.
    it('are taken if they end with their connection in order', async () => {
      for (const version of ['1.0', '1.1'] as const) {
        const parts = {version, framing: RAW_FRAMING.untilClose, body: BODY};
        const url = await start(parts, RAW_END.close);
        const answer = await post(url, Buffer.from('x'));
        assert.equal(answer.isOk() && answer.value.body.toString(), BODY);
      }
    });
  });

  for (const status of INVALID_STATUSES) {
    // Failure: a server in trouble sent an answer that was taken for one with a status below 300.
    it(`fail with the status ${status}`, async () => {
      for (const framing of Object.values(RAW_FRAMING)) {
        const url = await start({status, framing, body: '{}'}, RAW_END.close);
        const answer = await post(url, Buffer.from('x'));
        assert.equal(answer.isErr() && answer.error.kind, 'broken', framing);
      }
    });
  }

  // Failure: a server that sends nothing but informational heads kept its client busy.
  it('fail after many informational heads (1xx)', async () => {
    for (const status of [100, 102, 103, 199]) {
      const flood = `HTTP/1.1 ${status} x\r\n\r\n`.repeat(1_000);
      const url = await start({body: '{}'}, RAW_END.close, {before: flood});
      const answer = await post(url, Buffer.from('x'));
      assert.equal(answer.isErr() && answer.error.kind, 'broken', `${status}`);
    }
  });

  describe('of an external system', () => {
    const STATE = JSON.stringify({
      incarnation: 'a',
      fence: 1,
      slots: 1,
      batchSize: 1,
      loaded: [],
      active: 0,
    });
    const clients = {
      'state of an engine': {
        body: STATE,
        call: (url: string) => httpEngine(url).state(),
      },
      'order of an engine': {
        body: '{}',
        call: (url: string) =>
          httpEngine(url).order({
            kind: 'load',
            adapter: 'a'.repeat(LONG_BODY.length),
            version: '1',
            fence: 1,
          } as never),
      },
      'cancellation at an engine': {
        body: '{}',
        call: (url: string) => httpEngine(url).cancel('g'),
      },
      'call of a plain service': {
        body: '{}',
        call: (url: string) =>
          httpPlainService(url).call({
            requestId: 'r1',
            operation: 'o',
            body: LONG_BODY,
            timeoutMs: 2_000,
            freshConnection: true,
          }),
      },
      'read of the configuration service': {
        body: '{"name":"n","version":1,"content":"c"}',
        call: (url: string) => httpConfigService(url).read('n'),
      },
      'watch of the configuration service': {
        body: '{"name":"n","version":1,"content":"c"}',
        call: (url: string) =>
          httpConfigService(url).watch('n', 0, {waitMs: 100, answerMs: 900}),
      },
      'list of VMs': {
        body: '{"vms":[]}',
        call: (url: string) => httpVMList(url).read(),
      },
    };
    for (const [name, {body, call}] of Object.entries(clients)) {
      // Failure: as above, in the client that judges the status itself.
      it(`fail with an invalid status: ${name}`, async () => {
        const accepted: string[] = [];
        for (const status of INVALID_STATUSES) {
          const url = await start({status, body}, RAW_END.none);
          if ((await call(url)).isOk()) accepted.push(status);
        }
        assert.deepEqual(accepted, []);
      });

      // Failure: as above, a complete value before the cut passed for the whole answer.
      it(`fail if cut by a reset without a length: ${name}`, async () => {
        for (let run = 0; run < RUNS; run++) {
          const framing = RAW_FRAMING.untilClose;
          const url = await start({framing, body}, RAW_END.reset);
          const result = await call(url);
          assert.ok(result.isErr());
        }
      });
    }
  });
});
