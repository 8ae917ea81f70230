import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {fakeNode, runCommand} from './fixtures.js';

describe('stop', () => {
  it('starts and cancels a planned stop', async t => {
    const node = await fakeNode(t);
    const flags = {node: node.address};
    const started = await runCommand(['stop'], {flags});
    assert.equal(started.code, 0);
    assert.match(started.out, /t1: leaving, 2 requests in progress/);
    const cancelled = await runCommand(['stop'], {
      flags: {...flags, cancel: true},
    });
    assert.equal(cancelled.code, 0);
    assert.match(cancelled.out, /t1: serving/);
    assert.deepEqual(node.stops, [false, true]);
  });

  it('waits until the process has gone', async t => {
    const node = await fakeNode(t);
    node.stopping = () => node.close();
    const flags = {node: node.address, wait: true};
    const {code, out} = await runCommand(['stop'], {flags});
    assert.equal(code, 0);
    assert.match(out, /t1: gone after/);
  });

  it('takes a new incarnation at the address for a process that has gone', async t => {
    const node = await fakeNode(t);
    node.stopping = () => (node.incarnation = 'i2');
    const flags = {node: node.address, wait: true};
    assert.equal((await runCommand(['stop'], {flags})).code, 0);
  });

  it('does not report a node as gone that still answers', async t => {
    const node = await fakeNode(t);
    const flags = {node: node.address, wait: true, waitMs: 300};
    const {code, err} = await runCommand(['stop'], {flags});
    assert.equal(code, 3);
    assert.match(err, /not gone after .*leaving, 2 requests in progress/);
  });

  it('says when the node cannot be reached', async t => {
    const node = await fakeNode(t);
    node.close();
    const {code, err} = await runCommand(['stop'], {
      flags: {node: node.address},
    });
    assert.equal(code, 3);
    assert.match(err, /did not answer/);
  });
});
