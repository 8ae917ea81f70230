import assert from 'node:assert/strict';
import {before, describe, it} from 'node:test';
import {requestPart, type CrashRecord} from '@balsamnotch/core';
import {EvidenceNetwork} from './evidencenetwork.js';

const ENTRIES = 40;
const TARGET_NODES = 31;

/** Number of engines that crash within a second. */
const CRASHES = 12;

/** Number of requests that break in each crash; all are answered elsewhere afterwards. */
const SUSPECTS = 24;

/** Time within which these answers arrive, in milliseconds. */
const ANSWERS_MS = 3_000;

const RUN_MS = 5_000;

/** Leases that entries ask for, each second. */
const LEASES_PER_SECOND = 16 * ENTRIES;

const STEP_MS = 5;

/** Messages that the exchange may take: for each process and second, and for each process and crash. */
const ALLOWED = {perSecond: 2, perCrash: 6};

function suspectOf(crash: number, n: number): string {
  return requestPart(`r${crash}.${n}`);
}

/** Record of a crash with the first `count` of its suspects, as its target node learns of them. */
function recordOf(
  crash: number,
  version: number,
  count: number,
  atMs: number,
): CrashRecord {
  const requests = Array.from({length: count}, (_, n) => suspectOf(crash, n));
  return {
    key: `node-${crash}/1`,
    version,
    atMs,
    suspects: requests.map((request, n) => ({
      parts: [`part${n % 7}`, request],
      session: request,
    })),
    hasBegun: false,
    answers: 200,
    partAnswers: new Map(
      requests.map(request => [request, {count: 0, lastAtMs: -Infinity}]),
    ),
  };
}

/** An action of the load below. */
interface Action {
  readonly atMs: number;
  readonly run: (network: EvidenceNetwork) => void;
}

/** Load: crashes within a second, and the answers to the requests that broke, each at one entry. */
function actions(network: EvidenceNetwork): readonly Action[] {
  const planned: Action[] = [];
  for (let crash = 0; crash < CRASHES; crash++) {
    const crashedAtMs = network.nowMs + (1_000 * crash) / CRASHES;
    for (const [version, count, afterMs] of [
      [1, SUSPECTS / 2, 0],
      [2, SUSPECTS, 200],
    ] as const) {
      planned.push({
        atMs: crashedAtMs + afterMs,
        run: ({nodes}) =>
          nodes[crash]?.add(recordOf(crash, version, count, crashedAtMs)),
      });
    }
    for (let n = 0; n < SUSPECTS; n++) {
      const entry = Math.floor(network.random() * ENTRIES);
      planned.push({
        atMs: crashedAtMs + 100 + network.random() * ANSWERS_MS,
        run: ({entries}) => entries[entry]?.recordAnswer(suspectOf(crash, n)),
      });
    }
  }
  return planned.sort((a, b) => a.atMs - b.atMs);
}

// Failure: the exchange took ten times the messages of all requests, so entries were late (CONFIG).
describe('the exchange of crash records after a loss of many engines', () => {
  let network: EvidenceNetwork;
  before(() => {
    network = new EvidenceNetwork(ENTRIES, TARGET_NODES);
    network.advance(1_000);
    let pending = actions(network);
    const endMs = network.nowMs + RUN_MS;
    for (let leases = 0; network.nowMs < endMs;) {
      network.advance(STEP_MS);
      const due = pending.filter(({atMs}) => atMs <= network.nowMs);
      pending = pending.slice(due.length);
      for (const {run} of due) run(network);
      const step = (LEASES_PER_SECOND * STEP_MS) / 1_000;
      for (leases += step; leases >= 1; leases--) {
        network.touch(
          Math.floor(network.random() * ENTRIES),
          Math.floor(network.random() * TARGET_NODES),
        );
      }
    }
  });

  it('takes a bounded number of messages', () => {
    const processes = ENTRIES + TARGET_NODES;
    const messages = network.recordMessages + network.digestMessages;
    const allowed =
      processes *
      (ALLOWED.perCrash * CRASHES + (ALLOWED.perSecond * RUN_MS) / 1_000);
    assert.ok(
      messages <= allowed,
      `${network.recordMessages} messages with records and ${network.digestMessages} with digests, ${allowed} allowed`,
    );
  });

  it('brings each record to all nodes', () => {
    for (const evidence of [...network.entries, ...network.nodes]) {
      assert.equal(evidence.records().length, CRASHES);
    }
  });

  it('brings the last version of each record to nearly all nodes', () => {
    const nodes = [...network.entries, ...network.nodes];
    const complete = nodes.filter(evidence =>
      evidence.records().every(({suspects}) => suspects.length === SUSPECTS),
    );
    assert.ok(complete.length >= 0.9 * nodes.length, `${complete.length}`);
  });
});
