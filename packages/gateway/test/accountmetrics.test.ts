import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ACCOUNT_EVENT,
  MAX_COUNTED_ACCOUNTS,
  createGatewayMetrics,
} from '../src/node/metrics.js';

describe('metrics of client accounts', () => {
  it('are counted by name and event', async () => {
    const metrics = createGatewayMetrics();
    metrics.countAccount(ACCOUNT_EVENT.asked, 'a');
    metrics.countAccount(ACCOUNT_EVENT.tokens, 'a', 120);
    metrics.countAccount(ACCOUNT_EVENT.tokens, 'a', 30);
    const lines = (await metrics.text()).split('\n');
    const valueOf = (event: string) =>
      lines
        .find(line => line.includes(`event="${event}",reason="a"`))
        ?.split(' ')
        .at(-1);
    assert.equal(valueOf('account_asked'), '1');
    assert.equal(valueOf('account_tokens_granted'), '150');
  });

  // Failure: an answer of the metrics address grows with each account of the deployment.
  it('have a bounded number of names', async () => {
    const metrics = createGatewayMetrics();
    for (let n = 0; n < 10 * MAX_COUNTED_ACCOUNTS; n++) {
      metrics.countAccount(ACCOUNT_EVENT.asked, `a${n}`);
    }
    metrics.countAccount(ACCOUNT_EVENT.asked, 'a0');
    const text = await metrics.text();
    const lines = text.match(/event="account_asked".*/g) ?? [];
    assert.equal(lines.length, MAX_COUNTED_ACCOUNTS + 1);
    assert.ok(text.includes('reason="a0"} 2'));
    assert.ok(text.includes('reason="other accounts"} 1800'));
  });
});
