import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {completeAnswer, fakeEntry, fakeNode, runCommand} from './fixtures.js';
import {streamOutcome, wholeOutcome} from '../src/traffic.js';

describe('drill', () => {
  it('lists the drills', async () => {
    const {code, out} = await runCommand(['drill'], {flags: {list: true}});
    assert.equal(code, 0);
    assert.match(out, /^planned-stop$/m);
    assert.match(out, /^configuration-service-down$/m);
  });

  it('planned-stop holds when no chat is cut off', async t => {
    const node = await fakeNode(t);
    const callerUrl = await fakeEntry(t, completeAnswer);
    node.stopping = () => node.close();
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'planned-stop'], {flags});
    assert.equal(code, 0, out);
    assert.match(out, /held +t1 had gone after/);
    assert.match(out, /held +of \d+ chats none was cut off/);
  });

  it('planned-stop fails when an answer ends early or is of another adapter', async t => {
    const node = await fakeNode(t);
    const callerUrl = await fakeEntry(t, (model, stream, response) => {
      if (!stream) {
        completeAnswer('style-0002@v2', false, response);
        return;
      }
      response.setHeader('content-type', 'text/event-stream');
      response.end(`data: ${JSON.stringify({model})}\n\n`);
    });
    node.stopping = () => node.close();
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'planned-stop'], {flags});
    assert.equal(code, 1);
    assert.match(
      out,
      /failed +of \d+ chats \d+ were cut off .*without \[DONE\]/,
    );
    assert.match(out, /failed +\d+ answers? of another adapter/);
  });

  it('planned-stop claims nothing when the node had no work', async t => {
    const node = await fakeNode(t, {inProgress: 0});
    const callerUrl = await fakeEntry(t, completeAnswer);
    node.stopping = () => node.close();
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'planned-stop'], {flags});
    assert.equal(code, 3);
    assert.match(out, /not shown +no request was in progress/);
  });

  it('cancelled-stop leaves the node serving', async t => {
    const node = await fakeNode(t);
    const callerUrl = await fakeEntry(t, completeAnswer);
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'cancelled-stop'], {flags});
    assert.equal(code, 0, out);
    assert.deepEqual(node.stops, [false, true]);
  });

  it('cancelled-stop claims nothing when the node went before it', async t => {
    const node = await fakeNode(t);
    const callerUrl = await fakeEntry(t, completeAnswer);
    node.onStop = () => setTimeout(() => node.close(), 50);
    const flags = {node: node.address, callerUrl, key: 'k'};
    const {code, out} = await runCommand(['drill', 'cancelled-stop'], {flags});
    assert.equal(code, 3, out);
    assert.match(out, /not shown +t1 had finished its work and gone/);
  });

  it('revision-spread waits for the last node, and notices a node that reverts', async t => {
    const first = await fakeNode(t);
    const behind = await fakeNode(t, {node: 't2', revision: 4n});
    const nodes = `${first.address},${behind.address}`;
    behind.asked = count => (behind.revision = count > 3 ? 5n : 4n);
    const flags = {nodes, durationMs: 5_000};
    const spread = await runCommand(['drill', 'revision-spread'], {flags});
    assert.equal(spread.code, 0, spread.out);
    const already = await runCommand(['drill', 'revision-spread'], {flags});
    assert.equal(already.code, 0, already.out);
    let count = 0;
    behind.asked = () => (behind.revision = ++count > 3 ? 4n : 5n);
    const reverted = await runCommand(['drill', 'revision-spread'], {
      flags: {nodes, durationMs: 1_500, revision: 6},
    });
    assert.equal(reverted.code, 1);
    assert.match(reverted.out, /failed +went back to a lower revision: t2/);
  });

  it('claims nothing when no node answers', async t => {
    const node = await fakeNode(t);
    node.close();
    const {code, err} = await runCommand(['drill', 'revision-spread'], {
      flags: {nodes: node.address},
    });
    assert.equal(code, 3);
    assert.match(err, /did not run: no node answered/);
  });

  it('configuration-service-down needs the service down and the nodes up', async t => {
    const node = await fakeNode(t);
    const lost = await fakeNode(t, {node: 't2'});
    const flags = {
      nodes: node.address,
      configService: 'http://127.0.0.1:1',
      durationMs: 600,
    };
    const command = ['drill', 'configuration-service-down'];
    const up = await runCommand(command, {flags});
    assert.equal(up.code, 2);
    const serviceAnswers = () => false;
    const down = await runCommand(command, {flags, serviceAnswers});
    assert.equal(down.code, 0, down.out);
    setTimeout(() => lost.close(), 300);
    const nodes = `${node.address},${lost.address}`;
    const partly = await runCommand(command, {
      flags: {...flags, nodes},
      serviceAnswers,
    });
    assert.equal(partly.code, 1);
    assert.match(partly.out, /failed +stopped answering: /);
    assert.match(partly.out, /not shown +nothing is known of 1 node/);
  });

  describe('outcomes of chats', () => {
    it('takes no refusal or stream with an error for an answer', () => {
      const refusal = '{"error": {"reason": "overloaded"}}';
      assert.deepEqual(wholeOutcome(503, refusal), {
        kind: 'refused',
        answered: '',
        reason: 'overloaded',
      });
      const chunk = 'data: {"model": "a@1"}\n\n';
      assert.equal(streamOutcome(`${chunk}data: [DONE]\n`).kind, 'complete');
      for (const end of [`data: ${refusal}\n`, 'data: {"mod', '']) {
        assert.equal(streamOutcome(chunk + end).kind, 'broken');
      }
    });

    it('takes a stream that changes its model for broken', () => {
      const body =
        'data: {"model": "a@1"}\n\ndata: {"model": "b@1"}\n\ndata: [DONE]\n';
      assert.equal(streamOutcome(body).kind, 'broken');
    });
  });
});
