/** Steps in which callers send chats. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {chatRequestBody, post} from '@balsamnotch/demo';
import {startStream, completeAnswer, type ChatStream} from '../caller.js';
import {waitUntil, type Scenario} from '../world.js';

/** Splits `adapter@version`; the version is empty if absent. */
function parseModel(model: string): {adapter: string; version: string} {
  const [adapter, version = ''] = model.split('@');
  return {adapter, version};
}

When(
  'a caller streams {int} tokens of {string} through {string} as {string}',
  function (
    this: Scenario,
    tokens: number,
    model: string,
    entry: string,
    name: string,
  ) {
    const plan = {...parseModel(model), content: `question ${name}`, tokens};
    this.streams.set(name, startStream(this.entryAccess(entry), plan));
  },
);

When(
  'stream {string} has received {int} tokens',
  async function (this: Scenario, name: string, tokens: number) {
    const stream = this.streams.get(name);
    assert.ok(stream);
    const receivedTokens = () => stream.text.split(' ').length - 1;
    await waitUntil(
      `${tokens} tokens of ${name}: ${JSON.stringify(stream.error)}`,
      () => receivedTokens() >= tokens || stream.error !== undefined,
      30_000,
    );
    assert.equal(stream.error, undefined);
  },
);

Then(
  'stream {string} ends whole, with version {string}',
  async function (this: Scenario, name: string, version: string) {
    const stream = this.streams.get(name);
    assert.ok(stream);
    await stream.ended;
    assert.equal(stream.error, undefined, JSON.stringify(stream.error));
    assert.ok(stream.done, 'ended without [DONE]');
    assert.equal(stream.model, `${stream.plan.adapter}@${version}`);
    assert.equal(stream.text, completeAnswer(stream.plan, version));
  },
);

Then(
  'a chat with {string} through {string} is answered by {string}',
  async function (
    this: Scenario,
    model: string,
    entry: string,
    expectedModel: string,
  ) {
    const body = chatRequestBody(model, 'hello', 4);
    const path = '/v1/chat/completions';
    const answer = await post(this.entryAccess(entry), path, body);
    assert.equal(answer.status, 200, answer.body);
    const {model: answeringModel} = JSON.parse(answer.body) as {model: string};
    assert.equal(answeringModel, expectedModel);
  },
);

/** Callers that stream through each entry at the same time. */
const STREAMS_PER_ENTRY = 3;

/** Streams sent while targets restarted. */
const streamsByScenario = new WeakMap<Scenario, readonly ChatStream[]>();

/** Streams chats one after another until `isOver` returns true. */
async function streamUntil(
  scenario: Scenario,
  entry: string,
  caller: number,
  isOver: () => boolean,
): Promise<readonly ChatStream[]> {
  const streams: ChatStream[] = [];
  while (!isOver()) {
    const adapter = `style-000${caller + 1}`;
    const content = `${entry} ${caller} ${streams.length}`;
    const plan = {adapter, version: 'v1', content, tokens: 40};
    const stream = startStream(scenario.entryAccess(entry), plan);
    streams.push(stream);
    await stream.ended;
  }
  return streams;
}

When(
  'the assistant targets restart in turn while callers stream through both entries',
  async function (this: Scenario) {
    let over = false;
    const callers = ['entry-1', 'entry-2'].flatMap(entry =>
      Array.from({length: STREAMS_PER_ENTRY}, (_, caller) =>
        streamUntil(this, entry, caller, () => over),
      ),
    );
    for (const node of this.deployment.targets) {
      if (node.service !== 'assistant') continue;
      await new Promise(resolve => setTimeout(resolve, 5_000));
      node.process().signal('SIGTERM');
      await node.process().exited;
      await node.restart();
    }
    over = true;
    streamsByScenario.set(this, (await Promise.all(callers)).flat());
  },
);

Then(
  'no stream was cut off and at most {int} of 100 were refused',
  function (this: Scenario, bound: number) {
    const streams = streamsByScenario.get(this) ?? [];
    const refused = streams.filter(({status}) => status !== 200);
    this.log(`refused ${refused.length} of ${streams.length}`);
    for (const stream of streams) {
      if (stream.status !== 200) continue;
      assert.ok(stream.done, JSON.stringify(stream.error));
      assert.equal(stream.text, completeAnswer(stream.plan, 'v1'));
    }
    assert.ok(streams.length >= 50, `only ${streams.length} streams`);
    const counts = new Map<string, number>();
    for (const {status, error} of refused) {
      const reason = `${status} ${error?.reason ?? 'no reason'}`;
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
    }
    const reasons = [...counts].map(pair => pair.join(': ')).join(', ');
    assert.ok(
      refused.length * 100 <= bound * streams.length,
      `refused ${refused.length} of ${streams.length}: ${reasons}`,
    );
  },
);
