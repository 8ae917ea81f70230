import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {NodeState} from '@balsamnotch/wire';
import {fakeNode, runCommand, type FakeNode} from './fixtures.js';

function statusOf(...nodes: readonly FakeNode[]) {
  const addresses = nodes.map(({address}) => address).join(',');
  return runCommand(['status'], {flags: {nodes: addresses, adapters: true}});
}

describe('status', () => {
  it('says that one revision is in force everywhere', async t => {
    const nodes = [await fakeNode(t), await fakeNode(t, {node: 't2'})];
    const {code, out} = await statusOf(...nodes);
    assert.equal(code, 0);
    assert.match(out, /revision 5 is in force everywhere: at all 2 nodes/);
    assert.match(
      out,
      /t1 +target +- +poblado +serving +5 .*1 min 5 s.* 1 of 8/,
    );
    assert.match(out, /t2: style-0001@v2/);
  });

  it('does not call different revisions or contents one revision', async t => {
    const first = await fakeNode(t);
    const behind = await fakeNode(t, {node: 't2', revision: 4n});
    const other = await fakeNode(t, {node: 't3', revisionHash: 'bb'});
    const different = await statusOf(first, behind);
    assert.equal(different.code, 1);
    assert.match(different.out, /NOT one revision in force everywhere/);
    assert.match(different.out, /revision 4 at 1 node: t2/);
    const conflict = await statusOf(first, other);
    assert.equal(conflict.code, 1);
    assert.match(conflict.out, /different content under the same revision/);
  });

  it('does not count a node without a revision as agreeing', async t => {
    const {code, out} = await statusOf(await fakeNode(t, {revision: 0n}));
    assert.equal(code, 1);
    assert.match(out, /no revision is in force/);
  });

  it('names nodes that refuse or stay silent, and claims nothing of them', async t => {
    const live = await fakeNode(t);
    const gone = await fakeNode(t);
    gone.close();
    const silent = createServer().listen(0, '127.0.0.1');
    await once(silent, 'listening');
    t.after(() => silent.close());
    const sockets = new Set<{destroy(): void}>();
    silent.on('connection', socket => sockets.add(socket));
    t.after(() => sockets.forEach(socket => socket.destroy()));
    const {port} = silent.address() as AddressInfo;
    const nodes = `${live.address},${gone.address},127.0.0.1:${port}`;
    const {code, out} = await runCommand(['status'], {flags: {nodes}});
    assert.equal(code, 1);
    assert.match(out, /at all 1 node that answered; nothing is known of the/);
    assert.match(out, /2 nodes did not answer/);
    assert.match(out, new RegExp(`${gone.address}.*: .*ECONNREFUSED`));
    assert.match(out, new RegExp(`:${port}\\): no answer within 2000 ms`));
  });

  it('shows the failure domain of a silent node, and where the VM list differs', async t => {
    const {address} = await fakeNode(t, {state: NodeState.SERVING});
    const vm = {name: 't1', service: 's', failureDomain: 'd', address};
    const vms = [{...vm, role: 'target' as const, state: 'leaving' as const}];
    const flags = {vmList: 'http://127.0.0.1:1'};
    const listed = await runCommand(['status'], {flags, vms});
    assert.equal(listed.code, 0);
    assert.match(listed.out, /serving \(list: leaving\)/);
    const gone = await fakeNode(t);
    gone.close();
    const lost = {...vms[0]!, name: 't9', address: gone.address};
    const silent = await runCommand(['status'], {flags, vms: [lost]});
    assert.equal(silent.code, 3);
    assert.match(silent.out, /t9 +target +s +d +no answer/);
    const without = await runCommand(['status'], {flags});
    assert.equal(without.code, 3);
  });

  it('names nodes that refused a configuration, whatever is in force', async t => {
    const node = await fakeNode(t, {counters: {config_rejected: 2}});
    const {code, out} = await statusOf(node);
    assert.equal(code, 0);
    assert.match(out, /1 node refused a published .*\(config_rejected\): t1/);
  });

  it('refuses addresses that are not ip:port', async () => {
    const flags = {nodes: 'localhost:1'};
    assert.equal((await runCommand(['status'], {flags})).code, 2);
    assert.equal((await runCommand(['status'])).code, 2);
  });
});
