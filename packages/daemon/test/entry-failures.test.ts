import assert from 'node:assert/strict';
import {request, type IncomingMessage} from 'node:http';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import * as wire from '@balsamnotch/wire';
import {
  KEY,
  answerOf,
  callResult,
  chunk,
  end,
  fakeTarget,
  pause,
  readEvents,
  refusedCall,
  refusedChat,
  startHarness,
  type FakeTarget,
  type Harness,
} from './entry-harness.js';

describe('entry under failure', () => {
  let harness: Harness;

  async function start(
    targets: readonly FakeTarget[],
    options = {},
  ): Promise<Harness> {
    harness = await startHarness(targets, options);
    return harness;
  }

  afterEach(() => harness.close());

  /** A streamed chat whose response the test reads itself. */
  function openChat({url}: Harness): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const headers = {authorization: `Bearer ${KEY}`};
      const sending = request(
        `${url}/v1/chat/completions`,
        {method: 'POST', headers},
        resolve,
      );
      sending.on('error', reject);
      const messages = [{role: 'user', content: 'hello'}];
      sending.end(JSON.stringify({model: 'veil', messages, stream: true}));
    });
  }

  async function until(condition: () => boolean): Promise<void> {
    for (let i = 0; i < 300 && !condition(); i++) await pause(10);
    assert.ok(condition(), 'condition did not hold within 3 s');
  }

  /** Never sends an event again. */
  function silence(): Promise<never> {
    return new Promise(() => undefined);
  }

  describe('streams', () => {
    it('replaces a silent session and resumes the answer where it stopped', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const {chat, counters} = await start([target]);
      target.script.chat = async function* (message) {
        target.script = {};
        yield chunk(message, 0, 2);
        await silence();
      };
      const response = await chat({stream: true});
      const {content, done} = readEvents(await response.text());
      assert.equal(content, 't0 t1 t2 t3 t4 ');
      assert.equal(done, true);
      const [, resumed] = target.chats;
      assert.equal(resumed?.attach, true);
      assert.equal(resumed?.offset, 2);
      assert.equal(counters['retried.silent'], 1);
    });

    it('does not take its own pause for the silence of a target', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const {chat, counters} = await start([target]);
      target.script.chat = async function* (message) {
        yield chunk(message, 0, 1);
        await pause(300);
        yield chunk(message, 1, 1);
        yield end(message, 2);
      };
      const response = await chat({stream: true});
      await pause(100);
      const untilMs = performance.now() + 1_500;
      while (performance.now() < untilMs);
      assert.equal(readEvents(await response.text()).content, 't0 t1 ');
      assert.equal(counters['retried.silent'], undefined);
    });

    it('continues at another target with the tokens so far when the chat is lost', async () => {
      const targets = [
        await fakeTarget('m1', 'assistant'),
        await fakeTarget('m2', 'assistant'),
      ];
      const {chat} = await start(targets);
      for (const target of targets) {
        target.script.chat = async function* (message) {
          if (message.prefix.length > 0) {
            yield chunk(message, 2, 1, {engineIncarnation: 'engine-2'});
            yield end(message, 3);
          } else if (message.attach) {
            yield refusedChat('not_found');
          } else {
            yield chunk(message, 0, 2);
            throw new Error('broken');
          }
        };
      }
      const {content, done} = readEvents(
        await (await chat({stream: true})).text(),
      );
      assert.equal(content, 't0 t1 t2 ');
      assert.equal(done, true);
      assert.deepEqual(targets.map(({chats}) => chats.length).sort(), [1, 2]);
    });

    it('forwards no token of another adapter and asks another target', async () => {
      const targets = [
        await fakeTarget('m1', 'assistant'),
        await fakeTarget('m2', 'assistant'),
      ];
      let asked = 0;
      const {chat, counters} = await start(targets);
      for (const target of targets) {
        target.script.chat = async function* (message) {
          const wrong = asked++ === 0 ? {adapter: 'secret'} : {};
          yield chunk(message, message.offset, 3, wrong);
          yield end(message, message.offset + 3);
        };
      }
      const response = await chat();
      const answer = await answerOf(response);
      assert.equal(answer.choices[0]?.message.content, 't0 t1 t2 ');
      assert.equal(counters['retried.wrong_adapter'], 1);
      assert.equal(counters['stream_fault.wrong_identity'], 1);
    });

    it('ends a started answer with the refusal and without [DONE]', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const {chat, counters} = await start([target]);
      target.script.chat = async function* (message) {
        if (message.attach) {
          yield refusedChat('cancelled');
          return;
        }
        yield chunk(message, 0, 1);
        throw new Error('broken');
      };
      const {done, error} = readEvents(
        await (await chat({stream: true})).text(),
      );
      assert.equal(done, false);
      assert.equal(error?.outcome, 'unknown');
      assert.equal(counters['refused.outcome_unknown'], 1);
    });

    it('ignores a late answer of an abandoned attempt', async () => {
      const targets = [
        await fakeTarget('m1', 'assistant'),
        await fakeTarget('m2', 'assistant'),
      ];
      const {chat} = await start(targets);
      let sends = 0;
      for (const target of targets) {
        target.script.chat = async function* (message) {
          if (sends++ > 1) {
            yield chunk(message, 0, 1);
            await pause(300);
            yield chunk(message, 1, 2);
            yield end(message, 3);
            return;
          }
          await pause(1_000);
          const tokens = ['late ', 'late ', 'late '];
          yield chunk(message, 0, 3, {tokens});
          yield end(message, 3);
        };
      }
      const answer = await answerOf(await chat());
      assert.equal(answer.choices[0]?.message.content, 't0 t1 t2 ');
    });

    it('gives up at the deadline when nothing arrives', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const {chat} = await start([target]);
      target.script.chat = async function* () {
        yield await silence();
      };
      const begun = performance.now();
      const response = await chat({}, {'x-deadline-ms': '300'});
      const {error} = await answerOf(response);
      assert.equal(error.reason, 'deadline_exceeded');
      assert.equal(error.outcome, 'unknown');
      assert.ok(performance.now() - begun < 700);
    });
  });

  describe('callers', () => {
    it('cancels the chat of a caller that went away and disturbs no other', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const entry = await start([target]);
      target.script.chat = async function* (message) {
        for (let n = 0; n < 40; n++) {
          yield chunk(message, n, 1);
          await pause(10);
        }
        yield end(message, 40);
      };
      const leaving = await openChat(entry);
      const staying = entry.chat({stream: true});
      leaving.once('data', () => leaving.destroy());
      const {content, done} = readEvents(await (await staying).text());
      assert.equal(content.split(' ').length, 41);
      assert.equal(done, true);
      await until(() => target.cancels.length === 1);
      const gone = target.chats[0]?.envelope?.requestId;
      assert.deepEqual(target.cancels, [gone]);
      assert.equal(entry.counters['refused.caller_gone'], 1);
    });

    it('drops a caller that stops reading and disturbs no other', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const entry = await start([target], {stallMs: 200});
      target.script.chat = async function* (message) {
        const many = message.messages.length === 1;
        const tokens = many ? ['x'.repeat(100_000)] : ['short'];
        for (let n = 0; n < 200; n++) {
          yield chunk(message, n, 1, {tokens});
        }
        yield end(message, 200);
      };
      const stalled = await openChat(entry);
      stalled.pause();
      const message = {role: 'user', content: 'hello'};
      const other = await entry.chat({messages: [message, message]});
      assert.equal(other.status, 200);
      await until(() => entry.counters['refused.caller_gone'] === 1);
      await until(() => entry.role.inProgress() === 0);
      // The cancellation is sent after the reply has ended.
      await until(() => target.cancels.length === 1);
    });
  });

  describe('calls', () => {
    it('sends the same ticket again when the stream breaks', async () => {
      const target = await fakeTarget('b1', 'booking');
      const {post} = await start([target]);
      target.script.call = async function* () {
        target.script = {};
        yield await Promise.reject(new Error('broken'));
      };
      const response = await post('/v1/services/booking/confirm', 'x');
      assert.equal(response.status, 200);
      const [first, second] = target.calls.map(call => call.ticket);
      assert.equal(first, second);
    });

    it('takes a target that is gone for not run and asks another one', async () => {
      const targets = [
        await fakeTarget('b1', 'booking'),
        await fakeTarget('b2', 'booking'),
      ];
      const {post} = await start(targets);
      await targets[0]!.close();
      for (let i = 0; i < 5; i++) {
        const response = await post('/v1/services/booking/confirm', 'x');
        assert.equal(await response.text(), 'b2 confirm');
      }
    });

    it('says unknown at the deadline unless Settle says more', async () => {
      const target = await fakeTarget('b1', 'booking');
      const {post} = await start([target]);
      let outcome: wire.Outcome = wire.Outcome.UNKNOWN;
      target.script.call = async function* () {
        yield await silence();
      };
      target.script.settle = async () => ({outcome});
      const headers = {'x-deadline-ms': '300'};
      const ask = async () => {
        const path = '/v1/services/booking/confirm';
        return (await answerOf(await post(path, 'x', headers))).error.outcome;
      };
      assert.equal(await ask(), 'unknown');
      outcome = wire.Outcome.NOT_RUN;
      assert.equal(await ask(), 'not_run');
    });

    it('sends a repeatable call to another target after a failure', async () => {
      const targets = [
        await fakeTarget('b1', 'booking'),
        await fakeTarget('b2', 'booking'),
      ];
      const {post, counters} = await start(targets);
      let asked = 0;
      for (const target of targets) {
        target.script.call = async function* () {
          yield asked++ === 0
            ? refusedCall('revision_behind')
            : callResult(target.vm.name);
        };
      }
      const response = await post('/v1/services/booking/list', '');
      assert.equal(response.status, 200);
      assert.equal(counters['retried.revision_behind'], 1);
    });
  });

  describe('a target that is gone', () => {
    /** Accepts connections and never answers. */
    async function silentAddress(): Promise<string> {
      const server = createServer(() => undefined);
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', () => resolve()),
      );
      silent = server;
      return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    let silent: Server | undefined;

    afterEach(() => void silent?.close());

    // Calls that wait for a connection were not counted, so the silent target
    // stayed the least busy one and got all calls but the first few.
    it('gets its part of the calls that arrive before it is known to be gone', async () => {
      const targets = await Promise.all(
        ['b1', 'b2', 'b3', 'b4'].map(name => fakeTarget(name, 'booking')),
      );
      for (const target of targets) {
        target.script.call = async function* () {
          await pause(100);
          yield callResult(target.vm.name);
        };
      }
      const {post, counters, vms$} = await start(targets);
      const address = await silentAddress();
      vms$.next(
        targets.map(({vm}) => (vm.name === 'b3' ? {...vm, address} : vm)),
      );
      const answers = await Promise.all(
        Array.from({length: 40}, () =>
          post('/v1/services/booking/confirm', 'x'),
        ),
      );
      const refused = answers.filter(({status}) => status !== 200);
      assert.equal(refused.length, 0);
      assert.ok((counters['retried.connect_failed'] ?? 0) <= 10);
    });
  });

  describe('a target that starts', () => {
    // A starting target refused chats until the retry budget was used up.
    it('gets no chat before it serves, and is used soon after', async () => {
      const targets = await Promise.all(
        ['m1', 'm2', 'm3'].map(name => fakeTarget(name, 'assistant')),
      );
      for (const target of targets) {
        target.report = {...target.report, state: 'starting'};
      }
      const {chat} = await start(targets);
      const answer = await answerOf(await chat());
      assert.equal(answer.error.reason, 'no_target');
      for (const target of targets) {
        assert.equal(target.chats.length, 0);
        target.report = {...target.report, state: 'serving'};
      }
      // A quarter of a second to the next probe, and the same for its answer.
      await pause(500);
      assert.equal((await chat()).status, 200);
    });
  });

  describe('node', () => {
    it('catches up with a revision that a report names', async () => {
      const target = await fakeTarget('m1', 'assistant');
      target.report = {...target.report, revision: 8};
      const {catchUps} = await start([target]);
      assert.ok(catchUps.includes(8));
    });

    it('probes all targets again after a pause, before it sends', async () => {
      const target = await fakeTarget('b1', 'booking');
      let probes = 0;
      target.script.probe = () => {
        probes++;
        return target.wireReport();
      };
      let pauseMs = 0;
      const {post, counters} = await start([target], {pauseMs: () => pauseMs});
      const before = probes;
      pauseMs = 5_000;
      const response = await post('/v1/services/booking/confirm', 'x');
      assert.equal(response.status, 200);
      assert.equal(counters['views_dropped'], 1);
      assert.equal(probes, before + 1);
    });

    it('turns unready, finishes its requests and then stops', async () => {
      const target = await fakeTarget('m1', 'assistant');
      const entry = await start([target]);
      target.script.chat = async function* (message) {
        yield chunk(message, 0, 1);
        await pause(300);
        yield end(message, 1);
      };
      let stopped = false;
      entry.role.stopped$.subscribe({complete: () => (stopped = true)});
      const running = entry.chat();
      await until(() => target.chats.length === 1);
      entry.role.beginStop();
      assert.equal((await fetch(`${entry.url}/readyz`)).status, 503);
      entry.role.cancelStop();
      assert.equal((await fetch(`${entry.url}/readyz`)).status, 200);
      entry.role.beginStop();
      await pause(100);
      assert.equal(stopped, false);
      const late = await answerOf(await entry.chat());
      assert.equal(late.error.reason, 'leaving');
      assert.equal((await running).status, 200);
      await until(() => stopped);
    });
  });
});
