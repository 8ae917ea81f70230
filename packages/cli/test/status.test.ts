import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {NodeState} from '@balsamnotch/wire';
import {runCommand, startFakeNode, type FakeNode} from './fixtures.js';

function runStatus(...nodes: readonly FakeNode[]) {
  const addresses = nodes.map(({address}) => address).join(',');
  return runCommand(['status'], {flags: {nodes: addresses, adapters: true}});
}

describe('status', () => {
  it('reports one revision in force everywhere when all nodes agree', async t => {
    const nodes = [
      await startFakeNode(t),
      await startFakeNode(t, {node: 't2'}),
    ];
    const {code, out} = await runStatus(...nodes);
    assert.equal(code, 0);
    assert.match(out, /revision 5 is in force everywhere: at all 2 nodes/);
    assert.match(
      out,
      /t1 +target +- +poblado +serving +5 .*1 min 5 s.* 1 of 8/,
    );
    assert.match(out, /t2: style-0001@v2/);
  });

  it('fails when nodes differ in their revision, or in its content', async t => {
    const first = await startFakeNode(t);
    const nodeBehind = await startFakeNode(t, {node: 't2', revision: 4n});
    const other = await startFakeNode(t, {node: 't3', revisionHash: 'bb'});
    const different = await runStatus(first, nodeBehind);
    assert.equal(different.code, 1);
    assert.match(different.out, /NOT one revision in force everywhere/);
    assert.match(different.out, /revision 4 at 1 node: t2/);
    const conflict = await runStatus(first, other);
    assert.equal(conflict.code, 1);
    assert.match(conflict.out, /different content under the same revision/);
  });

  // Revision 0 means that no configuration is in force; this must not pass as
  // agreement.
  it('fails when a node has no revision in force', async t => {
    const {code, out} = await runStatus(await startFakeNode(t, {revision: 0n}));
    assert.equal(code, 1);
    assert.match(out, /no revision is in force/);
  });

  it('lists nodes that refuse the connection or do not answer, and does not report agreement', async t => {
    const runningNode = await startFakeNode(t);
    const closedNode = await startFakeNode(t);
    closedNode.close();
    const silentServer = createServer().listen(0, '127.0.0.1');
    await once(silentServer, 'listening');
    t.after(() => silentServer.close());
    const sockets = new Set<{destroy(): void}>();
    silentServer.on('connection', socket => sockets.add(socket));
    t.after(() => sockets.forEach(socket => socket.destroy()));
    const {port} = silentServer.address() as AddressInfo;
    const nodes = `${runningNode.address},${closedNode.address},127.0.0.1:${port}`;
    const {code, out} = await runCommand(['status'], {flags: {nodes}});
    assert.equal(code, 1);
    assert.match(out, /at all 1 node that answered; nothing is known of the/);
    assert.match(out, /2 nodes did not answer/);
    assert.match(out, new RegExp(`${closedNode.address}.*: .*ECONNREFUSED`));
    assert.match(out, new RegExp(`:${port}\\): no answer within 2000 ms`));
  });

  it('shows the failure domain of an unreachable node, and a state that differs from the VM list', async t => {
    const {address} = await startFakeNode(t, {state: NodeState.SERVING});
    const vm = {name: 't1', service: 's', failureDomain: 'd', address};
    const vms = [{...vm, role: 'target' as const, state: 'leaving' as const}];
    const flags = {vmList: 'http://127.0.0.1:1'};
    const listed = await runCommand(['status'], {flags, vms});
    assert.equal(listed.code, 0);
    assert.match(listed.out, /serving \(list: leaving\)/);
    const closedNode = await startFakeNode(t);
    closedNode.close();
    const closedVM = {...vms[0]!, name: 't9', address: closedNode.address};
    const unreachable = await runCommand(['status'], {flags, vms: [closedVM]});
    assert.equal(unreachable.code, 3);
    assert.match(unreachable.out, /t9 +target +s +d +no answer/);
    const withoutList = await runCommand(['status'], {flags});
    assert.equal(withoutList.code, 3);
  });

  it('lists nodes that rejected a configuration even when all nodes have the same revision', async t => {
    const node = await startFakeNode(t, {counters: {config_rejected: 2}});
    const {code, out} = await runStatus(node);
    assert.equal(code, 0);
    assert.match(out, /1 node refused a published .*\(config_rejected\): t1/);
  });

  it('rejects missing addresses and addresses that are not ip:port', async () => {
    const flags = {nodes: 'localhost:1'};
    assert.equal((await runCommand(['status'], {flags})).code, 2);
    assert.equal((await runCommand(['status'])).code, 2);
  });
});
