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
import {at, deliver, QUIET_LOG, tableOf} from './support.js';
import {
  openOperatorExchange,
  type OperatorExchange,
  type OperatorMessage,
} from '../src/node/operatorexchange.js';

const STEP_MS = 10;

function answerOf(version: number, era = 0): DirectoryAnswer {
  return {
    changes: [{kind: 'routes', table: tableOf(version)}],
    position: at(version, era),
    operatorPosition: at(version, era),
  };
}

/** A node with a store that the test controls. */
interface TestNode {
  readonly directory: Directory;
  /** Version that its store publishes; while undefined, calls to the store fail. */
  readonly store: {published: number | undefined; era: number};
  /** Names of error events that the node logged. */
  readonly errors: string[];
}

describe('operator changes between nodes', () => {
  const clock = {ms: 0};
  const openResources: Array<{close: () => void}> = [];

  beforeEach(() => mock.timers.enable({apis: ['setTimeout', 'setInterval']}));
  afterEach(() => {
    for (const {close} of openResources.splice(0)) close();
    mock.timers.reset();
  });

  const advance = async (ms: number) => {
    for (let n = 0; n < ms / STEP_MS; n++) {
      await new Promise(resolve => setImmediate(resolve));
      clock.ms += STEP_MS;
      mock.timers.tick(STEP_MS);
    }
    await new Promise(resolve => setImmediate(resolve));
  };
  const ignore = () => undefined;
  const createNode = (published?: number): TestNode => {
    const store = {published, era: 0};
    const call = () =>
      Promise.resolve(
        store.published === undefined
          ? Err({kind: 'unavailable' as const, message: 'silent'})
          : Ok(answerOf(store.published, store.era)),
      );
    const directory = createDirectory({
      source: {read: call, watch: call},
      clock: {monotonicMs: () => clock.ms, wallMs: () => 0},
      log: QUIET_LOG,
      metrics: createGatewayMetrics(),
      random: () => 0.5,
    });
    openResources.push(directory);
    return {directory, store, errors: []};
  };
  const openEnd = (
    {directory, errors}: TestNode,
    send: (message: OperatorMessage) => void,
  ): OperatorExchange => {
    const end = openOperatorExchange({
      directory,
      source: CHANGE_SOURCE.targetNode,
      send,
      log: {...QUIET_LOG, error: event => errors.push(event)},
      metrics: createGatewayMetrics(),
    });
    openResources.push(end);
    return end;
  };
  /**
   * Connects two nodes. Each time that changes are sent, their receiver is
   * added to the returned list.
   */
  const connect = (one: TestNode, other: TestNode) => {
    const receivers: TestNode[] = [];
    const ends: {one?: OperatorExchange; other?: OperatorExchange} = {};
    const sendTo =
      (receiver: TestNode, end: () => OperatorExchange | undefined) =>
      (message: OperatorMessage) => {
        if (message.operatorState?.changes) receivers.push(receiver);
        deliver(end, message);
      };
    ends.one = openEnd(
      one,
      sendTo(other, () => ends.other),
    );
    ends.other = openEnd(
      other,
      sendTo(one, () => ends.one),
    );
    return receivers;
  };
  const versionAt = ({directory}: TestNode) =>
    directory.current().table?.version;

  // Nodes without access to the store stayed behind, although nodes at the
  // other end of their streams were current.
  it('reach a node without access to the store through other nodes', async () => {
    const [entry, relay, silentEntry] = [
      createNode(1),
      createNode(1),
      createNode(1),
    ];
    await advance(100);
    connect(entry, relay);
    connect(silentEntry, relay);
    relay.store.published = undefined;
    silentEntry.store.published = undefined;
    entry.store.published = 2;
    await advance(2_000);
    assert.equal(versionAt(relay), 2);
    assert.equal(versionAt(silentEntry), 2);
    assert.ok(silentEntry.directory.operatorAgeMs() < 2_000);
  });

  it('come from the store while it answers; the nodes exchange only revisions', async () => {
    const [watcher, poller] = [createNode(1), createNode(1)];
    await advance(100);
    const receivers = connect(watcher, poller);
    await advance(1_000);
    watcher.store.published = 2;
    poller.store.published = 2;
    watcher.directory.pollSoon();
    await advance(300);
    assert.equal(versionAt(poller), 2);
    assert.deepEqual(receivers, []);
  });

  // Otherwise all target nodes of a large deployment send the same megabyte over one narrow link.
  it('are requested from one node at a time', async () => {
    const behind = createNode(1);
    const others = [createNode(1), createNode(1), createNode(1)];
    await advance(100);
    const receivers = others.map(other => connect(other, behind));
    behind.store.published = undefined;
    for (const other of others) other.store.published = 2;
    await advance(2_500);
    assert.equal(versionAt(behind), 2);
    assert.equal(receivers.flat().length, 1);
  });

  it('are requested from another node when the first one does not answer', async () => {
    const behind = createNode(1);
    const other = createNode(1);
    await advance(100);
    behind.store.published = undefined;
    other.store.published = 2;
    const unresponsive = openEnd(behind, ignore);
    unresponsive.handleMessage({
      operatorState: create(OperatorStateSchema, {revision: 2}),
      wantsChanges: false,
    });
    await advance(500);
    connect(other, behind);
    await advance(2_000);
    assert.equal(versionAt(behind), 2);
  });

  // What the store had lost reached no node that had not seen it before, and a node that had
  // seen the new history lost against one that had not.
  it('that the store lost when it returned from a copy reach the nodes of the new era', async () => {
    const [cutOff, current] = [createNode(9), createNode(8)];
    current.store.era = 2;
    await advance(100);
    cutOff.store.published = undefined;
    connect(cutOff, current);
    await advance(3_000);
    assert.equal(versionAt(cutOff), 9);
    assert.equal(versionAt(current), 9);
    const {operatorPosition} = cutOff.directory.current();
    assert.deepEqual(operatorPosition, at(8, 2));
  });

  it('of a later era make the other node poll the store soon', async () => {
    const [first, second] = [createNode(5), createNode(5)];
    await advance(100);
    connect(first, second);
    await advance(1_000);
    for (const {store} of [first, second]) {
      store.era = 1;
      store.published = 4;
    }
    first.directory.pollSoon();
    await advance(300);
    assert.equal(second.directory.status()['store_era'], 1);
    assert.equal(versionAt(second), 5);
  });

  // A node would return to an older configuration, or exit with an error.
  it('are ignored when they are older or cannot be decoded', async () => {
    const current = createNode(3);
    await advance(100);
    const end = openEnd(current, ignore);
    const older = encodeChanges(answerOf(2).changes);
    const states = [
      {revision: 2, changes: older},
      {revision: 9, changes: 'not JSON'},
    ];
    for (const state of states) {
      end.handleMessage({
        operatorState: create(OperatorStateSchema, state),
        wantsChanges: false,
      });
    }
    assert.equal(versionAt(current), 3);
    assert.deepEqual(current.errors, ['operator_changes_invalid']);
  });
});
