import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {create} from '@bufbuild/protobuf';
import {Err, Ok} from 'ts-results-es';
import {OperatorStateSchema} from '@balsamnotch/wire';
import {createDirectory, type Directory} from '../src/node/directory.js';
import type {DirectoryAnswer} from '../src/node/directorysource.js';
import {CHANGE_SOURCE} from '../src/node/freshness.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {encodeChanges} from '../src/node/peers.js';
import {QUIET_LOG, tableOf} from './support.js';
import {
  openOperatorExchange,
  type OperatorExchange,
  type OperatorMessage,
} from '../src/node/operatorexchange.js';

const STEP_MS = 10;

function answerOf(version: number): DirectoryAnswer {
  return {
    changes: [{kind: 'routes', table: tableOf(version)}],
    revision: version,
    operatorRevision: version,
  };
}

/** A node whose store the test plays. */
interface Node {
  readonly directory: Directory;
  /** Version that its store publishes; none is answered while undefined. */
  readonly store: {published: number | undefined};
  readonly errors: string[];
}

describe('operator changes between nodes', () => {
  const clock = {ms: 0};
  const open: Array<{close: () => void}> = [];

  beforeEach(() => mock.timers.enable({apis: ['setTimeout', 'setInterval']}));
  afterEach(() => {
    for (const {close} of open.splice(0)) close();
    mock.timers.reset();
  });

  const pass = async (ms: number) => {
    for (let n = 0; n < ms / STEP_MS; n++) {
      await new Promise(resolve => setImmediate(resolve));
      clock.ms += STEP_MS;
      mock.timers.tick(STEP_MS);
    }
    await new Promise(resolve => setImmediate(resolve));
  };
  const quiet = () => undefined;
  const node = (published?: number): Node => {
    const store = {published};
    const call = () =>
      Promise.resolve(
        store.published === undefined
          ? Err({kind: 'unavailable' as const, message: 'silent'})
          : Ok(answerOf(store.published)),
      );
    const directory = createDirectory({
      source: {read: call, watch: call},
      clock: {monotonicMs: () => clock.ms, wallMs: () => 0},
      log: QUIET_LOG,
      metrics: createGatewayMetrics(),
      random: () => 0.5,
    });
    open.push(directory);
    return {directory, store, errors: []};
  };
  const endOf = (
    {directory, errors}: Node,
    send: (message: OperatorMessage) => void,
  ): OperatorExchange => {
    const end = openOperatorExchange({
      directory,
      source: CHANGE_SOURCE.targetNode,
      send,
      log: {...QUIET_LOG, error: event => errors.push(event)},
      metrics: createGatewayMetrics(),
    });
    open.push(end);
    return end;
  };
  /** Passes a message on, as the stream would. */
  const deliver = (
    to: () => OperatorExchange | undefined,
    {operatorState, wantsChanges = false}: OperatorMessage,
  ) =>
    setTimeout(
      () =>
        to()?.received({
          operatorState:
            operatorState && create(OperatorStateSchema, operatorState),
          wantsChanges,
        }),
      5,
    );
  /** Connects two nodes; the result lists the receivers of changes as they are sent. */
  const connect = (one: Node, other: Node) => {
    const contents: Node[] = [];
    const ends: {one?: OperatorExchange; other?: OperatorExchange} = {};
    const sendTo =
      (receiver: Node, end: () => OperatorExchange | undefined) =>
      (message: OperatorMessage) => {
        if (message.operatorState?.changes) contents.push(receiver);
        deliver(end, message);
      };
    ends.one = endOf(
      one,
      sendTo(other, () => ends.other),
    );
    ends.other = endOf(
      other,
      sendTo(one, () => ends.one),
    );
    return contents;
  };
  const versionAt = ({directory}: Node) => directory.current().table?.version;

  // Nodes without the store stayed behind others to which they held open streams.
  it('reach a node that its store does not answer, over nodes between', async () => {
    const [entry, between, silentEntry] = [node(1), node(1), node(1)];
    await pass(100);
    connect(entry, between);
    connect(silentEntry, between);
    between.store.published = undefined;
    silentEntry.store.published = undefined;
    entry.store.published = 2;
    await pass(2_000);
    assert.equal(versionAt(between), 2);
    assert.equal(versionAt(silentEntry), 2);
    assert.ok(silentEntry.directory.operatorAgeMs() < 2_000);
  });

  it('come from the store where it answers; nothing but a hint is sent', async () => {
    const [watcher, poller] = [node(1), node(1)];
    await pass(100);
    const contents = connect(watcher, poller);
    await pass(1_000);
    watcher.store.published = 2;
    poller.store.published = 2;
    watcher.directory.pollSoon();
    await pass(300);
    assert.equal(versionAt(poller), 2);
    assert.deepEqual(contents, []);
  });

  // All target nodes of a large deployment would send the same megabyte over one narrow link.
  it('are asked of one node at a time', async () => {
    const behind = node(1);
    const others = [node(1), node(1), node(1)];
    await pass(100);
    const contents = others.map(other => connect(other, behind));
    behind.store.published = undefined;
    for (const other of others) other.store.published = 2;
    await pass(2_500);
    assert.equal(versionAt(behind), 2);
    assert.equal(contents.flat().length, 1);
  });

  it('are asked of another node when the one that was asked does not answer', async () => {
    const behind = node(1);
    const other = node(1);
    await pass(100);
    behind.store.published = undefined;
    other.store.published = 2;
    const mute = endOf(behind, quiet);
    mute.received({
      operatorState: create(OperatorStateSchema, {revision: 2}),
      wantsChanges: false,
    });
    await pass(500);
    connect(other, behind);
    await pass(2_000);
    assert.equal(versionAt(behind), 2);
  });

  it('are not taken when they are older or unreadable (a node would go back, or end)', async () => {
    const current = node(3);
    await pass(100);
    const end = endOf(current, quiet);
    const older = encodeChanges(answerOf(2).changes);
    const states = [
      {revision: 2, changes: older},
      {revision: 9, changes: 'not JSON'},
    ];
    for (const state of states) {
      end.received({
        operatorState: create(OperatorStateSchema, state),
        wantsChanges: false,
      });
    }
    assert.equal(versionAt(current), 3);
    assert.deepEqual(current.errors, ['operator_changes_invalid']);
  });
});
