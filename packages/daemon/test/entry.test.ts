import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import * as wire from '@balsamnotch/wire';
import {
  parseAnswer,
  callResult,
  fakeTarget,
  heartbeats,
  readEvents,
  refusedCall,
  refusedChat,
  startHarness,
  type FakeTarget,
  type Harness,
} from './entry-harness.js';

describe('entry', () => {
  let harness: Harness | undefined;

  async function start(
    targets: readonly FakeTarget[],
    options = {},
  ): Promise<Harness> {
    harness = await startHarness(targets, options);
    return harness;
  }

  afterEach(async () => {
    await harness?.close();
    harness = undefined;
  });

  describe('chat', () => {
    it('answers with the current adapter version and the request id', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const {chat} = await start([target]);
      const response = await chat();
      const answer = await parseAnswer(response);
      assert.equal(response.status, 200);
      assert.equal(answer.model, 'veil@v2');
      assert.equal(answer.choices[0].message.content, 't0 t1 t2 ');
      assert.equal(answer.id, response.headers.get('x-request-id'));
      const {envelope} = target.chats[0]!;
      assert.equal(envelope?.expectedIncarnation, 'm1-1');
      assert.ok(envelope!.deadlineNodeClockMs > performance.now());
    });

    it('streams events that end with [DONE]', async () => {
      const {chat} = await start([await fakeTarget('m1', 'assistant')]);
      const response = await chat({stream: true, model: 'veil@v1'});
      const text = await response.text();
      assert.equal(response.headers.get('content-type'), 'text/event-stream');
      assert.match(text, /"model":"veil@v1"/);
      assert.deepEqual(readEvents(text), {
        content: 't0 t1 t2 ',
        done: true,
        error: undefined,
      });
    });

    it('retries a chat at another target, invisibly to the caller, when its target is leaving', async () => {
      const targets = [
        await fakeTarget('m1', 'assistant'),
        await fakeTarget('m2', 'assistant'),
      ];
      const {chat, counters} = await start(targets);
      targets[0]!.script.chat = targets[1]!.script.chat = async function* (
        request,
      ) {
        for (const target of targets) target.script = {};
        assert.equal(request.offset, 0);
        yield refusedChat('leaving');
      };
      const response = await chat();
      assert.equal(response.status, 200);
      assert.equal(counters['retried.leaving'], 1);
      assert.equal(targets[0]!.chats.length, 1);
      assert.equal(targets[1]!.chats.length, 1);
    });
  });

  describe('call', () => {
    it('sends a non-repeatable call with a ticket for its target and returns the ticket', async () => {
      const target = await fakeTarget('b1', 'booking');
      const {post} = await start([target]);
      const response = await post('/v1/services/booking/confirm', 'at noon');
      assert.equal(await response.text(), 'b1 confirm');
      // Without a length, what an HTTP/1.0 caller gets of a killed node looks like a whole answer.
      assert.equal(response.headers.get('content-length'), '10');
      const [call] = target.calls;
      assert.equal(response.headers.get('idempotency-key'), call?.ticket);
      assert.match(call!.ticket, /~b1~b1-1~/);
      assert.equal(new TextDecoder().decode(call!.body), 'at noon');
    });

    // Guards against running a call a second time at another target.
    it('sends repeated calls with a ticket only to the target of the ticket', async () => {
      const targets = [
        await fakeTarget('b1', 'booking'),
        await fakeTarget('b2', 'booking'),
      ];
      const {post} = await start(targets);
      const {ticket} = await parseAnswer(
        await post('/v1/services/booking/tickets', {}),
      );
      for (let i = 0; i < 3; i++) {
        await post('/v1/services/booking/confirm', 'x', {
          'idempotency-key': ticket,
        });
      }
      const usedTargets = targets.filter(target => target.calls.length > 0);
      assert.deepEqual(
        usedTargets.map(target => target.calls.map(call => call.ticket)),
        [[ticket, ticket, ticket]],
      );
    });

    // Guards against an unknown outcome for a call that cannot have run.
    it('issues a new ticket when the only send reaches a restarted target', async () => {
      const target = await fakeTarget('b1', 'booking');
      const {post, counters} = await start([target]);
      target.script.call = async function* () {
        target.script = {};
        target.report = {...target.report, incarnation: 'b1-2'};
        const event = refusedCall('wrong_incarnation', wire.Outcome.UNKNOWN);
        yield {...event, report: target.wireReport()};
      };
      const response = await post('/v1/services/booking/confirm', 'x');
      assert.equal(response.status, 200);
      assert.match(response.headers.get('idempotency-key')!, /~b1~b1-2~/);
      assert.equal(counters['retried.wrong_incarnation'], 1);
    });

    it('reports an unknown outcome when a repeated call with a ticket reaches a restarted target', async () => {
      const target = await fakeTarget('b1', 'booking');
      const {post} = await start([target]);
      const issued = await post('/v1/services/booking/tickets', {});
      const {ticket} = await parseAnswer(issued);
      target.script.call = async function* () {
        yield refusedCall('wrong_incarnation', wire.Outcome.UNKNOWN);
      };
      const response = await post('/v1/services/booking/confirm', 'x', {
        'idempotency-key': ticket,
      });
      assert.equal((await parseAnswer(response)).error.outcome, 'unknown');
      assert.equal(response.headers.get('idempotency-key'), ticket);
      assert.equal(target.calls.length, 1);
    });

    // Guards against an unknown outcome at the deadline although the target has the result.
    it('returns a result that only Settle delivers', async () => {
      const target = await fakeTarget('b1', 'booking');
      const {post} = await start([target]);
      target.script.call = (_, {signal}) => heartbeats(signal);
      target.script.settle = async () => {
        const event = callResult('late');
        assert.equal(event.event.case, 'result');
        const result = event.event.value as wire.CallResult;
        return {outcome: wire.Outcome.RAN, result};
      };
      const response = await post('/v1/services/booking/confirm', 'x', {
        'x-deadline-ms': '500',
      });
      assert.equal(await response.text(), 'late');
      assert.equal(target.settles[0]?.cancel, true);
    });
  });
});
