import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runCommand, startFakeNode} from './fixtures.js';

describe('stop', () => {
  it('starts and cancels a planned stop', async t => {
    const node = await startFakeNode(t);
    const flags = {node: node.address};
    const started = await runCommand(['stop'], {flags});
    assert.equal(started.code, 0);
    assert.match(started.out, /t1: leaving, 2 requests in progress/);
    const cancelled = await runCommand(['stop'], {
      flags: {...flags, cancel: true},
    });
    assert.equal(cancelled.code, 0);
    assert.match(cancelled.out, /t1: serving/);
    assert.deepEqual(node.stopRequests, [false, true]);
  });

  it('waits until the process has exited', async t => {
    const node = await startFakeNode(t);
    node.onStopEnd = () => node.close();
    const flags = {node: node.address, wait: true};
    const {code, out} = await runCommand(['stop'], {flags});
    assert.equal(code, 0);
    assert.match(out, /t1: gone after/);
  });

  // A supervisor may restart the process at the same address; without the
  // comparison of incarnations the command would wait until its timeout.
  it('treats a new incarnation at the address as the exit of the old process', async t => {
    const node = await startFakeNode(t);
    node.onStopEnd = () => (node.incarnation = 'i2');
    const flags = {node: node.address, wait: true};
    assert.equal((await runCommand(['stop'], {flags})).code, 0);
  });

  it('does not report a node that still answers as gone', async t => {
    const node = await startFakeNode(t);
    const flags = {node: node.address, wait: true, waitMs: 300};
    const {code, err} = await runCommand(['stop'], {flags});
    assert.equal(code, 3);
    assert.match(err, /not gone after .*leaving, 2 requests in progress/);
  });

  it('reports a node that cannot be reached', async t => {
    const node = await startFakeNode(t);
    node.close();
    const {code, err} = await runCommand(['stop'], {
      flags: {node: node.address},
    });
    assert.equal(code, 3);
    assert.match(err, /did not answer/);
  });
});
