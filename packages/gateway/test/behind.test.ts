import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {create} from '@bufbuild/protobuf';
import {Err, Ok, type Result} from 'ts-results-es';
import {OperatorStateSchema} from '@balsamnotch/wire';
import {createDirectory, type Directory} from '../src/node/directory.js';
import type {
  DirectoryAnswer,
  DirectoryError,
} from '../src/node/directorysource.js';
import {CHANGE_SOURCE} from '../src/node/freshness.js';
import {createGatewayMetrics} from '../src/node/metrics.js';
import {
  openOperatorExchange,
  type OperatorExchange,
} from '../src/node/operatorexchange.js';
import {at, createDirectoryAt, deliver, QUIET_LOG, tableOf} from './support.js';

/** Time within which a change must be in force, in milliseconds. */
const BOUND_MS = 2_000;

const STEP_MS = 10;

type Answer = Result<DirectoryAnswer, DirectoryError>;

const NO_ANSWER: Answer = Err({kind: 'unavailable', message: 'silent'});

/** Returns an answer at revision 9 of the store. */
function answerWith(changes: DirectoryAnswer['changes']): Answer {
  return Ok({changes, position: at(9), operatorPosition: at(9)});
}

/**
 * Load: one node at revision 9 with version 4 of the routes, although the store has version 7 at
 * revision 8; another node has version 7 and states it with a message each 100 ms.
 */
describe('a node whose position is ahead of its changes', () => {
  const clock = {ms: 0};
  const openResources: Array<{close: () => void}> = [];
  let reads = 0;

  beforeEach(() => {
    reads = 0;
    mock.timers.enable({apis: ['setTimeout', 'setInterval']});
  });
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
  };
  /** Starts a node whose first read lacks version 7; `readAgain` answers the later ones. */
  const startNode = async (readAgain: () => Answer) => {
    const directory = createDirectory({
      source: {
        read: () => {
          reads += 1;
          const isFirst = reads === 1;
          return Promise.resolve(
            isFirst
              ? answerWith([{kind: 'routes', table: tableOf(4)}])
              : readAgain(),
          );
        },
        watch: () => Promise.resolve(answerWith([])),
      },
      clock: {monotonicMs: () => clock.ms, wallMs: () => 0},
      log: QUIET_LOG,
      metrics: createGatewayMetrics(),
      random: () => 0.5,
      changeBoundMs: BOUND_MS,
    });
    openResources.push(directory);
    await advance(100);
    assert.equal(directory.current().table?.version, 4);
    return directory;
  };
  /** Opens one end of an exchange whose messages reach the end that `to` returns after 5 ms. */
  const openEnd = (
    directory: Directory,
    to: () => OperatorExchange | undefined,
  ) => {
    const end = openOperatorExchange({
      directory,
      source: CHANGE_SOURCE.targetNode,
      send: message => deliver(to, message),
      log: QUIET_LOG,
      metrics: createGatewayMetrics(),
    });
    openResources.push(end);
    return end;
  };
  /** Connects the node to one that has version 7 at revision 8. */
  const connectToCurrentNode = async (directory: Directory) => {
    const current = createDirectoryAt(at(8), [
      {kind: 'routes', table: tableOf(7)},
    ]);
    openResources.push(current);
    await advance(STEP_MS);
    const ends: OperatorExchange[] = [];
    ends[0] = openEnd(directory, () => ends[1]);
    ends[1] = openEnd(current, () => ends[0]);
    const timer = setInterval(
      () =>
        ends[0]?.handleMessage({
          operatorState: create(OperatorStateSchema, {
            revision: 8,
            routesVersion: 7,
          }),
          wantsChanges: false,
        }),
      100,
    );
    openResources.push({close: () => clearInterval(timer)});
  };

  // Failure: no later answer contains the version, and the messages of other nodes, which are at
  // earlier positions, changed nothing (CONFIG).
  it('has the version of another node within the bound, from that node', async () => {
    const directory = await startNode(() => NO_ANSWER);
    await connectToCurrentNode(directory);
    await advance(BOUND_MS);
    assert.equal(directory.current().table?.version, 7);
  });

  // Failure: as above, and the other node cannot be asked.
  it('has the version that another node states within the bound, from the store', async () => {
    const directory = await startNode(() =>
      answerWith([{kind: 'routes', table: tableOf(7)}]),
    );
    directory.recordStatedRoutes(7, CHANGE_SOURCE.targetNode);
    await advance(BOUND_MS);
    assert.equal(directory.current().table?.version, 7);
  });

  // Failure: reads of everything in a loop, because of a version that the store does not have.
  it('reads the whole state at most once in each bound for a version that the store lacks', async () => {
    const directory = await startNode(() =>
      answerWith([{kind: 'routes', table: tableOf(4)}]),
    );
    directory.recordStatedRoutes(7, CHANGE_SOURCE.targetNode);
    await advance(5 * BOUND_MS);
    assert.ok(reads <= 1 + 5, `${reads} reads`);
  });
});
