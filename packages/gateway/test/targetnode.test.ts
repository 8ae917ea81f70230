import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import {after, afterEach, beforeEach, describe, it} from 'node:test';
import {
  create,
  fromBinary,
  toBinary,
  type MessageInitShape,
} from '@bufbuild/protobuf';
import {Ok} from 'ts-results-es';
import {createPauseMonitor, systemClock} from '@balsamnotch/daemon';
import {
  HoldRequestSchema,
  HoldResponseSchema,
  type HoldResponse,
} from '@balsamnotch/wire';
import {startTargetNode} from '../src/agent/index.js';
import type {GatewayRole} from '../src/node/context.js';
import {createCrashEvidence} from '../src/node/crashevidence.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {
  QUIET_LOG,
  createSilentDirectory,
  engineState,
  waitUntil,
} from './support.js';

/** Ports below those of other tests and of outgoing connections, which may be in use at any time. */
const PORTS = {first: 10_000, count: 10_000} as const;

const pauses = createPauseMonitor(systemClock);
after(() => pauses.close());

const directory = createSilentDirectory(systemClock);
after(() => directory.close());

describe('target node on its socket', () => {
  let node: GatewayRole;
  let socket: dgram.Socket;
  let port: number;
  let events: string[];
  let responses: HoldResponse[];

  beforeEach(async () => {
    events = [];
    responses = [];
    port = PORTS.first + Math.floor(Math.random() * PORTS.count);
    const record = (event: string) => {
      events.push(event);
    };
    node = await startTargetNode(
      {
        name: 'node',
        failureDomain: 'd1',
        clock: systemClock,
        random: () => 0.5,
        log: {...QUIET_LOG, info: record, warn: record},
        metrics: createGatewayMetrics(),
        directory,
        evidence: createCrashEvidence({
          clock: systemClock,
          log: QUIET_LOG,
          metrics: createGatewayMetrics(),
        }),
        pauses,
      },
      {listen: `127.0.0.1:${port}`, service: 's'},
      {
        state: async () => Ok(engineState(['a1'])),
        order: async () => Ok(undefined),
      },
    );
    socket = dgram.createSocket('udp4');
    socket.on('message', data =>
      responses.push(fromBinary(HoldResponseSchema, data)),
    );
  });
  afterEach(async () => {
    socket.close();
    await node.stop();
  });

  const send = (data: Uint8Array) => socket.send(data, port, '127.0.0.1');
  const probe = (fields: {entry: string; session: number}) =>
    send(
      toBinary(
        HoldRequestSchema,
        create(HoldRequestSchema, {...fields, wantsReport: true}),
      ),
    );

  // Guards against a state for each sender of arbitrary bytes.
  it('reports bytes that are not a request and serves the next probe', async () => {
    for (const data of [[], [0xff], [0x0a, 0x7f, 0x41]]) {
      send(Uint8Array.from(data));
    }
    await waitUntil(
      () => events.filter(event => event === 'datagram_invalid').length === 3,
      'the invalid datagrams are not reported',
    );
    assert.equal(node.status()['entries'], 0);
    probe({entry: 'entry', session: 1});
    await waitUntil(() => responses.length > 0, 'the probe is not answered');
    assert.equal(responses[0]?.session, 1);
  });

  // Failure: the origins of the streams of an entry that is killed go with its session.
  it('answers for the streams of an entry whose process has ended', async () => {
    const request = (
      fields: MessageInitShape<typeof HoldRequestSchema>,
    ): Uint8Array =>
      toBinary(HoldRequestSchema, create(HoldRequestSchema, fields));
    const stream = 'stream-1';
    const lease = {
      id: 1,
      model: 'm',
      adapter: 'a1',
      waitMs: 1_000,
      holdMs: 5_000,
      stream,
      softwareVersion: 'v1',
    };
    send(request({entry: 'entry', session: 1, acquire: [lease]}));
    await waitUntil(() => responses.length > 0, 'the lease is not answered');
    const askedStreams = [{stream, service: 's'}];
    send(request({entry: 'entry', session: 2, askedStreams}));
    const answers = () => responses.flatMap(({streamAnswers}) => streamAnswers);
    await waitUntil(() => answers().length > 0, 'no answer about the stream');
    const [answer] = answers();
    assert.equal(answer?.softwareVersion, 'v1');
    assert.equal(answer.hasBegun, false);
    assert.equal(node.status()['stream_origins'], 1);
    assert.ok(events.includes('origin_asked'));
  });

  // Delayed datagrams of a process that has ended would end the leases of its successor.
  it('ignores an earlier session of an entry that has restarted', async () => {
    for (const session of [1, 2, 1]) probe({entry: 'entry', session});
    await waitUntil(() => responses.length >= 2, 'the probes are not answered');
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.deepEqual(
      responses.map(({session}) => session),
      [1, 2],
    );
    assert.equal(node.status()['entries'], 1);
  });
});
