import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import fc from 'fast-check';
import type {CrashRecord} from '@balsamnotch/core';
import {RequestEnd} from '@balsamnotch/wire';
import {HoldRequestSchema} from '@balsamnotch/wire';
import {CrashWatch} from '../src/agent/crashwatch.js';
import {mayRepeatAfter} from '../src/entry/repeats.js';
import {
  createCrashEvidence,
  type CrashEvidence,
} from '../src/node/crashevidence.js';
import {
  openEvidenceExchange,
  type EvidenceExchange,
} from '../src/node/evidenceexchange.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {QUIET_LOG} from './support.js';

let nowMs = 0;
const clock = {monotonicMs: () => nowMs, wallMs: () => 0};

function createEvidence(log = QUIET_LOG): CrashEvidence {
  return createCrashEvidence({clock, log, metrics: createGatewayMetrics()});
}

/** Crash number `n`, of an engine of its own, with one request that names the part. */
function recordOf(
  n: number,
  part = 'bad',
  changes: Partial<CrashRecord> = {},
): CrashRecord {
  return {
    key: `node-${n}/${1_000 + n}`,
    version: 1,
    atMs: nowMs,
    suspects: [{parts: ['shared', part], session: `own${n}`}],
    hasBegun: true,
    answers: 200,
    partAnswers: new Map([
      ['shared', {count: 150, lastAtMs: nowMs}],
      [part, {count: 0, lastAtMs: -Infinity}],
    ]),
    ...changes,
  };
}

function confirm(evidence: CrashEvidence, part = 'bad'): void {
  for (const n of [1, 2, 3, 4]) evidence.add(recordOf(n, part));
}

/** Nodes with evidence of their own, joined in a chain by links that may lose messages. */
class Chain {
  readonly nodes: readonly CrashEvidence[];
  private readonly links: Array<readonly [EvidenceExchange, EvidenceExchange]> =
    [];
  sent = 0;

  constructor(
    nodes: readonly CrashEvidence[],
    private readonly isLost: () => boolean = () => false,
  ) {
    this.nodes = nodes;
    for (let n = 0; n + 1 < nodes.length; n++) {
      const [left, right] = [nodes[n], nodes[n + 1]];
      assert.ok(left && right);
      const ends: EvidenceExchange[] = [];
      const open = (evidence: CrashEvidence, other: number) =>
        openEvidenceExchange({
          evidence,
          clock,
          isAnnounced: () => true,
          send: message => this.transmit(() => ends[other], evidence, message),
        });
      ends.push(open(left, 1), open(right, 0));
      this.links.push([
        ends[0] as EvidenceExchange,
        ends[1] as EvidenceExchange,
      ]);
    }
  }

  private transmit(
    receiver: () => EvidenceExchange | undefined,
    sender: CrashEvidence,
    fields: MessageInitShape<typeof HoldRequestSchema> = {},
  ): void {
    this.sent += 1;
    const message = create(HoldRequestSchema, {
      ...fields,
      crashDigest: sender.digest(),
    });
    if (!this.isLost()) receiver()?.handleMessage(message);
  }

  /** Sends a message without records in both directions of each link, as leases and probes do. */
  exchange(): void {
    for (const [n, [left, right]] of this.links.entries()) {
      const [a, b] = [this.nodes[n], this.nodes[n + 1]];
      assert.ok(a && b);
      this.transmit(() => right, a);
      this.transmit(() => left, b);
    }
  }
}

describe('evidence of crashes at nodes', () => {
  beforeEach(() => {
    nowMs = 100_000;
  });

  describe('quarantine', () => {
    it('covers the part that crashes engines, and not the parts that sound requests share with it', () => {
      const evidence = createEvidence();
      confirm(evidence);
      assert.equal(evidence.quarantineOf(['shared', 'bad'])?.part, 'bad');
      assert.equal(evidence.quarantineOf(['shared']), undefined);
      assert.equal(evidence.status()['parts_quarantined'], 1);
    });

    // A quarantine without an end would reject a part for ever after the cause is mended.
    it('ends after ten minutes, and one further crash renews it', () => {
      const evidence = createEvidence();
      confirm(evidence);
      nowMs += 600_000;
      assert.equal(evidence.quarantineOf(['bad']), undefined);
      evidence.add(recordOf(5));
      assert.equal(evidence.quarantineOf(['bad'])?.part, 'bad');
    });

    it('ends when the engine turns out not to have crashed', () => {
      const evidence = createEvidence();
      confirm(evidence);
      for (const n of [1, 2, 3]) {
        evidence.add(recordOf(n, 'bad', {version: 2, suspects: []}));
      }
      assert.equal(evidence.quarantineOf(['bad']), undefined);
    });

    // Two harmful parts shared a rare one; its sound requests were rejected for ten minutes.
    it('is lifted from a part once two others explain its crashes', () => {
      const evidence = createEvidence();
      const crash = (n: number, part: string) =>
        evidence.add(
          recordOf(n, part, {
            suspects: [{parts: ['shared', 'rare', part], session: `own${n}`}],
            partAnswers: new Map([
              ['shared', {count: 150, lastAtMs: nowMs}],
              ['rare', {count: 0, lastAtMs: -Infinity}],
              [part, {count: 0, lastAtMs: -Infinity}],
            ]),
          }),
        );
      crash(1, 'bad');
      crash(2, 'worse');
      crash(3, 'bad');
      crash(4, 'worse');
      assert.equal(evidence.quarantineOf(['shared', 'rare'])?.part, 'rare');
      crash(5, 'bad');
      crash(6, 'worse');
      assert.equal(evidence.quarantineOf(['shared', 'rare']), undefined);
      assert.equal(evidence.quarantineOf(['shared', 'bad'])?.part, 'bad');
      assert.equal(evidence.quarantineOf(['shared', 'worse'])?.part, 'worse');
    });

    // Many crashes with one part ended the quarantine of another.
    it('stays while other crashes take the place of its records', () => {
      const evidence = createEvidence();
      confirm(evidence);
      for (let n = 100; n < 170; n++) {
        nowMs += 1_000;
        evidence.add(recordOf(n, 'worse'));
      }
      assert.equal(evidence.quarantineOf(['bad'])?.part, 'bad');
    });

    it('tells on call the part, its evidence and the engines', () => {
      const lines: string[] = [];
      const evidence = createEvidence({
        ...QUIET_LOG,
        warn: (event, fields) =>
          lines.push(`${event} ${JSON.stringify(fields)}`),
      });
      confirm(evidence);
      assert.equal(lines.length, 1);
      assert.match(
        lines[0] ?? '',
        /part_quarantined .*"part":"bad","crashes":3.*node-1,node-2,node-3/,
      );
    });
  });

  describe('exchange', () => {
    it('brings a record to nodes that it was not announced to', () => {
      const chain = new Chain([1, 2, 3, 4].map(() => createEvidence()));
      const [first, , , last] = chain.nodes;
      assert.ok(first && last);
      confirm(first);
      assert.equal(last.quarantineOf(['bad'])?.part, 'bad');
      assert.equal(last.digest(), first.digest());
    });

    // A node that has just started must not send a request that all others reject.
    it('brings a node that has just started to the state of the others with its first message', () => {
      const old = createEvidence();
      confirm(old);
      const started = createEvidence();
      const chain = new Chain([started, old]);
      assert.equal(started.quarantineOf(['bad']), undefined);
      chain.exchange();
      assert.equal(started.quarantineOf(['bad'])?.part, 'bad');
    });

    it('brings all nodes to the same state however many messages are lost', () => {
      fc.assert(
        fc.property(
          fc.array(fc.boolean(), {maxLength: 200}),
          fc.array(fc.nat(3), {minLength: 1, maxLength: 12}),
          (losses, crashedAt) => {
            nowMs = 100_000;
            let n = 0;
            const chain = new Chain(
              [1, 2, 3, 4].map(() => createEvidence()),
              () => losses[n++] ?? false,
            );
            for (const [index, node] of crashedAt.entries()) {
              chain.nodes[node]?.add(recordOf(index));
              nowMs += 20;
            }
            for (let round = 0; round < 20; round++) {
              nowMs += 30_000;
              chain.exchange();
            }
            const digests = chain.nodes.map(node => node.digest());
            assert.equal(new Set(digests).size, 1);
          },
        ),
      );
    });

    // Records that one end has dropped would go to and fro with each message.
    it('sends few messages while the ends differ', () => {
      const full = createEvidence();
      confirm(full);
      const chain = new Chain([createEvidence(), full], () => true);
      for (let n = 0; n < 1_000; n++) {
        nowMs += 10;
        chain.exchange();
      }
      // 2,000 messages without records, and records at 0, 0.2, 0.6, 1.4, 3, 6.2 s.
      assert.ok(chain.sent <= 2_000 + 6 * 4 * 2, `${chain.sent} messages`);
    });
  });

  describe('recording a crash', () => {
    let evidence: CrashEvidence;
    let watch: CrashWatch;
    const broken = (session: string, hasBegun: boolean, parts = ['p']) =>
      watch.recordBreak({suspect: {parts, session}, hasBegun});
    const advance = (ms: number) => {
      nowMs += ms;
      mock.timers.tick(ms);
    };
    beforeEach(() => {
      mock.timers.enable({apis: ['setTimeout']});
      evidence = createEvidence();
      watch = new CrashWatch({name: 'node', clock, evidence});
      watch.recordIncarnation(7);
    });
    afterEach(() => mock.timers.reset());

    it('names the requests that the engine had begun to answer, if there are any', () => {
      watch.recordAnswer(['p', 'q']);
      advance(100);
      broken('waited', false);
      broken('begun', true, ['p', 'bad']);
      watch.recordUnreachable();
      advance(100);
      const [record] = evidence.records();
      assert.equal(record?.key, 'node/7');
      assert.deepEqual(record?.suspects, [
        {parts: ['p', 'bad'], session: 'begun'},
      ]);
      assert.equal(record?.partAnswers.get('p')?.count, 1);
      assert.equal(record?.partAnswers.get('bad')?.count, 0);
    });

    it('names all that had no answer if none had begun, also those whose entries are late', () => {
      broken('a', false);
      watch.recordUnreachable();
      advance(100);
      broken('b', false);
      advance(100);
      const sessions = evidence.records()[0]?.suspects.map(s => s.session);
      assert.deepEqual(sessions, ['a', 'b']);
    });

    // Answers that a sound engine breaks off say nothing about crashes.
    it('records nothing while the engine answers, nor for a crash without suspects', () => {
      broken('a', true);
      advance(2_000);
      watch.recordIncarnation(7);
      watch.recordUnreachable();
      advance(2_000);
      assert.deepEqual(evidence.records(), []);
    });

    it('records a crash whose engine was back before it was missed', () => {
      broken('a', true);
      watch.recordIncarnation(8);
      advance(100);
      assert.equal(evidence.records()[0]?.key, 'node/7');
    });

    it('takes a crash back when the same incarnation answers again', () => {
      broken('a', true);
      watch.recordUnreachable();
      advance(100);
      assert.equal(evidence.records()[0]?.suspects.length, 1);
      watch.recordIncarnation(7);
      advance(100);
      assert.equal(evidence.records()[0]?.suspects.length, 0);
    });

    // Other nodes ignored the record of the crash, since they had a later version of it.
    it('records a crash of an incarnation that was taken back before', () => {
      broken('a', true);
      watch.recordUnreachable();
      advance(100);
      watch.recordIncarnation(7);
      advance(3_000);
      broken('b', true);
      watch.recordUnreachable();
      advance(100);
      const sessions = evidence.records()[0]?.suspects.map(s => s.session);
      assert.deepEqual(sessions, ['b']);
    });
  });

  describe('repeats', () => {
    const attempt = {
      sharedParts: ['shared', 'bad'],
      brokenRequest: '',
      incarnationMs: 1_001,
    };

    it('are allowed where nothing hints at a crash', async () => {
      const evidence = createEvidence();
      for (const end of [RequestEnd.UNKNOWN, RequestEnd.BROKEN]) {
        assert.ok(await mayRepeatAfter(evidence, {...attempt, end}));
      }
    });

    // Each repeat cost one more engine with all streams that it ran.
    it('are not allowed for a request that its engine crashed with as it began to answer', async () => {
      const evidence = createEvidence();
      const end = RequestEnd.BROKEN_AT_START;
      const mayRepeat = mayRepeatAfter(evidence, {...attempt, end});
      evidence.add(recordOf(1));
      assert.equal(await mayRepeat, false);
    });

    it('are allowed after a short wait if the engine did not crash', async () => {
      const evidence = createEvidence();
      const end = RequestEnd.BROKEN_AT_START;
      assert.ok(await mayRepeatAfter(evidence, {...attempt, end}));
    });

    it('are not allowed while a part is suspected, before it is confirmed', async () => {
      const evidence = createEvidence();
      evidence.add(recordOf(2));
      evidence.add(recordOf(3));
      const end = RequestEnd.BROKEN;
      assert.equal(await mayRepeatAfter(evidence, {...attempt, end}), false);
      const sound = {...attempt, sharedParts: ['shared'], end};
      assert.ok(await mayRepeatAfter(evidence, sound));
    });
  });
});
