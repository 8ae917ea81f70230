import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {requestPart, type CrashRecord} from '@balsamnotch/core';
import {HoldRequestSchema} from '@balsamnotch/wire';
import {
  createCrashEvidence,
  type CrashEvidence,
} from '../src/node/crashevidence.js';
import {openEvidenceExchange} from '../src/node/evidenceexchange.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {QUIET_LOG} from './support.js';

let nowMs = 0;
/** Time that passes with each look at the clock, in milliseconds, as if work took it. */
let workMs = 0;
const clock = {
  monotonicMs: () => {
    nowMs += workMs;
    return nowMs;
  },
  wallMs: () => 0,
};

function createEvidence(): CrashEvidence {
  return createCrashEvidence({
    clock,
    log: QUIET_LOG,
    metrics: createGatewayMetrics(),
  });
}

function recordOf(n: number, part = 'bad'): CrashRecord {
  return {
    key: `node-${n}/${1_000 + n}`,
    version: 1,
    atMs: nowMs,
    suspects: [
      {parts: ['shared', part, requestPart(`r${n}`)], session: `own${n}`},
    ],
    hasBegun: true,
    answers: 200,
    partAnswers: new Map([
      ['shared', {count: 150, lastAtMs: nowMs}],
      [part, {count: 0, lastAtMs: -Infinity}],
    ]),
  };
}

describe('evidence of crashes under load', () => {
  beforeEach(() => {
    nowMs = 0;
    workMs = 0;
  });

  // Failure: each record and each first answer after a crash was assessed at once, some dozens for each
  // crash, so the event loop of an entry with a third of a core was blocked for seconds.
  describe('whose assessment takes long', () => {
    it('is assessed again after a pause, and then all at once', () => {
      const evidence = createEvidence();
      workMs = 20;
      evidence.add(recordOf(1));
      workMs = 0;
      for (const n of [2, 3, 4]) evidence.add(recordOf(n));
      assert.equal(evidence.quarantineOf(['bad']), undefined);
      nowMs += 500;
      assert.ok(evidence.quarantineOf(['bad']));
    });

    /** Record of a later crash that names the request of the first one again. */
    const secondRecord = (): CrashRecord => ({
      ...recordOf(2),
      atMs: nowMs + 1,
      suspects: recordOf(1).suspects,
    });

    it('is not assessed for an answer that is known', () => {
      const evidence = createEvidence();
      evidence.add(recordOf(1));
      evidence.add(secondRecord());
      const announced: string[] = [];
      evidence.added$.subscribe(({key}) => announced.push(key));
      nowMs += 10;
      for (let n = 0; n < 5; n++) evidence.recordAnswer(requestPart('r1'));
      assert.deepEqual(announced, ['node-2/1002']);
      assert.deepEqual(evidence.crashesOf(requestPart('r1')), []);
    });

    // Failure: each answer to one of the requests that broke once went to all nodes, a hundred messages
    // each, although nothing follows from it (CONFIG).
    it('is not announced for the answer to a request that broke once', () => {
      const evidence = createEvidence();
      evidence.add(recordOf(1));
      const announced: string[] = [];
      evidence.added$.subscribe(({key}) => announced.push(key));
      const digest = evidence.digest();
      nowMs += 10;
      evidence.recordAnswer(requestPart('r1'));
      assert.deepEqual(announced, []);
      assert.equal(evidence.digest(), digest);
      assert.deepEqual(evidence.crashesOf(requestPart('r1')), []);
    });

    // A sound request would be held back for crashes before its answer.
    it('announces that answer once the request breaks again', () => {
      const evidence = createEvidence();
      evidence.add(recordOf(1));
      nowMs += 10;
      evidence.recordAnswer(requestPart('r1'));
      nowMs += 10;
      const announced: string[] = [];
      evidence.added$.subscribe(({key}) => announced.push(key));
      evidence.add(secondRecord());
      assert.deepEqual(announced, ['node-2/1002', 'node-1/1001']);
      assert.deepEqual(evidence.crashesOf(requestPart('r1')), ['node-2/1002']);
    });

    it('stays bounded while it waits', () => {
      const evidence = createEvidence();
      workMs = 20;
      evidence.add(recordOf(0));
      workMs = 0;
      for (let n = 1; n < 400; n++) evidence.add(recordOf(n));
      assert.ok(evidence.records().length <= 2 * 64);
      nowMs += 500;
      assert.equal(evidence.records().length, 64);
    });
  });

  // Failure: after each change all records went over each link, of which the other end knew all but one.
  it('sends only what has changed since both ends agreed', () => {
    const evidences = [createEvidence(), createEvidence()] as const;
    let sent = 0;
    const open = (own: CrashEvidence, other: () => Exchange) =>
      openEvidenceExchange({
        evidence: own,
        clock,
        isAnnounced: () => false,
        send: message => {
          sent += message.crashes?.length ?? 0;
          other().handleMessage(messageOf(own, message));
        },
      });
    const left: Exchange = open(evidences[0], () => right);
    const right: Exchange = open(evidences[1], () => left);
    const exchange = () => {
      nowMs += 1_000;
      right.handleMessage(messageOf(evidences[0]));
      left.handleMessage(messageOf(evidences[1]));
    };
    for (let n = 0; n < 50; n++) evidences[0].add(recordOf(n, `p${n}`));
    exchange();
    exchange();
    assert.equal(evidences[1].records().length, 50);
    sent = 0;
    evidences[0].add(recordOf(50, 'p50'));
    exchange();
    exchange();
    assert.equal(evidences[1].records().length, 51);
    assert.ok(sent <= 2, `${sent} records`);
  });
});

type Exchange = ReturnType<typeof openEvidenceExchange>;

function messageOf(
  sender: CrashEvidence,
  fields: MessageInitShape<typeof HoldRequestSchema> = {},
) {
  const crashDigest = sender.digest();
  return create(HoldRequestSchema, {...fields, crashDigest});
}
