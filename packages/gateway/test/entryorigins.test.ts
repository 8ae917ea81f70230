import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  ORIGIN_OUTCOME,
  type KnownVersions,
  type OriginAnswer,
} from '@balsamnotch/core';
import {EntryOrigins, type OriginLink} from '../src/entry/entryorigins.js';
import {createGatewayMetrics} from '../src/index.js';

const WINDOW_MS = 10_000;
const SERVICE = 's';

/** A link to a node that answers as told, and counts what it gets. */
class LinkStandIn implements OriginLink {
  told: string[] = [];
  asked: string[] = [];
  hasLeft = false;
  /** Undefined for a node that does not answer. */
  answer: OriginAnswer | undefined = {versions: {kind: 'unsure'}};

  isLost = () => this.hasLeft;
  tellBegun = (stream: string, softwareVersion: string) =>
    void this.told.push(`${stream} ${softwareVersion}`);
  askOrigin = (stream: string) => {
    this.asked.push(stream);
    return Promise.resolve(this.answer);
  };
}

describe('the origins of streams at an entry', () => {
  let links: Map<string, LinkStandIn>;
  let versions: KnownVersions;
  let nowMs: number;
  let origins: EntryOrigins;

  const all = () => [...links.values()];
  const told = () => all().flatMap(link => link.told);
  const asked = () => all().flatMap(link => link.asked);
  const begin = (stream: string, target = 'n1') =>
    origins.recordBegun({
      stream,
      service: SERVICE,
      softwareVersion: 'v1',
      target,
    });

  beforeEach(() => {
    nowMs = 1_000;
    versions = {kind: 'several'};
    links = new Map(
      Array.from({length: 6}, (_, n) => [`n${n}`, new LinkStandIn()]),
    );
    origins = new EntryOrigins({
      context: {
        clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
        metrics: createGatewayMetrics(),
      },
      linksOf: service => (service === SERVICE ? links : new Map()),
      nodeBeside: target => target,
      versions: {known: () => versions, windowMs: () => WINDOW_MS},
    });
  });

  describe('that begin', () => {
    // Failure: while one version serves, each stream cost a message.
    it('cost no message while their service has one version', () => {
      versions = {kind: 'only', softwareVersion: 'v1'};
      for (let n = 0; n < 1_000; n++) begin(`a${n}`);
      assert.deepEqual(told(), []);
    });

    it('are told to one other node each while it has several', () => {
      for (let n = 0; n < 200; n++) begin(`a${n}`, `n${n % 6}`);
      assert.equal(told().length, 200);
      for (const [address, link] of links) {
        assert.ok(link.told.length > 0, `${address} is a keeper`);
        for (const text of link.told) {
          const n = Number(/\d+/.exec(text)?.[0]);
          assert.notEqual(`n${n % 6}`, address, 'the node beside the server');
        }
      }
    });

    // Failure: a stream that began shortly before a release was known to one node only.
    it('are told when a second version appears, once, if they may still be taken up', () => {
      versions = {kind: 'only', softwareVersion: 'v1'};
      begin('old');
      nowMs += WINDOW_MS;
      begin('recent');
      nowMs += 1;
      origins.handleVersions();
      assert.deepEqual(told(), []);
      versions = {kind: 'several'};
      origins.handleVersions();
      origins.handleVersions();
      assert.deepEqual(told(), ['recent v1']);
    });

    it('are told to nodes that can be reached', () => {
      for (const [address, link] of links) link.hasLeft = address !== 'n5';
      begin('a');
      assert.deepEqual(links.get('n5')?.told, ['a v1']);
      begin('b', 'n5');
      assert.equal(told().length, 1);
    });
  });

  describe('that callers take up', () => {
    const find = () => origins.find('a', SERVICE);

    it('are known without a question if they began here', async () => {
      begin('a');
      const decision = await find();
      assert.equal(decision.outcome, ORIGIN_OUTCOME.known);
      assert.deepEqual(asked(), []);
      nowMs += WINDOW_MS + 1;
      assert.equal((await find()).outcome, ORIGIN_OUTCOME.unknown);
    });

    it('are known without a question if their service has one version', async () => {
      versions = {kind: 'only', softwareVersion: 'v2'};
      const decision = await find();
      assert.deepEqual(decision, {
        outcome: ORIGIN_OUTCOME.known,
        softwareVersion: 'v2',
        stage: 'only',
      });
      assert.deepEqual(asked(), []);
    });

    // Failure: a stream went on at another version than the one that began it.
    it('go on at the version that any node knows', async () => {
      const [, , , fourth] = all();
      assert.ok(fourth);
      fourth.answer = {
        origin: {softwareVersion: 'v3', stage: 'begun'},
        versions: {kind: 'unsure'},
      };
      const decision = await find();
      assert.deepEqual(decision, {
        outcome: ORIGIN_OUTCOME.known,
        softwareVersion: 'v3',
        stage: 'begun',
      });
      assert.equal(asked().length, 6);
    });

    it('are unknown if no node answers or can be reached', async () => {
      for (const link of all()) link.answer = undefined;
      assert.equal((await find()).outcome, ORIGIN_OUTCOME.unknown);
      for (const link of all()) link.hasLeft = true;
      assert.equal((await find()).outcome, ORIGIN_OUTCOME.unknown);
      assert.equal(asked().length, 6);
    });

    it('are unknown if this entry knows of several versions and a node of one', async () => {
      for (const link of all()) {
        link.answer = {versions: {kind: 'only', softwareVersion: 'v1'}};
      }
      assert.equal((await find()).outcome, ORIGIN_OUTCOME.unknown);
      versions = {kind: 'unsure'};
      assert.equal((await find()).outcome, ORIGIN_OUTCOME.known);
    });

    it('ask at most eight nodes', async () => {
      for (let n = 6; n < 600; n++) links.set(`n${n}`, new LinkStandIn());
      await find();
      assert.equal(asked().length, 8);
    });
  });
});
