import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  runCommand,
  sendCompleteAnswer,
  startFakeEntry,
  startFakeNode,
} from './fixtures.js';
import {jsonOutcome, streamOutcome} from '../src/traffic.js';

describe('drill', () => {
  it('lists the drills', async () => {
    const {code, out} = await runCommand(['drill'], {flags: {list: true}});
    assert.equal(code, 0);
    assert.match(out, /^planned-stop$/m);
    assert.match(out, /^configuration-service-down$/m);
  });

  it('planned-stop succeeds when no chat is cut off', async t => {
    const node = await startFakeNode(t);
    const callerUrl = await startFakeEntry(t, sendCompleteAnswer);
    node.onStopEnd = () => node.close();
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'planned-stop'], {flags});
    assert.equal(code, 0, out);
    assert.match(out, /held +t1 had gone after/);
    assert.match(out, /held +of \d+ chats none was cut off/);
  });

  it('planned-stop fails when an answer ends early or names another adapter', async t => {
    const node = await startFakeNode(t);
    const callerUrl = await startFakeEntry(t, (model, stream, response) => {
      if (!stream) {
        sendCompleteAnswer('style-0002@v2', false, response);
        return;
      }
      response.setHeader('content-type', 'text/event-stream');
      response.end(`data: ${JSON.stringify({model})}\n\n`);
    });
    node.onStopEnd = () => node.close();
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'planned-stop'], {flags});
    assert.equal(code, 1);
    assert.match(
      out,
      /failed +of \d+ chats \d+ were cut off .*without \[DONE\]/,
    );
    assert.match(out, /failed +\d+ answers? of another adapter/);
  });

  // A stop of an idle node cannot cut off a chat, so success would prove nothing.
  it('planned-stop is inconclusive when the node has no request in progress', async t => {
    const node = await startFakeNode(t, {inProgress: 0});
    const callerUrl = await startFakeEntry(t, sendCompleteAnswer);
    node.onStopEnd = () => node.close();
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'planned-stop'], {flags});
    assert.equal(code, 3);
    assert.match(out, /not shown +no request was in progress/);
  });

  it('cancelled-stop succeeds when the node serves again', async t => {
    const node = await startFakeNode(t);
    const callerUrl = await startFakeEntry(t, sendCompleteAnswer);
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'cancelled-stop'], {flags});
    assert.equal(code, 0, out);
    assert.deepEqual(node.stopRequests, [false, true]);
  });

  // An idle node may exit before the cancellation arrives, which is no fault.
  it('cancelled-stop is inconclusive when the node exits before the cancellation', async t => {
    const node = await startFakeNode(t);
    const callerUrl = await startFakeEntry(t, sendCompleteAnswer);
    node.onStopStart = () => setTimeout(() => node.close(), 50);
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'cancelled-stop'], {flags});
    assert.equal(code, 3, out);
    assert.match(out, /not shown +t1 had finished its work and gone/);
  });

  it('revision-spread waits for the last node, and detects a node that reverts', async t => {
    const first = await startFakeNode(t);
    const nodeBehind = await startFakeNode(t, {node: 't2', revision: 4n});
    const nodes = `${first.address},${nodeBehind.address}`;
    nodeBehind.onStatusRequest = count =>
      (nodeBehind.revision = count > 3 ? 5n : 4n);
    const flags = {nodes, durationMs: 5_000};
    const spread = await runCommand(['drill', 'revision-spread'], {flags});
    assert.equal(spread.code, 0, spread.out);
    const repeated = await runCommand(['drill', 'revision-spread'], {flags});
    assert.equal(repeated.code, 0, repeated.out);
    let count = 0;
    nodeBehind.onStatusRequest = () =>
      (nodeBehind.revision = ++count > 3 ? 4n : 5n);
    const reverted = await runCommand(['drill', 'revision-spread'], {
      flags: {nodes, durationMs: 1_500, revision: 6},
    });
    assert.equal(reverted.code, 1);
    assert.match(reverted.out, /failed +went back to a lower revision: t2/);
  });

  it('revision-spread does not run when no node answers', async t => {
    const node = await startFakeNode(t);
    node.close();
    const {code, err} = await runCommand(['drill', 'revision-spread'], {
      flags: {nodes: node.address},
    });
    assert.equal(code, 3);
    assert.match(err, /did not run: no node answered/);
  });

  it('configuration-service-down needs the service down, and fails when a node stops answering', async t => {
    const node = await startFakeNode(t);
    const secondNode = await startFakeNode(t, {node: 't2'});
    const flags = {
      nodes: node.address,
      configService: 'http://127.0.0.1:1',
      durationMs: 600,
    };
    const command = ['drill', 'configuration-service-down'];
    const withServiceUp = await runCommand(command, {flags});
    assert.equal(withServiceUp.code, 2);
    const isConfigServiceUp = () => false;
    const withServiceDown = await runCommand(command, {
      flags,
      isConfigServiceUp,
    });
    assert.equal(withServiceDown.code, 0, withServiceDown.out);
    setTimeout(() => secondNode.close(), 300);
    const nodes = `${node.address},${secondNode.address}`;
    const oneNodeLost = await runCommand(command, {
      flags: {...flags, nodes},
      isConfigServiceUp,
    });
    assert.equal(oneNodeLost.code, 1);
    assert.match(oneNodeLost.out, /failed +stopped answering: /);
    assert.match(oneNodeLost.out, /not shown +nothing is known of 1 node/);
  });

  describe('outcomes of chats', () => {
    it('does not count a refusal, an error event or a truncated stream as a complete answer', () => {
      const refusal = '{"error": {"reason": "overloaded"}}';
      assert.deepEqual(jsonOutcome(503, refusal), {
        kind: 'refused',
        answeredModel: '',
        reason: 'overloaded',
      });
      const chunk = 'data: {"model": "a@1"}\n\n';
      assert.equal(streamOutcome(`${chunk}data: [DONE]\n`).kind, 'complete');
      for (const end of [`data: ${refusal}\n`, 'data: {"mod', '']) {
        assert.equal(streamOutcome(chunk + end).kind, 'broken');
      }
    });

    it('counts a stream that names two models as broken', () => {
      const body =
        'data: {"model": "a@1"}\n\ndata: {"model": "b@1"}\n\ndata: [DONE]\n';
      assert.equal(streamOutcome(body).kind, 'broken');
    });
  });
});
