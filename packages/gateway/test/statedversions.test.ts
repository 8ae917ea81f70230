import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import type {KnownVersions} from '@balsamnotch/core';
import type {VersionStatement} from '../src/node/serviceversions.js';
import {Pair, SERVICE, answerOf} from './nodepair.js';

const WINDOW_MS = 10_000;

const unsure: KnownVersions = {kind: 'unsure'};
const onlyV1: KnownVersions = {kind: 'only', softwareVersion: 'v1'};
const several: KnownVersions = {kind: 'several'};

describe('versions of a service in the answer of a node', () => {
  let pair: Pair;
  /** What the entry has seen since it started, by the length of the window. */
  let own: (windowMs: number) => KnownVersions;
  let statements: readonly VersionStatement[];

  const statement = (
    overrides: Partial<VersionStatement> = {},
  ): VersionStatement => ({
    service: SERVICE,
    hasSeveral: false,
    onlyVersion: 'v1',
    ageMs: 500,
    windowMs: WINDOW_MS - 500,
    ...overrides,
  });
  const versions = async () => (await answerOf(pair))?.versions;

  beforeEach(() => {
    mock.timers.enable({apis: ['setTimeout', 'setInterval']});
    // An entry that started 3 s ago.
    own = windowMs => (windowMs <= 3_000 ? onlyV1 : unsure);
    statements = [statement()];
    pair = new Pair(() => true, {
      known: (_service, windowMs = WINDOW_MS) => own(windowMs),
      windowMs: () => WINDOW_MS,
      statements: () => statements,
    });
  });
  afterEach(() => {
    pair.close();
    mock.timers.reset();
  });

  it('are unsure before any entry has stated them', async () => {
    assert.deepEqual(await versions(), unsure);
  });

  // Failure: an entry that has just started refuses every stream that is taken up for a whole window.
  it('are known to an entry that has just started from those that serve longer', async () => {
    pair.link.probe(400, 0);
    await pair.advance(1_000);
    assert.deepEqual(await versions(), onlyV1);
  });

  // Failure: a version that appeared after the statement is overlooked.
  it('are unsure if the entry has not followed the list since the statement', async () => {
    pair.link.probe(400, 0);
    await pair.advance(2_600);
    assert.deepEqual(await versions(), unsure);
  });

  it('are several if the entry has seen another since', async () => {
    pair.link.probe(400, 0);
    await pair.advance(20);
    own = () => several;
    assert.deepEqual(await versions(), several);
    own = () => ({kind: 'only', softwareVersion: 'v2'});
    assert.deepEqual(await versions(), several);
  });

  it('are several if an entry has stated several', async () => {
    statements = [statement({hasSeveral: true, onlyVersion: ''})];
    pair.link.probe(400, 0);
    await pair.advance(20);
    assert.deepEqual(await versions(), several);
  });

  // Failure: a statement for short streams counts after a change of the routes to longer ones.
  it('are unsure if the statement covers a shorter window', async () => {
    statements = [statement({windowMs: 5_000})];
    pair.link.probe(400, 0);
    await pair.advance(20);
    assert.deepEqual(await versions(), unsure);
  });

  it('are those of the statement that covers the latest time', async () => {
    pair.link.probe(400, 0);
    await pair.advance(20);
    statements = [statement({hasSeveral: true, ageMs: 1_500})];
    pair.link.probe(400, 0);
    await pair.advance(20);
    assert.deepEqual(await versions(), onlyV1);
    statements = [statement({hasSeveral: true, ageMs: 100})];
    pair.link.probe(400, 0);
    await pair.advance(20);
    assert.deepEqual(await versions(), several);
  });

  // Failure: what entries stated long ago makes a node answer that there are several versions.
  it('are forgotten after the window', async () => {
    own = () => onlyV1;
    statements = [statement({hasSeveral: true})];
    pair.link.probe(400, 0);
    await pair.advance(20);
    await pair.advance(WINDOW_MS);
    assert.deepEqual(await versions(), unsure);
  });

  // Failure: a statement that waited in the socket of a stopped node counts as recent.
  it('are not taken from a statement that was read after a pause', async () => {
    pair.pauseMs = 5_000;
    pair.link.probe(400, 0);
    await pair.advance(20);
    assert.deepEqual(await versions(), unsure);
  });

  it('take no message of their own', async () => {
    pair.link.probe(400, 0);
    await pair.advance(20);
    assert.equal(pair.sent, 2);
  });
});
