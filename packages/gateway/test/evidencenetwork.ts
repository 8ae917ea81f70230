/** Nodes that exchange records of crashes over a model of a network. */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  MERGED_VERSION,
  engineOf,
  firstProbe,
  passingProbability,
  probeIntervalMs,
  requestPart,
  spreadingProbability,
  type CrashRecord,
} from '@balsamnotch/core';
import {HoldRequestSchema} from '@balsamnotch/wire';
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

const STEP_MS = 5;
const LOSS = 0.05;

/** A link between an entry and a target node, with the two ends of their exchange. */
interface Link {
  readonly entry: CrashEvidence;
  readonly node: CrashEvidence;
  entryEnd: EvidenceExchange;
  nodeEnd: EvidenceExchange;
}

/**
 * All links of a deployment on a network that the test controls, which loses a twentieth of the
 * messages.
 */
export class EvidenceNetwork {
  nowMs = 0;
  /** Messages that carry records. */
  recordMessages = 0;
  /** Number of messages that state the digests of all records. */
  digestMessages = 0;
  readonly entries: readonly CrashEvidence[];
  readonly nodes: readonly CrashEvidence[];
  private readonly links: Link[][] = [];
  private queue: Array<() => void> = [];
  private readonly generator = xoroshiro128plus(12_345);
  private readonly firstProbes: readonly number[];

  constructor(entryCount: number, nodeCount: number) {
    const createNode = () =>
      createCrashEvidence({
        clock: this.clock,
        log: QUIET_LOG,
        metrics: createGatewayMetrics(),
      });
    this.entries = Array.from({length: entryCount}, createNode);
    this.nodes = Array.from({length: nodeCount}, createNode);
    this.firstProbes = this.entries.map(() => firstProbe(this.random()));
    for (const entry of this.entries) {
      this.links.push(
        this.nodes.map((node, n) => this.openLink(entry, node, `node-${n}`)),
      );
    }
  }

  private readonly clock = {
    monotonicMs: () => this.nowMs,
    wallMs: () => 0,
  };

  private timers: Array<{readonly atMs: number; readonly run: () => void}> = [];
  private readonly schedule = (run: () => void, ms: number) => {
    this.timers.push({atMs: this.nowMs + ms, run});
  };

  /** Returns numbers from 0 up to but not including 1. */
  random(): number {
    return uniformFloat64(this.generator);
  }

  private openLink(
    entry: CrashEvidence,
    node: CrashEvidence,
    name: string,
  ): Link {
    const {clock} = this;
    const entryEnd = openEvidenceExchange({
      evidence: entry,
      clock,
      schedule: this.schedule,
      isAnnounced: ({version}) =>
        this.random() <
        (version === MERGED_VERSION
          ? spreadingProbability(this.nodes.length)
          : passingProbability(this.nodes.length)),
      send: message => this.send(entry, () => link.nodeEnd, message),
    });
    const nodeEnd = openEvidenceExchange({
      evidence: node,
      clock,
      schedule: this.schedule,
      isAnnounced: ({key, version}) =>
        engineOf(key) === name ||
        (version === MERGED_VERSION &&
          this.random() < spreadingProbability(this.entries.length)),
      send: message => this.send(node, () => link.entryEnd, message),
    });
    const link = {entry, node, entryEnd, nodeEnd};
    return link;
  }

  /** Sends a message without records in both directions of a link, as leases do. */
  touch(entry: number, node: number): void {
    const link = this.links[entry]?.[node];
    if (link === undefined) return;
    this.send(link.entry, () => link.nodeEnd);
    this.send(link.node, () => link.entryEnd);
  }

  private send(
    from: CrashEvidence,
    to: () => EvidenceExchange,
    fields: MessageInitShape<typeof HoldRequestSchema> = {},
  ): void {
    const {crashes = [], crashRecordDigests = []} = fields;
    if (crashes.length > 0) this.recordMessages += 1;
    if (crashRecordDigests.length > 0) this.digestMessages += 1;
    if (this.random() < LOSS) return;
    const message = create(HoldRequestSchema, {
      ...fields,
      crashDigest: from.digest(),
    });
    this.queue.push(() => to().handleMessage(message));
  }

  /** Lets time pass, with a probe and its answer at each entry in turn and no other messages. */
  advance(ms: number): void {
    const probeMs = probeIntervalMs(this.entries.length);
    for (const endMs = this.nowMs + ms; this.nowMs < endMs;) {
      const previousMs = this.nowMs;
      this.nowMs += STEP_MS;
      const due = this.queue;
      this.queue = [];
      for (const deliver of due) deliver();
      const elapsed = this.timers.filter(({atMs}) => atMs <= this.nowMs);
      this.timers = this.timers.filter(({atMs}) => atMs > this.nowMs);
      for (const {run} of elapsed) run();
      for (const [n, links] of this.links.entries()) {
        const phaseMs = (n / this.entries.length) * probeMs;
        const count = Math.floor((this.nowMs + phaseMs) / probeMs);
        if (count === Math.floor((previousMs + phaseMs) / probeMs)) continue;
        const link = links[((this.firstProbes[n] ?? 0) + count) % links.length];
        if (link === undefined) continue;
        this.send(link.entry, () => link.nodeEnd);
        this.send(link.node, () => link.entryEnd);
      }
    }
  }

  /** Crash `n` of a plain server, as one of the entries with requests there records it. */
  plainRecordOf(n: number, entry: number): CrashRecord {
    const ids = ['bad', `sound${n}.${entry}`].map(requestPart);
    return {
      key: `plain-${n}/1`,
      version: MERGED_VERSION,
      atMs: this.nowMs,
      suspects: ids.map(id => ({parts: [id], session: id})),
      hasBegun: false,
      answers: 0,
      partAnswers: new Map(
        ids.map(id => [id, {count: 0, lastAtMs: -Infinity}]),
      ),
    };
  }

  recordOf(n: number): CrashRecord {
    return {
      key: `node-${n}/1`,
      version: 1,
      atMs: this.nowMs,
      suspects: [{parts: ['shared', 'bad'], session: `own${n}`}],
      hasBegun: true,
      answers: 200,
      partAnswers: new Map([
        ['shared', {count: 150, lastAtMs: this.nowMs}],
        ['bad', {count: 0, lastAtMs: -Infinity}],
      ]),
    };
  }
}
