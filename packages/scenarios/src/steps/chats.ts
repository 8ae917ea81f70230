/** Steps of callers that chat. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {chatBody, post} from '@balsamnotch/demo';
import {startStream, wholeAnswer} from '../caller.js';
import {until, type Scenario} from '../world.js';

function split(model: string): {adapter: string; version: string} {
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
    const plan = {...split(model), content: `question ${name}`, tokens};
    this.streams.set(name, startStream(this.access(entry), plan));
  },
);

When(
  'stream {string} has received {int} tokens',
  async function (this: Scenario, name: string, tokens: number) {
    const stream = this.streams.get(name);
    assert.ok(stream);
    const received = () => stream.text.split(' ').length - 1;
    await until(
      `${tokens} tokens of ${name}: ${JSON.stringify(stream.error)}`,
      () => received() >= tokens || stream.error !== undefined,
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
    assert.equal(stream.text, wholeAnswer(stream.plan, version));
  },
);

Then(
  'a chat with {string} through {string} is answered by {string}',
  async function (this: Scenario, model: string, entry: string, by: string) {
    const body = chatBody(model, 'hello', 4);
    const path = '/v1/chat/completions';
    const answer = await post(this.access(entry), path, body);
    assert.equal(answer.status, 200, answer.body);
    const {model: named} = JSON.parse(answer.body) as {model: string};
    assert.equal(named, by);
  },
);
